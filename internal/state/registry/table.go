package registry

import (
	"iter"
	"maps"

	"github.com/shedrock/shedrock/internal/state/changes"
)

// Table holds one report for each instance, and numbers their changes, so that a reader that has seen
// the changes up to some number can be sent the others. It is not safe for concurrent use.
type Table struct {
	reports map[string]*Report
	// log holds the ids of the instances in the order of their changes.
	log changes.Log[string]
}

// Change returns the number of the newest change.
func (t *Table) Change() uint64 { return t.log.Last() }

// Put replaces the report of an instance. It reports whether anything changed that must be sent to
// others; if not, nothing is replaced.
func (t *Table) Put(r Report) bool {
	if t.reports == nil {
		t.reports = map[string]*Report{}
		t.log.Newest = func(id string) uint64 {
			if known := t.reports[id]; known != nil {
				return known.Change
			}
			return 0
		}
	}
	known := t.reports[r.ID]
	if known != nil && sameReport(known, &r) {
		return false
	}
	t.reports[r.ID] = &r
	r.Change = t.log.Add(r.ID)
	return true
}

// sameReport reports whether a reader of a need not be sent b.
func sameReport(a, b *Report) bool {
	return a.Start == b.Start && a.Left == b.Left && a.Silent == b.Silent && sameStatus(a.Instance, b.Instance) && maps.Equal(a.Weights, b.Weights)
}

// Start returns the start of the latest incarnation of an id, or 0 if it is not known.
func (t *Table) Start(id string) Start {
	known, ok := t.reports[id]
	if !ok {
		return 0
	}
	return known.Start
}

// Remove removes an instance. Readers are not told of that, as they forget it by themselves some time
// after it has ended.
func (t *Table) Remove(id string) { delete(t.reports, id) }

// After iterates over the reports that changed after the given change, the oldest change first.
func (t *Table) After(change uint64) iter.Seq2[uint64, Report] {
	return t.resolve(t.log.After(change))
}

// UpTo iterates over the reports that did not change after the given change, the newest change first.
func (t *Table) UpTo(change uint64) iter.Seq2[uint64, Report] {
	return t.resolve(t.log.UpTo(change))
}

func (t *Table) resolve(ids iter.Seq2[uint64, string]) iter.Seq2[uint64, Report] {
	return func(yield func(uint64, Report) bool) {
		for change, id := range ids {
			if !yield(change, *t.reports[id]) {
				return
			}
		}
	}
}
