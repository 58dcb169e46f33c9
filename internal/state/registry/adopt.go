package registry

import "time"

// Adopt records a departure that another control instance reported, so that it outlives that control instance. Other
// reports are ignored. It reports whether anything changed that must be sent to others.
func (r *Registry) Adopt(in Report, now time.Time) bool {
	// Without a service or a start, no control instance knew the instance, and its next incarnation could not be told from it.
	unidentified := in.Start == 0 && in.Service == ""
	if !in.Departing() || unidentified || now.Sub(in.DepartedAt) > endedRetention {
		return false
	}
	known, ok := r.records[in.ID]
	if !ok || known.supersededBy(in.Start) {
		// Only the control instance that receives the heartbeats reports weights and liveness. Without a heartbeat here,
		// the instance must not count as alive.
		in.Weights, in.WeightsProvenance = nil, Provenance{}
		in.Silent = true
		r.put(&record{report: in, lastSeen: now})
		return true
	}
	if !known.endsWith(in) || known.report.Left || known.report.Leaving && !in.Left {
		return false
	}
	if in.Left {
		known.report.Left = true
	} else {
		known.report.Leaving, known.report.Sequence = true, in.Sequence
	}
	known.report.DepartedAt = in.DepartedAt
	r.recordChange(known)
	return true
}

// endsWith reports whether a departure that another control instance reported is one of the recorded incarnation. Without
// a start, it ends the incarnations that were seen before it. A draining one may have reported itself as ready since.
func (k *record) endsWith(in Report) bool {
	if in.Left {
		return in.Start == k.report.Start || in.Start == 0 && !k.report.FirstSeen.After(in.FirstSeen)
	}
	return in.Start == k.report.Start && in.Sequence > k.report.Sequence
}

// Position returns the number of the newest change of an instance's report; ok is false if the instance is not known.
func (r *Registry) Position(id string) (change uint64, ok bool) {
	known, ok := r.records[id]
	if !ok {
		return 0, false
	}
	return known.report.Change, true
}

// LatestStart returns the start of the latest incarnation of an id that is known here, or 0.
func (r *Registry) LatestStart(id string) Start {
	known, ok := r.records[id]
	if !ok {
		return 0
	}
	return known.report.Start
}
