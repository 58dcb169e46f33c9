// Package registry holds the instances that registered by heartbeat.
//
// It is soft state: what a control instance wrote down of it only bridges a restart, until
// the instances report again (Restore). Each control instance keeps a Registry of what it heard
// itself; whoever uses instances joins the reports of all control instances in a Merged. The
// latest start of an instance decides which report holds, and of that start the newest sequence
// number, so calls that arrive late or elsewhere change nothing.
package registry

import (
	"iter"
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/state/changes"
)

// leftFor is how long an incarnation that left is remembered, so that a late heartbeat
// does not bring it back: heartbeats come at most some seconds late.
const leftFor = time.Minute

// coldStep is by how much the end of being cold must move to be told: heartbeats tell what remains,
// and are under way for some time.
const coldStep = 500 * time.Millisecond

// Instance is what one incarnation said of itself.
type Instance struct {
	// ID names the instance, which may start again under it, and Start is that of the
	// incarnation.
	ID                              string
	Start                           Start
	Service, Address, FailureDomain string
	Slots                           int
	// ColdUntil is until when it is cold by its own word, and bears less than otherwise; it is
	// zero, or in the past, for one that is not.
	ColdUntil time.Time
	// Leaving is true once it said that it will end.
	Leaving bool
	// Sequence rises with each heartbeat.
	Sequence uint64
	// Weights holds the weight version of each model that it serves, and WeightsProvenance is how they are
	// known.
	Weights           map[string]uint64
	WeightsProvenance Provenance
}

// Report is an instance as one control instance knows it.
type Report struct {
	Instance
	// Silent is true after several missing heartbeats, and Left once it signed off. One that
	// left without a start is the end of every incarnation of the id that was heard of before.
	Silent, Left bool
	// FirstSeen is when the registry first heard of it; zero stands for now.
	FirstSeen time.Time
	// Change numbers the reports of one registry in the order of their changes.
	Change uint64
}

type record struct {
	report Report
	heard  time.Time
}

// Registry is what one control instance heard. It is not safe for concurrent use.
type Registry struct {
	// SilentAfter is how long an instance may be unheard before it is reported silent.
	SilentAfter time.Duration

	records map[string]*record
	// log holds the ids of the instances in the order of their changes.
	log changes.Log[string]
}

// Change returns the number of the newest change.
func (r *Registry) Change() uint64 { return r.log.Last() }

// RecordHeartbeat takes a heartbeat; it reports whether anything changed that others must know.
func (r *Registry) RecordHeartbeat(in Instance, now time.Time) bool {
	known, ok := r.records[in.ID]
	in.WeightsProvenance = Provenance{At: now}
	if !ok || known.endsWith(in.Start) {
		r.put(&record{report: Report{Instance: in, FirstSeen: now}, heard: now})
		return true
	}
	if in.Start < known.report.Start {
		return false
	}
	if known.report.Left && in.Start != known.report.Start {
		return false
	}
	known.heard = now
	if known.report.Left || in.Sequence < known.report.Sequence {
		return false
	}
	changed := known.report.Silent || !same(known.report.Instance, in)
	in.Weights = known.report.weightsAfter(in, now)
	if maps.Equal(in.Weights, known.report.Weights) {
		in.WeightsProvenance = known.report.WeightsProvenance
	}
	changed = changed || !maps.Equal(in.Weights, known.report.Weights)
	known.report.Instance = in
	known.report.Silent = false
	if changed {
		r.note(known)
	}
	return changed
}

// endsWith reports whether an incarnation that begins at a start ends the one that is known. An
// instance that left without a word of its start stays away: its heartbeats may still come.
func (k *record) endsWith(start Start) bool {
	return start > k.report.Start && !(k.report.Left && k.report.Start == 0)
}

// RecordQueriedWeights takes what an instance answered when it was asked for its weights; in is what was
// believed of it then. It reports whether others must know.
func (r *Registry) RecordQueriedWeights(in Instance, model string, version uint64, now time.Time) bool {
	known, ok := r.records[in.ID]
	if !ok || known.endsWith(in.Start) {
		r.RecordHeartbeat(in, now)
		known = r.records[in.ID]
	}
	if known.report.Start != in.Start {
		return false
	}
	same := known.report.Weights[model] == version && in.Weights[model] == version
	// The answer may be older than a heartbeat that came just before it.
	early := version < known.report.Weights[model] && now.Sub(known.report.WeightsProvenance.At) <= lateFor
	if same || early {
		return false
	}
	known.report.Weights = maps.Clone(known.report.Weights)
	known.report.Weights[model] = version
	known.report.WeightsProvenance = Provenance{At: now, Queried: true}
	r.note(known)
	return true
}

