package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// failingFor is how long the word of a source that does not answer any more holds about instances
// that fail.
const failingFor = 2 * time.Second

// judge sets the instances that fail by what entries told, and reports whether they changed; mu must
// be held.
func (s *Source) judge(now time.Time) bool {
	failing := s.suspects.Ejected(s.countEntries(), now)
	if slices.Equal(s.failing, failing) {
		return false
	}
	for _, of := range failing {
		if !slices.Contains(s.failing, of) {
			s.log.Info().Str("event", "instance_fails").Str("instance", of.ID).Int64("start", int64(of.Start)).Msg("")
		}
	}
	for _, of := range s.failing {
		if !slices.Contains(failing, of) {
			s.log.Info().Str("event", "instance_fails_no_more").Str("instance", of.ID).Int64("start", int64(of.Start)).Msg("")
		}
	}
	s.failing = failing
	return true
}

// tellFailures tells sources which requests failed where, until ctx ends. What does not arrive is
// not told again, and one that has not answered the last telling is left out: it is old by then.
func (f *Follower) tellFailures(ctx context.Context) {
	for {
		select {
		case <-f.FailuresPending:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(tellWait):
		case <-ctx.Done():
			return
		}
		in := &wire.TellRequest{Failures: fromFailures(f.TakeFailures())}
		if len(in.Failures) == 0 {
			continue
		}
		for address, s := range f.free() {
			go func() {
				defer f.toldFailures(s)
				ctx, cancel := context.WithTimeout(ctx, tellTimeout)
				defer cancel()
				// One that is not reached shows in the polls.
				_, _ = wire.NewFleetProtobufClient("http://"+address, f.client).Tell(ctx, in)
			}()
		}
	}
}

// free returns the sources within reach that are not being told of failures, and takes them for being
// told.
func (f *Follower) free() map[string]*knownSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]*knownSource{}
	for address, s := range f.sources {
		if s.reached && !s.tellingFailures {
			s.tellingFailures = true
			out[address] = s
		}
	}
	return out
}

// toldFailures lets a source be told of failures again.
func (f *Follower) toldFailures(s *knownSource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.tellingFailures = false
}

// failing returns the instances that most sources judge to fail of those that answered lately; mu
// must be held.
func (f *Follower) failing(now time.Time) map[registry.Incarnation]bool {
	asked := 0
	named := map[registry.Incarnation]int{}
	for _, s := range f.sources {
		if now.Sub(s.answered) > failingFor {
			continue
		}
		asked++
		for _, of := range s.failing {
			named[of]++
		}
	}
	var out map[registry.Incarnation]bool
	for of, n := range named {
		if 2*n <= asked {
			continue
		}
		if out == nil {
			out = map[registry.Incarnation]bool{}
		}
		out[of] = true
	}
	return out
}

func fromFailures(list []suspects.Failures) []*wire.InstanceFailures {
	var out []*wire.InstanceFailures
	for _, f := range list {
		out = append(out, &wire.InstanceFailures{
			Instance: f.Target.ID, Start: int64(f.Target.Start), Service: f.Service, Count: uint32(f.Count), Teams: f.Teams,
			Expected: float32(f.Expected), Instances: uint32(f.Instances), AllTeams: f.AllTeams,
		})
	}
	return out
}

func toFailures(list []*wire.InstanceFailures) []suspects.Failures {
	var out []suspects.Failures
	for _, f := range list {
		out = append(out, suspects.Failures{
			Target: registry.Incarnation{ID: f.Instance, Start: registry.Start(f.Start)}, Service: f.Service, Count: int(f.Count), Teams: f.Teams,
			Expected: float64(f.Expected), Instances: int(f.Instances), AllTeams: f.AllTeams,
		})
	}
	return out
}

// takeFailures joins what an entry saw; mu must be held.
func (s *Source) takeFailures(in []*wire.InstanceFailures) {
	if len(in) > 0 {
		s.suspects.AddReports(toFailures(in), clock.Now())
	}
}
