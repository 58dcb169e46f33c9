package ends

import (
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// refusalSpan is the span in which an instance counts its refusals against its limit.
	refusalSpan = time.Second
	// refusalRetention is how long refusals are kept: by then, other entries have reported an end.
	refusalRetention = 10 * time.Second
	// maxRefusalsKept bounds the refusals that are kept of one incarnation.
	maxRefusalsKept = 128
)

// refusals holds the refusals that an entry got lately from instances with refusal limits.
type refusals map[registry.Incarnation]*instanceRefusals

type instanceRefusals struct {
	// limit is the latest limit, in refusals per second.
	limit float64
	// at are the times of the latest refusals, oldest first, at most maxRefusalsKept.
	at []time.Time
}

// RecordRefusedRequest records that an instance refused a request for lack of capacity. perSecond is its limit of refusals to
// all entries.
func (t *Tracker) RecordRefusedRequest(of registry.Incarnation, perSecond float64) {
	t.init()
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.refused[of]
	if r == nil {
		r = &instanceRefusals{}
		t.refused[of] = r
	}
	r.limit = perSecond
	r.at = append(r.at, now)
	if len(r.at) > maxRefusalsKept {
		r.at = r.at[1:]
	}
}

// shareRefusals shares with other entries how often an instance that has ended refused requests of this one shortly before: by
// those of all entries it is known whether they ended it. mu must be held.
func (t *Tracker) shareRefusals(end quarantine.InstanceEnded, now time.Time) {
	r := t.refused[end.Incarnation]
	if r == nil {
		return
	}
	count := r.most(end.At.Add(-refusalWindow-refusalSpan), end.At.Add(quarantine.TimeTolerance))
	if count == 0 {
		return
	}
	fact := quarantine.InstanceRefused{Incarnation: end.Incarnation, By: t.id, Count: count, Limit: r.limit, At: end.At}
	if t.merge(fact, origin{at: now}) {
		t.Log.Info().Str("event", "instance_ended_after_refusals").Str("instance", end.Incarnation.ID).Int64("start", int64(end.Incarnation.Start)).
			Int("refusals", count).Float64("refusal_limit", r.limit).Msg("")
	}
}

// most returns the most refusals in a refusalSpan between two times.
func (r *instanceRefusals) most(from, to time.Time) (most int) {
	first := 0
	for last, at := range r.at {
		if at.Before(from) || at.After(to) {
			first = last + 1
			continue
		}
		for at.Sub(r.at[first]) >= refusalSpan {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// sweep drops what is older than refusalRetention.
func (all refusals) sweep(now time.Time) {
	for of, r := range all {
		if now.Sub(r.at[len(r.at)-1]) > refusalRetention {
			delete(all, of)
		}
	}
}
