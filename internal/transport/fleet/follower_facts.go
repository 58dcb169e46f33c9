package fleet

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// tellWait joins what is seen at once into one message.
	tellWait = 100 * time.Millisecond
	// tellInterval is how often it is looked what a source lacks, without news.
	tellInterval = 250 * time.Millisecond
	// tellTimeout gives up a source that is cut off or frozen; it is told again.
	tellTimeout = time.Second
)

// takeFacts joins the facts that a source told; mu must be held.
func (f *Follower) takeFacts(address string, s *knownSource, out *wire.FleetResponse, now time.Time) {
	if f.Ends == nil || len(out.Facts) == 0 {
		return
	}
	facts := wire.ToFacts(out.Facts, now)
	s.told.MarkKnown(facts)
	f.Ends.Merge(address, facts)
}

// tellFacts tells sources what they lack until ctx ends.
func (f *Follower) tellFacts(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Ends.Changed()
		for address, facts := range f.untold() {
			go f.tell(ctx, address, facts)
		}
		select {
		case <-changed:
		case <-time.After(tellInterval):
			continue
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(tellWait):
		case <-ctx.Done():
		}
	}
}

// untold returns what each source lacks that is within reach and not being told, and takes it for told.
func (f *Follower) untold() map[string][]quarantine.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]quarantine.Fact{}
	for address, s := range f.sources {
		if !s.reached || s.tellingFacts {
			continue
		}
		facts := f.Ends.Unsent(s.told)
		if len(facts) > 0 {
			s.tellingFacts = true
			s.told.MarkKnown(facts)
			out[address] = facts
		}
	}
	return out
}

// tell tells one source; what it did not take is told again.
func (f *Follower) tell(ctx context.Context, address string, facts []quarantine.Fact) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	client := wire.NewFleetProtobufClient("http://"+address, f.client)
	_, err := client.Tell(ctx, &wire.TellRequest{Facts: wire.FromFacts(facts, clock.Now())})
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s != nil {
		s.tellingFacts = false
	}
	if err == nil {
		return
	}
	if s != nil {
		s.told.MarkUnknown(facts)
	}
	f.Log.Info().Str("event", "facts_not_told").Str("address", address).Int("facts", len(facts)).Str("error", err.Error()).Msg("")
}
