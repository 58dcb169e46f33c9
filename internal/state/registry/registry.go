// Package registry holds the instances that registered by heartbeat.
//
// It is soft state: the copy that a control instance persists only bridges a restart, until
// the instances report again (Restore). Each control instance keeps a Registry of the heartbeats that it
// received itself; a process that uses instances merges the reports of all control instances in a Merged.
// The report with the latest start of an instance holds, and among those of one start the one with the
// highest sequence number, so calls that arrive late or at another control instance change nothing.
package registry

import (
	"iter"
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/state/changes"
)

// endedRetention is how long an incarnation that left or is silent is retained, so that a late heartbeat
// does not bring it back. Heartbeats are delayed by at most some seconds.
const endedRetention = time.Minute

// coldUntilTolerance is by how much ColdUntil must move to count as a change. Heartbeats carry
// the remaining time, so the computed end varies with their transit time.
const coldUntilTolerance = 500 * time.Millisecond

// Instance is the state that one incarnation reported of itself.
type Instance struct {
	// ID identifies the instance and stays the same when it restarts; Start identifies the
	// incarnation.
	ID                              string
	Start                           Start
	Service, Address, FailureDomain string
	Slots                           int
	// SoftwareVersion is the version of the instance's software, which has no order. It is empty if the
	// instance does not report one, and then counts as a version of its own.
	SoftwareVersion string
	// ColdUntil is until when the instance reports itself as cold, which means that it can carry less
	// load than usual. It is zero or in the past for an instance that is not cold.
	ColdUntil time.Time
	// Leaving is true once the instance has announced that it will shut down.
	Leaving bool
	// Sequence rises with each heartbeat.
	Sequence uint64
	// Weights holds the weights version of each model that it serves, and WeightsProvenance is how the
	// newest of them became known.
	Weights           map[string]uint64
	WeightsProvenance Provenance
}

// Report is the state of an instance as one control instance knows it.
type Report struct {
	Instance
	// Silent is true after several missing heartbeats, and Left once the instance signed off. A report
	// of one that left without a start ends every incarnation of the id that was seen before.
	Silent, Left bool
	// FirstSeen is when the registry first heard of the incarnation; zero stands for now.
	FirstSeen time.Time
	// DepartedAt is when a control instance first heard that the incarnation leaves or has left, or zero.
	DepartedAt time.Time
	// Change numbers the reports of one registry in the order of their changes.
	Change uint64
}

// Departing reports whether the instance has announced that it leaves, or has left.
func (r Report) Departing() bool { return r.Leaving || r.Left }

type record struct {
	report   Report
	lastSeen time.Time
}

// Registry holds the instances that reported to one control instance. It is not safe for concurrent use.
type Registry struct {
	// SilentAfter is the time without a heartbeat after which an instance is reported as silent.
	SilentAfter time.Duration

	records map[string]*record
	// log holds the ids of the instances in the order of their changes.
	log changes.Log[string]
}

// Change returns the number of the newest change.
func (r *Registry) Change() uint64 { return r.log.Last() }

// RecordHeartbeat records a heartbeat; it reports whether anything changed that must be sent to others.
func (r *Registry) RecordHeartbeat(in Instance, now time.Time) bool {
	known, ok := r.records[in.ID]
	in.WeightsProvenance = Provenance{At: now}
	if !ok || known.supersededBy(in.Start) {
		r.put(&record{report: Report{Instance: in, FirstSeen: now, DepartedAt: departedAt(in, time.Time{}, now)}, lastSeen: now})
		return true
	}
	if in.Start < known.report.Start {
		return false
	}
	if known.report.Left && in.Start != known.report.Start {
		return false
	}
	known.lastSeen = now
	if known.report.Left || in.Sequence < known.report.Sequence {
		return false
	}
	changed := known.report.Silent || !sameStatus(known.report.Instance, in)
	in.Weights = known.report.mergeWeights(in, now)
	if maps.Equal(in.Weights, known.report.Weights) {
		in.WeightsProvenance = known.report.WeightsProvenance
	}
	changed = changed || !maps.Equal(in.Weights, known.report.Weights)
	known.report.Instance = in
	known.report.Silent = false
	known.report.DepartedAt = departedAt(in, known.report.DepartedAt, now)
	if changed {
		r.recordChange(known)
	}
	return changed
}

// departedAt returns when an instance departed, by its heartbeat at the time now. before is what was known until then.
func departedAt(in Instance, before, now time.Time) time.Time {
	if !in.Leaving {
		return time.Time{}
	}
	if before.IsZero() {
		return now
	}
	return before
}

// supersededBy reports whether an incarnation with the given start replaces the recorded one. An
// instance that left without reporting a start is not replaced, as its heartbeats may still arrive.
func (k *record) supersededBy(start Start) bool {
	return start > k.report.Start && !(k.report.Left && k.report.Start == 0)
}

