package streamorigin_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
)

// A further version is recorded at once. A record by which streams can go on nowhere else needs a process that has known of
// all versions for long enough.
func TestDueRecords(t *testing.T) {
	list := func(versions ...string) map[string][]string { return map[string][]string{"s": versions} }
	seconds := func(n int) streamorigin.Watched { return streamorigin.Watched{For: time.Duration(n) * time.Second} }
	cases := []struct {
		name            string
		recorded, known map[string][]string
		watched         streamorigin.Watched
		want            map[string][]string
	}{
		{"the first one of a new system", nil, list("v1"), streamorigin.Watched{FromStart: true}, list("v1")},
		{"the first one, heard of by a process that has just started", nil, list("v1"), seconds(29), map[string][]string{}},
		{"the first one, by one that would know of others", nil, list("v1"), seconds(30), list("v1")},
		{"nothing is known yet", nil, list(), seconds(100), map[string][]string{}},
		{"unchanged", list("v1", "v2"), list("v1", "v2"), seconds(100), map[string][]string{}},
		{"a further one", list("v2"), list("v1", "v2"), seconds(0), list("v1", "v2")},
		{"one that may have left before the start", list("v1", "v2"), list("v2"), seconds(89), map[string][]string{}},
		{"one that has left", list("v1", "v2"), list("v2"), seconds(90), list("v2")},
		{"all have left", list("v1"), list(), seconds(100), map[string][]string{}},
		{"one after another", list("v1"), list("v2"), seconds(10), list("v1", "v2")},
		{"not in the configuration", list("v1"), map[string][]string{}, seconds(0), map[string][]string{"s": nil}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, streamorigin.DueRecords(c.recorded, c.known, c.watched)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
