package fleet_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

func domainsOf(f *fleet.Follower) []string { return slices.Sorted(maps.Keys(f.View().Evacuated)) }

func evacuated(names ...string) []evacuation.Domain {
	var out []evacuation.Domain
	for i, name := range names {
		out = append(out, evacuation.Domain{Name: name, Evacuated: true, Revision: uint64(i + 1)})
	}
	return out
}

// An evacuation reaches an entry from whichever control instance has applied it; one that lags, or
// that has started again and holds nothing yet, takes nothing back. An entry that starts knows it
// with the first answer, and sources know which entries have it.
func TestEvacuationsReachEntries(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.source.Load().PublishEvacuations(evacuated("d1"))
	wait(t, "d1 is evacuated", func() bool { return cmp.Equal([]string{"d1"}, domainsOf(f)) })
	b.source.Load().PublishEvacuations(evacuated("d1", "d2"))
	wait(t, "d2 is too", func() bool { return cmp.Equal([]string{"d1", "d2"}, domainsOf(f)) })
	a.restart()
	a.source.Load().PublishEvacuations(evacuated("d1"))
	wait(t, "both sources know that the entry has both", func() bool {
		for _, c := range []*control{a, b} {
			_, entries := c.source.Load().EvacuationStatus()
			if len(entries) != 1 || entries[0].Evacuations != 2 {
				return false
			}
		}
		return true
	})
	if diff := cmp.Diff([]string{"d1", "d2"}, domainsOf(f)); diff != "" {
		t.Error(diff)
	}
	b.source.Load().PublishEvacuations([]evacuation.Domain{{Name: "d1", Revision: 3}, {Name: "d2", Evacuated: true, Revision: 2}})
	wait(t, "d1 is used again", func() bool { return cmp.Equal([]string{"d2"}, domainsOf(f)) })
	if _, ok := f.View().Returned["d1"]; !ok {
		t.Error("d1 has not returned")
	}
	late := followAs(t, "late", b)
	wait(t, "an entry that starts knows it", func() bool { return cmp.Equal([]string{"d2"}, domainsOf(late)) })
}

// While nothing changes, answers say nothing of evacuations.
func TestEvacuationsAreToldOnce(t *testing.T) {
	c := newControl(t)
	c.source.Load().PublishEvacuations(evacuated("d1"))
	for known, want := range []int{1, 0} {
		out, err := c.source.Load().Watch(t.Context(), &wire.FleetRequest{Evacuations: uint64(known)})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, len(out.Evacuations)); diff != "" {
			t.Errorf("to one that knows change %d: %s", known, diff)
		}
	}
}

// Each entry is told its place among those that ask, so that they share out what may be sent.
func TestEntriesHaveRanks(t *testing.T) {
	c := newControl(t)
	names := []string{"e1", "e2", "e3"}
	for range 2 {
		for i, name := range names {
			out, err := c.source.Load().Watch(t.Context(), &wire.FleetRequest{Name: name, Entry: true})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(uint32(i), out.Rank); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
}
