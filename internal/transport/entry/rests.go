package entry

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// rests holds until when instances of services want nothing from this entry, by their addresses.
type rests map[string]time.Time

// noteRest notes that an instance of a service refused a call and wants no other for a while.
func (e *Entry) noteRest(instance string, reply exchange.Reply) {
	rest := exchange.ConditionOf(reply).RestFor
	if rest == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(e.rests, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(rest); until.After(e.rests[instance]) {
		e.rests[instance] = until
	}
	e.logRest(instance, rest)
}

// logRest logs that an upstream at an address wants nothing for a while.
func (e *Entry) logRest(address string, rest time.Duration) {
	e.Log.Info().Str("event", "instance_rests").Str("address", address).Dur("for_ms", rest).Msg("")
}

// awake returns those of some instances that do not rest, and the result of a call for which there is none.
func (e *Entry) awake(instances []string) (out []string, none result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	refusal := outcome.NotRun{Reason: outcome.ReasonUnreachable}
	for _, instance := range instances {
		left := e.rests[instance].Sub(now)
		if left <= 0 {
			out = append(out, instance)
			continue
		}
		if refusal.RetryAfter == 0 || left < refusal.RetryAfter {
			refusal = outcome.NotRun{Reason: outcome.ReasonResting, RetryAfter: left}
		}
	}
	return out, result{outcome: refusal}
}
