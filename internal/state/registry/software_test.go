package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against a software version that is forgotten while streams of it may be resumed, is never forgotten, or is
// missed where an incarnation replaces another one, reports another version, or leaves.
func TestSoftwareVersionsAreCounted(t *testing.T) {
	const grace = time.Second
	now := time.Unix(1e9, 0)
	m := registry.Merged{Grace: grace}
	report := func(id string, start registry.Start, version string, sequence uint64) registry.Report {
		return registry.Report{Instance: registry.Instance{ID: id, Start: start, Service: "s", Address: "at " + id, SoftwareVersion: version, Sequence: sequence}, FirstSeen: now}
	}
	steps := []struct {
		name    string
		reports []registry.Report
		after   time.Duration
		want    map[string]map[string]int
		changed bool
	}{
		{"one version", []registry.Report{report("a", 1, "v1", 1), report("b", 1, "v1", 1)}, 0, map[string]map[string]int{"s": {"v1": 2}}, true},
		{"nothing new", []registry.Report{report("a", 1, "v1", 2)}, 0, map[string]map[string]int{"s": {"v1": 2}}, false},
		{"a restart under the same id", []registry.Report{report("a", 2, "v2", 1)}, 0, map[string]map[string]int{"s": {"v1": 2, "v2": 1}}, true},
		{"another version of one incarnation", []registry.Report{report("b", 1, "v3", 2)}, 0, map[string]map[string]int{"s": {"v1": 1, "v2": 1, "v3": 1}}, true},
		{"an end of which nothing else is known", []registry.Report{{Instance: registry.Instance{ID: "c", Start: 1}, Left: true, FirstSeen: now}}, 0, map[string]map[string]int{"s": {"v1": 1, "v2": 1, "v3": 1}}, false},
		{"later", nil, 2 * time.Minute, map[string]map[string]int{"s": {"v2": 1, "v3": 1}}, true},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		m.Merge("c", s.reports, now)
		m.LiveByService(now)
		got, changed := m.SoftwareVersions()
		if diff := cmp.Diff(s.want, got); diff != "" || changed != s.changed {
			t.Errorf("%s: changed %t, %s", s.name, changed, diff)
		}
	}
}
