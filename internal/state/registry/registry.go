// Package registry holds the instances that registered by heartbeat.
//
// It is soft state: what a control instance wrote down of it only bridges a restart, until
// the instances report again (Recall). Each control instance keeps a Registry of what it heard
// itself; whoever uses instances joins the reports of all control instances in a Merged. An
// incarnation's newest sequence number decides which report holds, so calls that arrive late
// or elsewhere change nothing.
package registry

import (
	"maps"
	"time"
)

// leftFor is how long an incarnation that left is remembered, so that a late heartbeat
// does not bring it back: heartbeats come at most some seconds late.
const leftFor = time.Minute

// Instance is what one incarnation said of itself.
type Instance struct {
	// ID is new at each start of the instance.
	ID                              string
	Service, Address, FailureDomain string
	Slots                           int
	// Leaving is true once it said that it will end.
	Leaving bool
	// Sequence rises with each heartbeat.
	Sequence uint64
	// Weights holds the weight version of each model that it serves.
	Weights map[string]uint64
}

// Report is an instance as one control instance knows it.
type Report struct {
	Instance
	// Silent is true after several missing heartbeats, and Left once it signed off.
	Silent, Left bool
	// First is when the registry first heard of it; zero stands for now.
	First time.Time
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
	// change only rises.
	change uint64
}

// Change returns the number of the newest change.
func (r *Registry) Change() uint64 { return r.change }

// Hear takes a heartbeat; it reports whether anything changed that others must know.
func (r *Registry) Hear(in Instance, now time.Time) bool {
	if r.records == nil {
		r.records = map[string]*record{}
	}
	known, ok := r.records[in.ID]
	if !ok {
		r.records[in.ID] = &record{report: Report{Instance: in, First: now, Change: r.next()}, heard: now}
		return true
	}
	known.heard = now
	if known.report.Left || in.Sequence < known.report.Sequence {
		return false
	}
	changed := known.report.Silent || !same(known.report.Instance, in)
	in.Weights = newest(known.report.Weights, in.Weights)
	changed = changed || !maps.Equal(in.Weights, known.report.Weights)
	known.report.Instance = in
	known.report.Silent = false
	if changed {
		known.report.Change = r.next()
	}
	return changed
}

// Raise takes what an instance said of its weights elsewhere than in a heartbeat; it
// reports whether that was new.
func (r *Registry) Raise(in Instance, model string, version uint64, now time.Time) bool {
	known, ok := r.records[in.ID]
	if !ok {
		r.Hear(in, now)
		known = r.records[in.ID]
	}
	if known.report.Weights[model] >= version {
		return false
	}
	known.report.Weights = newest(known.report.Weights, map[string]uint64{model: version})
	known.report.Change = r.next()
	return true
}

// newest joins what is known of an incarnation's weights: its versions only rise, so a
// heartbeat that was sent before a load ended takes nothing back.
func newest(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]uint64{}
	}
	for model, version := range b {
		out[model] = max(out[model], version)
	}
	return out
}

// Recall takes a report of an earlier life of this registry. Until the instance reports
// itself it counts for a while only, and one that was silent then does not count at all.
func (r *Registry) Recall(report Report, now time.Time, counts time.Duration) {
	if report.Silent {
		return
	}
	if r.records == nil {
		r.records = map[string]*record{}
	}
	report.Change = r.next()
	r.records[report.ID] = &record{report: report, heard: now.Add(counts - r.SilentAfter)}
}

// Leave takes the end of an incarnation.
func (r *Registry) Leave(id string, now time.Time) {
	if r.records == nil {
		r.records = map[string]*record{}
	}
	known, ok := r.records[id]
	if !ok {
		known = &record{report: Report{Instance: Instance{ID: id}, First: now}}
		r.records[id] = known
	}
	known.heard = now
	if known.report.Left {
		return
	}
	known.report.Left = true
	known.report.Change = r.next()
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
			k.report.Change = r.next()
			silent = append(silent, k.report.Instance)
		}
	}
	return silent
}

// Since returns the reports that changed after a change, in no order.
func (r *Registry) Since(change uint64) []Report {
	var out []Report
	for _, k := range r.records {
		if k.report.Change > change {
			out = append(out, k.report)
		}
	}
	return out
}

func (r *Registry) next() uint64 {
	r.change++
	return r.change
}

func same(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.Leaving == b.Leaving
}
