package peers

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// spreadWait joins what is seen at once into one message.
const spreadWait = 20 * time.Millisecond

// spread tells others at once of new facts: whoever saw one tells its failure domain, whose relay
// tells the other domains' relays, and each of these its own. What is lost on the way is found by
// gossip, which compares digests.
func (p *Peers) spread(ctx context.Context) {
	seen := uint64(0)
	for {
		changed := p.Ends.Changed()
		now := p.Ends.LocalFacts()
		p.spreadOnce(now > seen)
		seen = now
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(spreadWait):
		case <-ctx.Done():
			return
		}
	}
}

// spreadOnce tells whom this entry has to tell; own says that it saw something itself.
func (p *Peers) spreadOnce(own bool) {
	p.mu.Lock()
	now := clock.Now()
	targets := p.entries.BroadcastTargets(now)
	message := wire.FromGossip(p.entries.RemoteGossip(now))
	_, relays := p.relay(now)
	p.mu.Unlock()
	if !p.addFacts(message) {
		return
	}
	if own || relays {
		for _, address := range targets.Local {
			p.send(address, message)
		}
	}
	for _, address := range targets.Remote {
		p.send(address, message)
	}
}

// addFacts adds all facts to a message; it reports whether there are any.
func (p *Peers) addFacts(message *wire.GossipMessage) bool {
	facts, digest := p.Ends.Snapshot()
	message.Facts = wire.FromFacts(facts, clock.Now())
	message.FactsDigest = digest
	return len(facts) > 0
}

// addDigest adds to a message what tells whether its receiver knows the same.
func (p *Peers) addDigest(message *wire.GossipMessage) {
	if p.Ends != nil {
		_, message.FactsDigest = p.Ends.Snapshot()
	}
}

// hearFacts takes the facts that another entry told.
func (p *Peers) hearFacts(from string, m *wire.GossipMessage) {
	if p.Ends != nil {
		p.Ends.Merge(from, wire.ToFacts(m.Facts, clock.Now()))
	}
}

// answerFacts takes another entry's facts, and tells it all of this one's if it knows others.
func (p *Peers) answerFacts(in, answer *wire.GossipMessage) {
	if p.Ends == nil {
		return
	}
	from := ""
	if len(in.Entries) > 0 {
		from = in.Entries[0].Name
	}
	p.hearFacts(from, in)
	p.addDigest(answer)
	if in.FactsDigest != answer.FactsDigest {
		p.addFacts(answer)
	}
}

// sendMissing tells another entry all facts if its answer shows that it lacks some.
func (p *Peers) sendMissing(ctx context.Context, address string, sent, answer *wire.GossipMessage) {
	if p.Ends == nil || len(sent.Facts) > 0 {
		return
	}
	p.mu.Lock()
	message := wire.FromGossip(p.entries.RemoteGossip(clock.Now()))
	p.mu.Unlock()
	if !p.addFacts(message) || message.FactsDigest == answer.FactsDigest {
		return
	}
	// An answer that is lost is asked for with the next gossip.
	_, _ = p.peer(address).Gossip(ctx, message)
}
