package arbiter

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// readerTime is for how long after a grant the engine is taken to read the shared prefix.
	readerTime = 1500 * time.Millisecond
	// releaseWindow is the time over which releases are counted to expect the next one.
	releaseWindow = 4 * time.Second
)

// service is the state of one service.
type service struct {
	random *rand.Rand
	// returns is nil if refused requests return after a fixed time.
	returns Returns
	// memory is the memory of each engine in tokens.
	memory  int
	engines []*engine
	// readers holds the engine that was last granted a prompt with a key. There is none for key 0.
	readers  map[uint64]reader
	refusals refusals
	shares   shares
	// releases holds the times of the latest releases, the oldest first.
	releases []time.Time
	stats    ServiceStats
	// fitting holds the engines with room for the request in progress; its memory is used again.
	fitting []*engine
	// rooms holds the room of engines while more urgent requests are placed; its memory is used again.
	rooms []int
}

type reader struct {
	engine *engine
	at     time.Time
}

func newService(random *rand.Rand) *service {
	return &service{random: random, readers: map[uint64]reader{}, shares: newShares(), stats: ServiceStats{Refusals: map[Reason]int64{}}}
}

func (s *service) setEngines(engines []Engine, memory int) {
	known := make(map[registry.Incarnation]*engine, len(s.engines))
	for _, e := range s.engines {
		known[e.target] = e
	}
	s.memory, s.engines = memory, make([]*engine, 0, len(engines))
	remaining := make(map[*engine]bool, len(engines))
	for _, in := range engines {
		e, ok := known[in.Incarnation]
		if !ok {
			e = &engine{target: in.Incarnation, hash: balance.Hash(in.ID)}
		}
		s.engines = append(s.engines, e)
		remaining[e] = true
	}
	maps.DeleteFunc(s.readers, func(_ uint64, r reader) bool { return !remaining[r.engine] })
}

func (s *service) recordLoads(loads map[registry.Incarnation]balance.EngineLoad, at time.Time) {
	for _, e := range s.engines {
		if load, ok := loads[e.target]; ok {
			e.record(load, at)
		}
	}
	maps.DeleteFunc(s.readers, func(_ uint64, r reader) bool { return at.Sub(r.at) > readerTime })
}

// forget drops what is too old to count.
func (s *service) forget(now time.Time) {
	s.refusals.forget(now)
	s.shares.forget(now)
	for len(s.releases) > 0 && now.Sub(s.releases[0]) > releaseWindow {
		s.releases = s.releases[1:]
	}
}

func (s *service) recordGrant(r Request, g *grant, reads bool) {
	g.engine.grant(g)
	if r.Key != 0 {
		s.readers[r.Key] = reader{g.engine, g.at}
	}
	s.refusals.remove(r.Digest)
	s.shares.record(r, true, g.at)
	if s.returns != nil {
		s.returns.Served(r.Digest)
	}
	s.stats.Grants++
	s.stats.OpenGrants++
	if reads {
		s.stats.SingleReader++
	}
}

func (s *service) recordRelease(g *grant, now time.Time) {
	s.releases = append(s.releases, now)
	if s.returns != nil {
		s.returns.RecordRelease(g.tokens, now)
	}
}

// refuse refuses a request. One that has no time is not expected back.
func (s *service) refuse(r Request, reason Reason, now time.Time) Refusal {
	s.stats.Refusals[reason]++
	s.refusals.add(r, s.memory, now)
	s.shares.record(r, false, now)
	if s.returns == nil || reason == NoTime {
		return Refusal{RetryAfter: fixedRetryAfter, Reason: reason}
	}
	after := s.returns.Refuse(r.Digest, r.Tokens, r.Urgency, r.longestWait(), now)
	return Refusal{RetryAfter: after, Reason: reason}
}

func (s *service) snapshot() ServiceStats {
	out := s.stats
	out.Refusals = maps.Clone(s.stats.Refusals)
	out.Engines = len(s.engines)
	newest := time.Time{}
	for _, e := range s.engines {
		out.Reserved += e.reserved()
		if e.reported.After(newest) {
			newest = e.reported
		}
	}
	for _, e := range s.engines {
		if e.known(newest) {
			out.Known++
		}
	}
	return out
}
