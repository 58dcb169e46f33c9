package fleet

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// batchDelay is how long to wait for further facts and failures, so as to send them in one
	// message.
	batchDelay = 100 * time.Millisecond
	// factsInterval is how often the sources are checked for facts they lack when no new facts
	// come.
	factsInterval = 250 * time.Millisecond
	// reportTimeout limits a call to a source that is cut off or frozen. The facts are sent again.
	reportTimeout = time.Second
)

// applyFacts merges the facts in a source's answer; mu must be held.
func (f *Follower) applyFacts(address string, s *sourceState, out *wire.FleetResponse, now time.Time) {
	if f.Ends == nil || len(out.Facts) == 0 {
		return
	}
	facts := wire.ToFacts(out.Facts, now)
	s.receiver.MarkKnown(facts)
	f.Ends.Merge(address, facts)
}

// reportFacts sends the sources the facts that they lack until ctx ends.
func (f *Follower) reportFacts(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Ends.Changed()
		for address, facts := range f.claimUnsentFacts() {
			go f.sendFacts(ctx, address, facts)
		}
		// Without facts there is nothing to send.
		var recheck <-chan time.Time
		if f.Ends.HasFacts() {
			recheck = time.After(factsInterval)
		}
		select {
		case <-changed:
		case <-recheck:
			continue
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-ctx.Done():
		}
	}
}

// claimUnsentFacts returns the facts that each reachable source lacks, unless some are being sent
// to it, and marks them as sent.
func (f *Follower) claimUnsentFacts() map[string][]quarantine.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]quarantine.Fact{}
	for address, s := range f.sources {
		if !s.reachable || s.sendingFacts {
			continue
		}
		facts := f.Ends.Unsent(s.receiver)
		if len(facts) > 0 {
			s.sendingFacts = true
			s.receiver.MarkKnown(facts)
			out[address] = facts
		}
	}
	return out
}

// sendFacts sends facts to one source. On an error they are marked as unsent again.
func (f *Follower) sendFacts(ctx context.Context, address string, facts []quarantine.Fact) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := wire.NewFleetProtobufClient("http://"+address, f.client)
	_, err := client.Tell(ctx, &wire.TellRequest{Facts: wire.FromFacts(facts, clock.Now())})
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s != nil {
		s.sendingFacts = false
	}
	if err == nil {
		return
	}
	if s != nil {
		s.receiver.MarkUnknown(facts)
	}
	f.Log.Info().Str("event", "facts_not_told").Str("address", address).Int("facts", len(facts)).Str("error", err.Error()).Msg("")
}
