package fleet

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// mostFacts bounds the facts in one answer, to some 30 KiB.
const mostFacts = 400

// Tell takes what an entry saw of ends of instances, and passes it on with the next news. No
// leader is needed: entries tell each control instance that they reach, and bring to one what
// they heard from another.
func (s *Source) Tell(_ context.Context, in *wire.TellRequest) (*wire.TellResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range wire.ToFacts(in.Facts, clock.Now()) {
		s.news = s.facts.Merge(f) || s.news
	}
	s.takeFailures(in.Failures)
	return &wire.TellResponse{}, nil
}

// tellFacts adds the facts that a caller was not told yet; mu must be held.
func (s *Source) tellFacts(since uint64, p *page, out *wire.FleetResponse) {
	out.FactsChange = since
	if since == s.facts.Change() {
		return
	}
	facts, last := s.facts.Since(since, mostFacts)
	out.Facts = wire.FromFacts(facts, clock.Now())
	out.FactsChange = last
	p.more = p.more || last < s.facts.Change()
	p.left -= proto.Size(&wire.FleetResponse{Facts: out.Facts})
}
