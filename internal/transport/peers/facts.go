package peers

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// broadcastDelay is the pause between broadcasts, so that facts observed shortly after each other go
// into one message.
const broadcastDelay = 20 * time.Millisecond

// broadcastFacts sends new facts to other entries without waiting for the next gossip. The entry that
// observed a fact sends it to its failure domain, whose relay sends it to the other domains' relays;
// each of these sends it to its own domain. Lost messages are made up for by gossip, which compares
// digests.
func (p *Peers) broadcastFacts(ctx context.Context) {
	previous := uint64(0)
	for {
		changed := p.Ends.Changed()
		current := p.Ends.LocalFacts()
		p.broadcastFactsOnce(current > previous)
		previous = current
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(broadcastDelay):
		case <-ctx.Done():
			return
		}
	}
}

// broadcastFactsOnce sends all facts to the entries that this one is responsible for: those of its
// failure domain if it is the relay or sawLocal is set, and the other domains' relays if it is the
// relay. sawLocal says that this entry has observed a new fact itself.
func (p *Peers) broadcastFactsOnce(sawLocal bool) {
	p.mu.Lock()
	now := clock.Now()
	targets := p.entries.BroadcastTargets(now)
	message := wire.FromGossip(p.entries.RemoteGossip(now))
	_, relays := p.relay(now)
	p.mu.Unlock()
	if !p.addFacts(message) {
		return
	}
	if sawLocal || relays {
		for _, address := range targets.Local {
			p.send(address, message)
		}
	}
	for _, address := range targets.Remote {
		p.send(address, message)
	}
}

// addFacts adds all facts and their digest to a message, and reports whether there are any facts.
func (p *Peers) addFacts(message *wire.GossipMessage) bool {
	facts, digest := p.Ends.Snapshot()
	message.Facts = wire.FromFacts(facts, clock.Now())
	message.FactsDigest = digest
	return len(facts) > 0
}

// addDigest adds the digest of all facts to a message, so that the receiver can tell whether it has
// the same facts.
func (p *Peers) addDigest(message *wire.GossipMessage) {
	if p.Ends != nil {
		_, message.FactsDigest = p.Ends.Snapshot()
	}
}

// receiveFacts merges the facts in a message from another entry.
func (p *Peers) receiveFacts(from string, m *wire.GossipMessage) {
	if p.Ends != nil {
		p.Ends.Merge(from, wire.ToFacts(m.Facts, clock.Now()))
	}
}

// replyWithFacts merges the facts in a message from another entry, and adds all of this entry's facts
// to the answer if the digests differ.
func (p *Peers) replyWithFacts(in, answer *wire.GossipMessage) {
	if p.Ends == nil {
		return
	}
	from := ""
	if len(in.Entries) > 0 {
		from = in.Entries[0].Name
	}
	p.receiveFacts(from, in)
	p.addDigest(answer)
	if in.FactsDigest != answer.FactsDigest {
		p.addFacts(answer)
	}
}

// sendMissingFacts sends all facts to another entry if the digest in its answer differs and the message
// sent to it had only a digest.
func (p *Peers) sendMissingFacts(ctx context.Context, address string, sent, answer *wire.GossipMessage) {
	if p.Ends == nil || len(sent.Facts) > 0 {
		return
	}
	p.mu.Lock()
	message := wire.FromGossip(p.entries.RemoteGossip(clock.Now()))
	p.mu.Unlock()
	if !p.addFacts(message) || message.FactsDigest == answer.FactsDigest {
		return
	}
	// The error is ignored: if the call fails, the next gossip compares digests again.
	_, _ = p.peer(address).Gossip(ctx, message)
}
