// Package layers_test holds the packages to their layers: transport, protocol,
// coordination and state, each of which imports only those after it.
package layers_test

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	module = "github.com/shedrock/shedrock/"
	root   = module + "internal/"
	// translator speaks the platform's words; only the command line and it know them.
	translator = module + "platform"
)

// depth is a layer's place; a package may import its own layer and deeper ones.
// Stand-ins are outside systems, and may use what an outside system would: the
// protocols and the values.
func depth(path string) int {
	layers := []string{"cli", "transport", "standin", "protocol", "coordination", "state"}
	for i, layer := range layers {
		if strings.HasPrefix(path, root+layer) {
			return i
		}
	}
	return -1
}

func TestImportsGoDownwards(t *testing.T) {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "../...").Output()
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p struct {
			ImportPath string
			Imports    []string
		}
		if err := d.Decode(&p); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		from := depth(p.ImportPath)
		for _, i := range p.Imports {
			if i == translator && p.ImportPath != root+"cli" {
				t.Errorf("%s imports %s", p.ImportPath, i)
			}
			if to := depth(i); from >= 0 && to >= 0 && to < from {
				t.Errorf("%s imports %s", p.ImportPath, i)
			}
		}
		if from >= 0 {
			seen++
		}
	}
	if seen < 20 {
		t.Fatalf("only %d packages were seen", seen)
	}
}

// platformWords are header names, paths and fields of the platform's wire.
var platformWords = regexp.MustCompile(`"(Deadline-Ms|Server-Stamp|Prefix-Hash|Token-Usage|Not-Executed|Expect-Instance|Expect-Version|` +
	`Kv-[A-Z][a-z]+|Tenant-Id|Cache-Salt|Api-Key|Request-Id|Last-Event-Id|Wait-Ms)"|` +
	`Instances\.(Heartbeat|Deregister)|Config\.(Put|Get)|/v1/(order\b|report\b|kv-|version-put|ready\b)|` +
	`kv_store_addr|path_prefix|traffic_split|boot_epoch|next_page_token|cold_remaining_ms`)

// The platform's words are translated in one place, tests included, but for the pattern here.
func TestPlatformsWordsStayInOnePlace(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "platform" || d.Name() == ".git" || d.Name() == "target") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "layers_test.go") {
			return nil
		}
		files++
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for i, line := range strings.Split(string(text), "\n") {
			if word := platformWords.FindString(line); word != "" {
				t.Errorf("%s:%d has %s", path, i+1, word)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Fatalf("only %d files were read", files)
	}
}
