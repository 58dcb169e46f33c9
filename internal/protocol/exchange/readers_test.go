package exchange_test

import (
	"bytes"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	module   = "github.com/shedrock/shedrock/"
	exchange = module + "internal/protocol/exchange"
)

// readers are the packages that make decisions based on upstream replies.
var readers = []string{"internal/transport/serving", "internal/transport/entry"}

// Guards against reply fields that are decoded but never used, as happened with a reported condition:
// every field of an upstream reply must be read by one of the packages in readers.
func TestEveryFieldOfAReplyHasAReader(t *testing.T) {
	fset := token.NewFileSet()
	imports := importer.ForCompiler(fset, "gc", exports(t))
	read := map[types.Object]bool{}
	for _, name := range readers {
		recordReads(t, fset, imports, name, read)
	}
	replies, err := imports.Import(exchange)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Unreached", "NotRun", "Broken", "Head", "Whole", "Stream", "Condition", "RateLimit", "UnreadableLimit"} {
		fields := replies.Scope().Lookup(name).Type().Underlying().(*types.Struct)
		for i := range fields.NumFields() {
			f := fields.Field(i)
			if !read[f] && !readByConditionOf(name, f.Name()) {
				t.Errorf("%s.%s has no reader", name, f.Name())
			}
		}
	}
}

// readByConditionOf reports whether ConditionOf reads a field for the others.
func readByConditionOf(reply, field string) bool { return field == "Condition" && reply != "Condition" }

// exports returns a lookup function that opens the export data of the readers and of their dependencies.
func exports(t *testing.T) func(path string) (io.ReadCloser, error) {
	t.Helper()
	args := []string{"list", "-export", "-deps", "-f", "{{.ImportPath}} {{.Export}}"}
	for _, name := range readers {
		args = append(args, module+name)
	}
	text, err := exec.Command("go", args...).Output()
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for line := range strings.SplitSeq(string(bytes.TrimSpace(text)), "\n") {
		path, file, _ := strings.Cut(line, " ")
		files[path] = file
	}
	return func(path string) (io.ReadCloser, error) { return os.Open(files[path]) }
}

// recordReads adds the fields that a package reads to read.
func recordReads(t *testing.T, fset *token.FileSet, imports types.Importer, name string, read map[types.Object]bool) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("../../..", name, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatal(name, " has no files: ", err)
	}
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	info := &types.Info{Selections: map[*ast.SelectorExpr]*types.Selection{}}
	_, err = (&types.Config{Importer: imports}).Check(module+name, fset, files, info)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range info.Selections {
		if s.Kind() == types.FieldVal {
			read[s.Obj()] = true
		}
	}
}
