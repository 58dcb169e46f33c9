package system_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/cli"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// An operator evacuates the only failure domain with engines: prompts are refused with the truth, also
// by an entry that starts again while no replica of the control log runs, and served after the end.
func TestEvacuatedDomain(t *testing.T) {
	f := startFleet(t, startGroup(t, 3, nil), 2)
	f.entries[0].Kill()
	f.entries[0].Args = append(f.entries[0].Args, "--data", t.TempDir())
	f.entries[0].Start()
	f.ready(0)
	shedrock := func(args ...string) (code int, text string) {
		var out strings.Builder
		code = cli.Main(append(args, "--control", strings.Join(f.addresses, ",")), &out, &out)
		return code, out.String()
	}
	for range 2 {
		code, text := shedrock("evacuate", "d1", "--wait")
		if code != 0 || !strings.Contains(text, "d1: evacuated since change 1 of evacuations\n") || !strings.Contains(text, "in force on 2 of 2 entries heard") {
			t.Fatalf("%d %q", code, text)
		}
	}
	_, text := shedrock("status")
	if !strings.Contains(text, "failure domain d1: evacuated, change 1\n") {
		t.Error(text)
	}
	refuses := func(i int) {
		t.Helper()
		if outcome, status := f.prompt(i); outcome != "not run" || status != http.StatusServiceUnavailable {
			t.Errorf("prompt at entry %d: %q %d", i, outcome, status)
		}
	}
	refuses(0)
	refuses(1)
	for _, r := range f.replicas {
		r.Kill()
	}
	f.entries[0].Kill()
	f.entries[0].Start()
	f.ready(0)
	refuses(0)
	for _, r := range f.replicas {
		r.Start()
	}
	if code, text := shedrock("evacuate", "d1", "--end", "--wait"); code != 0 {
		t.Fatalf("%d %q", code, text)
	}
	for i := range f.entries {
		eventually(t, "prompts are served again", func() bool {
			outcome, _ := f.prompt(i)
			return outcome == "ran"
		})
	}
	if code, text := shedrock("evacuate", ""); code == 0 {
		t.Errorf("a domain without a name: %q", text)
	}
}

// Orders of two operators at once, and the same one given again, have one end state.
func TestRacingEvacuations(t *testing.T) {
	f := startFleet(t, startGroup(t, 3, nil), 1)
	client := func() *controlclient.Client { return controlclient.New(controlclient.StaticAddresses(f.addresses)) }
	revisions := make(chan uint64, 4)
	for range cap(revisions) {
		go func() {
			out, err := client().Evacuate(context.Background(), "d9", false)
			if err != nil {
				t.Error(err)
			}
			revisions <- out.GetRevision()
		}()
	}
	for range cap(revisions) {
		if diff := cmp.Diff(uint64(1), <-revisions); diff != "" {
			t.Error(diff)
		}
	}
	out, err := client().Evacuate(context.Background(), "d8", true)
	if err != nil || out.Revision != 0 {
		t.Errorf("an end without a start: %v %v", out, err)
	}
}
