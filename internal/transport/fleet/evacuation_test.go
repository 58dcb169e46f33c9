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

// An evacuation must reach an entry from whichever control instance has applied it. A control
// instance that lags, or that has restarted and has no state yet, must not revert it. An entry that
// starts must receive it with the first answer, and sources must know which entries have it in
// force.
func TestEvacuationsReachEntries(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.source.Load().PublishEvacuations(evacuated("d1"))
	waitFor(t, "d1 is evacuated", func() bool { return cmp.Equal([]string{"d1"}, domainsOf(f)) })
	b.source.Load().PublishEvacuations(evacuated("d1", "d2"))
	waitFor(t, "d2 is evacuated too", func() bool { return cmp.Equal([]string{"d1", "d2"}, domainsOf(f)) })
	a.restart()
	a.source.Load().PublishEvacuations(evacuated("d1"))
	waitFor(t, "both sources know that the entry has both evacuations in force", func() bool {
		for _, c := range []*controlServer{a, b} {
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
	waitFor(t, "the evacuation of d1 has ended", func() bool { return cmp.Equal([]string{"d2"}, domainsOf(f)) })
	if _, ok := f.View().Returned["d1"]; !ok {
		t.Error("d1 is missing from Returned")
	}
	late := followAs(t, "late", b)
	waitFor(t, "an entry that starts knows the evacuation", func() bool { return cmp.Equal([]string{"d2"}, domainsOf(late)) })
}

// While nothing changes, answers must not contain evacuations.
func TestEvacuationsAreSentOnce(t *testing.T) {
	c := newControl(t)
	c.source.Load().PublishEvacuations(evacuated("d1"))
	for known, want := range []int{1, 0} {
		out, err := c.source.Load().Watch(t.Context(), &wire.FleetRequest{Evacuations: uint64(known)})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, len(out.Evacuations)); diff != "" {
			t.Errorf("poller that has revision %d: %s", known, diff)
		}
	}
}

// Each entry must receive its rank among the entries that poll, by which they divide the fleet-wide
// limits.
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
