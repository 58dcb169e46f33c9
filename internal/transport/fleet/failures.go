package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// failingRetention is how long the failing instances reported by a source remain in effect after
// its last answer.
const failingRetention = 2 * time.Second

// maxForwarded limits the failures that a source keeps for the other control instances. They are
// passed on within batchDelay, so that as many arrive only if most of the fleet fails.
const maxForwarded = 4096

// updateFailing updates the instances that are judged to fail, and reports whether they changed; mu
// must be held.
func (s *Source) updateFailing(now time.Time) bool {
	failing := s.suspects.Ejected(s.countEntries(), now)
	if slices.Equal(s.failing, failing) {
		return false
	}
	for _, target := range failing {
		if !slices.Contains(s.failing, target) {
			s.log.Info().Str("event", "instance_fails").Str("instance", target.ID).Int64("start", int64(target.Start)).Msg("")
		}
	}
	for _, target := range s.failing {
		if !slices.Contains(failing, target) {
			s.log.Info().Str("event", "instance_fails_no_more").Str("instance", target.ID).Int64("start", int64(target.Start)).Msg("")
		}
	}
	s.failing = failing
	return true
}

// reportFailures reports failed requests until ctx ends: an entry to one source that forwards them to
// all others, or to all sources if none does, and a control instance to all others. A report that does
// not arrive is not sent again, as it is outdated by then, and a source that has not answered the last
// report is left out for the same reason.
func (f *Follower) reportFailures(ctx context.Context) {
	for {
		select {
		case <-f.FailuresPending:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-ctx.Done():
			return
		}
		in := &wire.TellRequest{Failures: fromFailures(f.TakeFailures()), Forwarded: f.Relay != nil}
		if len(in.Failures) == 0 {
			continue
		}
		var receivers map[string]*sourceState
		receivers, in.Forward = f.claimReceivers()
		for address, s := range receivers {
			go func() {
				defer f.releaseSource(s)
				ctx, cancel := context.WithTimeout(ctx, reportTimeout)
				defer cancel()
				// Errors are ignored: an unreachable source shows in the polls.
				_, _ = wire.NewFleetProtobufClient("http://"+address, f.client).Tell(ctx, in)
			}()
		}
	}
}

// claimReceivers returns the sources to send the next report of failures to, and whether they are to
// forward it. It leaves out those that are unreachable or to which a report is still being sent, and
// marks the others as being sent one.
func (f *Follower) claimReceivers() (receivers map[string]*sourceState, forward bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]*sourceState{}
	for _, address := range f.preferred(slices.Collect(maps.Keys(f.sources))) {
		s := f.sources[address]
		if !s.reachable || s.sendingFailures || f.Relay != nil && address == f.Address {
			continue
		}
		if f.Relay == nil && s.relayed {
			for _, other := range out {
				other.sendingFailures = false
			}
			s.sendingFailures = true
			return map[string]*sourceState{address: s}, true
		}
		s.sendingFailures = true
		out[address] = s
	}
	return out, false
}

// releaseSource allows the next report of failures to a source.
func (f *Follower) releaseSource(s *sourceState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.sendingFailures = false
}

// failing returns the instances that a majority of the sources that answered lately judge to fail;
// mu must be held.
func (f *Follower) failing(now time.Time) map[registry.Incarnation]bool {
	voters := 0
	votes := map[registry.Incarnation]int{}
	for _, s := range f.sources {
		if now.Sub(s.answeredAt) > failingRetention {
			continue
		}
		voters++
		for _, target := range s.failing {
			votes[target]++
		}
	}
	var out map[registry.Incarnation]bool
	for target, n := range votes {
		if 2*n <= voters {
			continue
		}
		if out == nil {
			out = map[registry.Incarnation]bool{}
		}
		out[target] = true
	}
	return out
}

func fromFailures(list []suspects.Failures) []*wire.InstanceFailures {
	var out []*wire.InstanceFailures
	for _, f := range list {
		out = append(out, &wire.InstanceFailures{
			Instance: f.Target.ID, Start: int64(f.Target.Start), Service: f.Service, Count: uint32(f.Count), Teams: f.Teams,
			Expected: float32(f.Expected), Instances: uint32(f.Instances), AllTeams: f.AllTeams, Excessive: f.Excessive,
		})
	}
	return out
}

func toFailures(list []*wire.InstanceFailures) []suspects.Failures {
	var out []suspects.Failures
	for _, f := range list {
		out = append(out, suspects.Failures{
			Target: registry.Incarnation{ID: f.Instance, Start: registry.Start(f.Start)}, Service: f.Service, Count: int(f.Count), Teams: f.Teams,
			Expected: float64(f.Expected), Instances: int(f.Instances), AllTeams: f.AllTeams, Excessive: f.Excessive,
		})
	}
	return out
}

// recordFailures records the failures that an entry reports, and keeps them for the other control
// instances if the entry asks for that; mu must be held.
func (s *Source) recordFailures(in *wire.TellRequest) {
	if len(in.Failures) == 0 {
		return
	}
	reported := toFailures(in.Failures)
	s.suspects.AddReports(reported, clock.Now())
	if !in.Forward || in.Forwarded {
		return
	}
	room := max(0, maxForwarded-len(s.forward))
	s.forward = append(s.forward, reported[:min(room, len(reported))]...)
	select {
	case s.forwardPending <- struct{}{}:
	default:
	}
}

// ForwardPending returns a channel that receives when there are failures to be passed on to the other
// control instances.
func (s *Source) ForwardPending() <-chan struct{} { return s.forwardPending }

// TakeForward returns the failures to be passed on to the other control instances since the last
// call.
func (s *Source) TakeForward() []suspects.Failures {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.forward
	s.forward = nil
	return out
}
