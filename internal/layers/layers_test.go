// Package layers_test holds the packages to their layers: transport, protocol,
// coordination and state, each of which imports only those after it.
package layers_test

import (
	"encoding/json"
	"io"
	"os/exec"
	"strings"
	"testing"
)

const root = "github.com/shedrock/shedrock/internal/"

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
