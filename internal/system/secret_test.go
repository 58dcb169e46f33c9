package system_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/entry"
)

// cursor streams a prompt through an entry and returns the id of its first event.
func (f *fleet) cursor(i int) string {
	f.t.Helper()
	_, status, text := f.call(i, "POST", "/v1/chat/completions", "", `{"model":"demo","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`)
	_, rest, ok := strings.Cut(text, "id: ")
	id, _, _ := strings.Cut(rest, "\n")
	if status != http.StatusOK || !ok {
		f.t.Fatalf("stream: %d %s", status, text)
	}
	return strings.TrimSpace(id)
}

// resume goes on with a stream at an entry and returns the status.
func (f *fleet) resume(i int, cursor string) int {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callers[i]+entry.PathStreams, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	req.Header.Set("Last-Event-ID", cursor)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	return res.StatusCode
}

// TestSecretIsChangedOnALiveFleet runs the procedure of docs/operating.md: the new secret
// second everywhere, then first everywhere, then alone. At every step, also while entries
// differ, streams that were begun at either entry go on at both; only with the old secret
// gone are its cursors refused.
func TestSecretIsChangedOnALiveFleet(t *testing.T) {
	f := newFleet(t, 1, 2)
	path := filepath.Join(t.TempDir(), "secret")
	for _, e := range f.entries {
		for i, arg := range e.Args {
			if arg == "--secret-file" {
				e.Args[i+1] = path
			}
		}
	}
	const before, after = "the old secret of the tests", "the new secret of the tests"
	var cursors []string
	steps := []struct {
		secrets []string
		// refused counts the oldest cursors that are of no more use.
		refused int
	}{
		{[]string{before}, 0},
		{[]string{before, after}, 0},
		{[]string{after, before}, 0},
		{[]string{after}, 3},
	}
	for n, step := range steps {
		if err := os.WriteFile(path, []byte(strings.Join(step.secrets, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for i, e := range f.entries {
			e.Terminate()
			e.Start()
			f.ready(i)
			if n == 0 && i == 0 {
				// The other still has the secret that the fleet was started with.
				continue
			}
			cursors = append(cursors, f.cursor(i))
			if step.refused > 0 && i == 0 {
				continue
			}
			for k, c := range cursors {
				for at := range f.entries {
					want := http.StatusOK
					if k < step.refused {
						want = http.StatusNotFound
					}
					if got := f.resume(at, c); got != want {
						t.Fatalf("step %d: cursor %d at entry %d: status %d, want %d", n, k, at+1, got, want)
					}
				}
			}
		}
	}
}
