package fleet

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// maxFacts limits the facts in one answer, to some 30 KiB.
const maxFacts = 400

// Tell records the instance ends and failures that an entry reports, and relays the ends with the
// next batch of changes. It needs no leader: entries report to each control instance that they can
// reach, and relay to one what they received from another.
func (s *Source) Tell(_ context.Context, in *wire.TellRequest) (*wire.TellResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range wire.ToFacts(in.Facts, clock.Now()) {
		s.pending = s.facts.Merge(f) || s.pending
	}
	s.recordFailures(in.Failures)
	return &wire.TellResponse{}, nil
}

// addFacts adds the facts that the poller has not received yet; mu must be held.
func (s *Source) addFacts(since uint64, p *page, out *wire.FleetResponse) {
	out.FactsChange = since
	if since == s.facts.Change() {
		return
	}
	facts, last := s.facts.Since(since, maxFacts)
	out.Facts = wire.FromFacts(facts, clock.Now())
	out.FactsChange = last
	p.more = p.more || last < s.facts.Change()
	p.left -= proto.Size(&wire.FleetResponse{Facts: out.Facts})
}