// RecordQueriedWeights records the version that an instance returned when it was queried for its weights;
// in is its known state at the time of the query. It reports whether anything changed that must be sent
// to others.
func (r *Registry) RecordQueriedWeights(in Instance, model string, version uint64, now time.Time) bool {
	known, ok := r.records[in.ID]
	if !ok || known.supersededBy(in.Start) {
		r.RecordHeartbeat(in, now)
		known = r.records[in.ID]
	}
	if known.report.Start != in.Start {
		return false
	}
	same := known.report.Weights[model] == version && in.Weights[model] == version
	// The answer may be older than a heartbeat that arrived just before it.
	mayBeOutdated := version < known.report.Weights[model] && now.Sub(known.report.WeightsProvenance.At) <= maxHeartbeatDelay
	if same || mayBeOutdated {
		return false
	}
	known.report.Weights = maps.Clone(known.report.Weights)
	known.report.Weights[model] = version
	known.report.WeightsProvenance = Provenance{At: now, Queried: true}
	r.recordChange(known)
	return true
}

// mergeWeights returns the assumed weights after a heartbeat: one that was sent
// before a load ended does not undo the load.
func (in Instance) mergeWeights(heartbeat Instance, now time.Time) map[string]uint64 {
	out := maps.Clone(in.Weights)
	if out == nil {
		out = map[string]uint64{}
	}
	for model := range heartbeat.Weights {
		reported := heartbeat.claim(model)
		if reported.version > out[model] || reported.supersedes(in.claim(model), now) {
			out[model] = reported.version
		}
	}
	return out
}

// claim returns what in claims about the weights of one model.
func (in Instance) claim(model string) claim {
	return claim{version: in.Weights[model], provenance: in.WeightsProvenance, sequence: in.Sequence}
}

// Restore adds a report that an earlier run of this control instance persisted. It expires after validFor
// unless the instance reports itself. The report is ignored if the instance was silent then and not departing, or if
// it has reported itself since.
func (r *Registry) Restore(report Report, now time.Time, validFor time.Duration) {
	known, ok := r.records[report.ID]
	if report.Silent && !report.Departing() || ok && !known.supersededBy(report.Start) {
		return
	}
	// A claim about the weights that is made from now on takes precedence over the restored one.
	report.WeightsProvenance = Provenance{}
	r.put(&record{report: report, lastSeen: now.Add(validFor - r.SilentAfter)})
}

// Leave records the end of an incarnation, or of all earlier ones if the start is not given.
func (r *Registry) Leave(in Incarnation, now time.Time) {
	known, ok := r.records[in.ID]
	if !ok || known.supersededBy(in.Start) {
		r.put(&record{report: Report{Instance: Instance{ID: in.ID, Start: in.Start}, FirstSeen: now, DepartedAt: now, Left: true}, lastSeen: now})
		return
	}
	if in.Start != 0 && in.Start < known.report.Start {
		return
	}
	known.lastSeen = now
	if known.report.Left {
		return
	}
	known.report.Left = true
	if known.report.DepartedAt.IsZero() {
		known.report.DepartedAt = now
	}
	r.recordChange(known)
}

// DiscountPause notes that this process was suspended for the time missed before now, so that this time does
// not count as silence of the instances.
func (r *Registry) DiscountPause(missed time.Duration, now time.Time) {
	for _, k := range r.records {
		k.lastSeen = earlier(k.lastSeen.Add(missed), now)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Sweep marks instances without a heartbeat for SilentAfter as silent, and removes ended ones after
// endedRetention. It returns those that it marked.
func (r *Registry) Sweep(now time.Time) []Instance {
	var silent []Instance
	for id, k := range r.records {
		silence := now.Sub(k.lastSeen)
		gone := k.report.Left || k.report.Silent
		if gone && silence > endedRetention {
			delete(r.records, id)
			continue
		}
		if !gone && silence > r.SilentAfter {
			k.report.Silent = true
			r.recordChange(k)
			silent = append(silent, k.report.Instance)
		}
	}
	return silent
}

// Since returns the reports that changed after the given change, in the order of their changes.
func (r *Registry) Since(change uint64) []Report {
	var out []Report
	for _, report := range r.After(change) {
		out = append(out, report)
	}
	return out
}

// After iterates over the reports that changed after the given change, the oldest change first.
func (r *Registry) After(change uint64) iter.Seq2[uint64, Report] {
	return r.reports(r.log.After(change))
}

// UpTo iterates over the reports that did not change after the given change, the newest change first.
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

// put adds a record, or replaces the one with the same id.
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
	r.recordChange(k)
}

// recordChange assigns the next change number to a record.
func (r *Registry) recordChange(k *record) { k.report.Change = r.log.Add(k.report.ID) }

func sameStatus(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain && a.SoftwareVersion == b.SoftwareVersion &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && b.ColdUntil.Sub(a.ColdUntil).Abs() < coldUntilTolerance
}
