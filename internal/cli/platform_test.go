package cli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/cli"
)

// A wrong setting stops the start with file, line and field, before anything listens.
func TestPlatformSettingsAreChecked(t *testing.T) {
	valid := map[string]any{
		"name": "c", "ip": "127.0.0.1", "failure_domain": "d", "control": "127.0.0.1:1", "peer_port": 2, "seeds": []string{},
		"memory_mb": 10, "heartbeat": "10ms", "grace": "10ms", "retry_window": "10ms",
	}
	cases := []struct {
		name, role, field string
		value             any
		want              string
	}{
		{"a wrong address", "entry", "callers", "nowhere", `callers: "nowhere" is not an IP number and port`},
		{"no memory", "entry", "memory_mb", 0, "memory_mb: must be above 0"},
		{"a wrong type", "control", "losses", "one", `losses: expected a whole number, got "one"`},
		{"no folder", "control", "data", "", "data: a control instance needs a folder"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body := map[string]any{}
			for k, v := range valid {
				body[k] = v
			}
			body[c.field] = c.value
			text, err := json.MarshalIndent(body, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "settings.json")
			err = os.WriteFile(path, text, 0o600)
			if err != nil {
				t.Fatal(err)
			}
			var out, errOut bytes.Buffer
			code := cli.Main([]string{"platform", c.role, "--config", path}, &out, &errOut)
			if diff := cmp.Diff(2, code); diff != "" {
				t.Error(diff)
			}
			got := errOut.String()
			if !strings.Contains(got, c.want) || !strings.Contains(got, fmt.Sprint("shedrock: ", path, ":")) {
				t.Errorf("%q", got)
			}
		})
	}
}