// weightsAfter returns the weights that are believed once a heartbeat has come: one that was sent
// before a load ended takes nothing back.
func (in Instance) weightsAfter(beat Instance, now time.Time) map[string]uint64 {
	out := maps.Clone(in.Weights)
	if out == nil {
		out = map[string]uint64{}
	}
	for model := range beat.Weights {
		told := beat.claim(model)
		if told.version > out[model] || told.refutes(in.claim(model), now) {
			out[model] = told.version
		}
	}
	return out
}

// claim returns what is said of one model.
func (in Instance) claim(model string) claim {
	return claim{version: in.Weights[model], word: in.WeightsProvenance, sequence: in.Sequence}
}

// Restore takes a report of an earlier life of this registry. Until the instance reports
// itself it counts for a while only, and one that was silent then does not count at all; nor
// does one that has reported itself since.
func (r *Registry) Restore(report Report, now time.Time, counts time.Duration) {
	known, ok := r.records[report.ID]
	if report.Silent || ok && !known.endsWith(report.Start) {
		return
	}
	// What it says of its weights now goes before what it said then.
	report.WeightsProvenance = Provenance{}
	r.put(&record{report: report, heard: now.Add(counts - r.SilentAfter)})
}

// Leave takes the end of an incarnation, or without a start that of all before.
func (r *Registry) Leave(in Incarnation, now time.Time) {
	known, ok := r.records[in.ID]
	if !ok || known.endsWith(in.Start) {
		r.put(&record{report: Report{Instance: Instance{ID: in.ID, Start: in.Start}, FirstSeen: now, Left: true}, heard: now})
		return
	}
	if in.Start != 0 && in.Start < known.report.Start {
		return
	}
	known.heard = now
	if known.report.Left {
		return
	}
	known.report.Left = true
	r.note(known)
}

// DiscountPause notes that this process did nothing for a while before now: that nobody was heard then says
// nothing of them.
func (r *Registry) DiscountPause(missed time.Duration, now time.Time) {
	for _, k := range r.records {
		k.heard = earlier(k.heard.Add(missed), now)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Sweep marks the instances that fell silent, and forgets those that left long ago; it
// returns those that newly fell silent.
func (r *Registry) Sweep(now time.Time) []Instance {
	var silent []Instance
	for id, k := range r.records {
		unheard := now.Sub(k.heard)
		gone := k.report.Left || k.report.Silent
		if gone && unheard > leftFor {
			delete(r.records, id)
			continue
		}
		if !gone && unheard > r.SilentAfter {
			k.report.Silent = true
			r.note(k)
			silent = append(silent, k.report.Instance)
		}
	}
	return silent
}

// Since returns the reports that changed after a change, in the order of their changes.
func (r *Registry) Since(change uint64) []Report {
	var out []Report
	for _, report := range r.After(change) {
		out = append(out, report)
	}
	return out
}

// After lists the reports that changed after a change by their changes, the oldest first.
func (r *Registry) After(change uint64) iter.Seq2[uint64, Report] {
	return r.reports(r.log.After(change))
}

// UpTo lists the reports that did not change after a change, the newest first.
func (r *Registry) UpTo(change uint64) iter.Seq2[uint64, Report] {
	return r.reports(r.log.UpTo(change))
}

func (r *Registry) reports(ids iter.Seq2[uint64, string]) iter.Seq2[uint64, Report] {
	return func(yield func(uint64, Report) bool) {
		for change, id := range ids {
			if !yield(change, r.records[id].report) {
				return
			}
		}
	}
}

// put takes a record that is new, or replaces one.
func (r *Registry) put(k *record) {
	if r.records == nil {
		r.records = map[string]*record{}
		r.log.Newest = func(id string) uint64 {
			if known := r.records[id]; known != nil {
				return known.report.Change
			}
			return 0
		}
	}
	r.records[k.report.ID] = k
	r.note(k)
}

// note numbers a change of a record.
func (r *Registry) note(k *record) { k.report.Change = r.log.Add(k.report.ID) }

func same(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && b.ColdUntil.Sub(a.ColdUntil).Abs() < coldStep
}
