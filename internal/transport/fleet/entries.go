package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// entryStatus is what an entry reported about itself in its last poll.
type entryStatus struct {
	polledAt time.Time
	// evacuations is the newest revision of evacuations that the entry has in force.
	evacuations uint64
	// standby is true if another control instance is its primary.
	standby bool
}

// entryTable holds the entries that polled lately. The zero value is empty.
type entryTable struct {
	// polled holds the status of each entry that polled this control instance, by name.
	polled map[string]entryStatus
	// names holds their names, and all those of the entries that polled any control instance; both
	// are in ascending order. change numbers the changes of names.
	names, all []string
	change     uint64
	// relayed holds the names that other control instances reported.
	relayed []string
}

// recordPoll records a poll of an entry.
func (t *entryTable) recordPoll(in *wire.FleetRequest, now time.Time) {
	_, known := t.polled[in.Name]
	if t.polled == nil {
		t.polled = map[string]entryStatus{}
	}
	t.polled[in.Name] = entryStatus{polledAt: now, evacuations: in.Evacuations, standby: in.Standby}
	if known {
		return
	}
	t.change++
	t.names = insertSorted(t.names, in.Name)
	t.all = insertSorted(t.all, in.Name)
}

// fullPollers returns the number of entries whose primary this control instance is.
func (t *entryTable) fullPollers() int {
	n := 0
	for _, s := range t.polled {
		if !s.standby {
			n++
		}
	}
	return n
}

// insertSorted returns a sorted list with a name added unless it contains it. The list is copied, as
// it may have been published.
func insertSorted(list []string, name string) []string {
	i, found := slices.BinarySearch(list, name)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), i, name)
}

// expire removes the entries that have not polled for entryLifetime.
func (t *entryTable) expire(now time.Time) {
	before := len(t.polled)
	maps.DeleteFunc(t.polled, func(_ string, s entryStatus) bool { return now.Sub(s.polledAt) > entryLifetime })
	if len(t.polled) == before {
		return
	}
	t.change++
	t.names = slices.Sorted(maps.Keys(t.polled))
	t.merge()
}

// setRelayed sets the names of the entries that other control instances reported, in ascending order.
func (t *entryTable) setRelayed(names []string) {
	if slices.Equal(t.relayed, names) {
		return
	}
	t.relayed = names
	t.merge()
}

// merge updates the names of all entries.
func (t *entryTable) merge() {
	all := slices.Concat(t.names, t.relayed)
	slices.Sort(all)
	t.all = slices.Compact(all)
}

// discountPause excludes the time for which this process was suspended from the silence of entries.
func (t *entryTable) discountPause(missed time.Duration, now time.Time) {
	for name, s := range t.polled {
		s.polledAt = s.polledAt.Add(min(missed, now.Sub(s.polledAt)))
		t.polled[name] = s
	}
}

// rank returns an entry's rank by name among all entries that polled lately.
func (t *entryTable) rank(name string) uint32 {
	i, _ := slices.BinarySearch(t.all, name)
	return uint32(i)
}

// countEntries returns the number of entries that polled any control instance lately, including those
// restored after a restart of this control instance; mu must be held.
func (s *Source) countEntries() int {
	if clock.Since(s.restoredAt) > entryLifetime {
		return len(s.entries.all)
	}
	return max(len(s.entries.all), s.restoredEntries)
}

// addEntries adds the names of the entries that poll this control instance, for a control instance
// that relays them; mu must be held.
func (s *Source) addEntries(in *wire.FleetRequest, out *wire.FleetResponse) {
	if !in.Relays {
		return
	}
	out.EntriesChange = s.entries.change
	if in.Epoch != out.Epoch || in.EntriesChange != s.entries.change {
		out.EntryNames = s.entries.names
	}
}
