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
// next batch of changes. It needs no leader: entries report to the control instances that they poll,
// and relay to one what they received from another.
func (s *Source) Tell(_ context.Context, in *wire.TellRequest) (*wire.TellResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range wire.ToFacts(in.Facts, clock.Now()) {
		for _, p := range s.publications() {
			p.pending = p.facts.Merge(f) || p.pending
		}
	}
	s.recordFailures(in)
	return &wire.TellResponse{}, nil
}

// addFacts adds the facts that the poller has not received yet.
func (p *publication) addFacts(since uint64, page *page, out *wire.FleetResponse) {
	out.FactsChange = since
	if since == p.facts.Change() {
		return
	}
	facts, last := p.facts.Since(since, maxFacts)
	out.Facts = wire.FromFacts(facts, clock.Now())
	out.FactsChange = last
	page.more = page.more || last < p.facts.Change()
	page.left -= proto.Size(&wire.FleetResponse{Facts: out.Facts})
}
