package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// SettingsTable returns the page of all settings, made from the command line itself;
// docs/settings.md holds it.
func SettingsTable() string {
	var c commands
	parser, err := newParser(&c, nil, nil)
	if err != nil {
		panic("cli: the command line does not parse: " + err.Error())
	}
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the flags by `make settings`. Each flag has an environment variable.\n")
	writeSettings(&b, "shedrock", parser.Model.Node)
	return b.String()
}

func writeSettings(b *strings.Builder, path string, n *kong.Node) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n", path, n.Help)
	if len(n.Flags) > 0 {
		b.WriteString("\n| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n")
	}
	for _, f := range n.Flags {
		if f.Name == "help" {
			continue
		}
		env := "`" + strings.Join(f.Envs, "`, `") + "`"
		def := ""
		switch {
		case f.Required:
			def = "required"
		case f.HasDefault:
			def = "`" + f.Default + "`"
		}
		fmt.Fprintf(b, "| `--%s` | %s | %s | %s |\n", f.Name, env, def, f.Help)
	}
	for _, child := range n.Children {
		if child.Type == kong.CommandNode {
			writeSettings(b, path+" "+child.Name, child)
		}
	}
}
