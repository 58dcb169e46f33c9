package entry

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// backoffs holds the time until which each service instance asked for no further calls
// from this entry, by address.
type backoffs map[string]time.Time

// recordBackoff records that a service instance refused a call and asked for a backoff.
func (e *Entry) recordBackoff(instance string, reply exchange.Reply) {
	backoff := exchange.ConditionOf(reply).RestFor
	if backoff == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(e.backoffs, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(backoff); until.After(e.backoffs[instance]) {
		e.backoffs[instance] = until
	}
	e.logBackoff(instance, backoff)
}

// logBackoff logs that the upstream at an address asked for a backoff.
func (e *Entry) logBackoff(address string, backoff time.Duration) {
	e.Log.Info().Str("event", "instance_rests").Str("address", address).Dur("for_ms", backoff).Msg("")
}

// available returns the instances that are not in a backoff, and the result of a call
// when there are none.
func (e *Entry) available(instances []string) (out []string, none result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	refusal := outcome.NotRun{Reason: outcome.ReasonUnreachable}
	for _, instance := range instances {
		remaining := e.backoffs[instance].Sub(now)
		if remaining <= 0 {
			out = append(out, instance)
			continue
		}
		if refusal.RetryAfter == 0 || remaining < refusal.RetryAfter {
			refusal = outcome.NotRun{Reason: outcome.ReasonResting, RetryAfter: remaining}
		}
	}
	return out, result{outcome: refusal}
}
