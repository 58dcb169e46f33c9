package controlclient

import (
	"context"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// Facts returns what the replicas know of ends of instances, merged, and how many of them answered. No leader is
// needed.
func (c *Client) Facts(ctx context.Context) (facts *quarantine.FactSet, answered int) {
	facts = quarantine.New(0)
	for _, address := range c.addresses() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		found, err := c.factsOf(ctx, address)
		cancel()
		if err != nil {
			continue
		}
		answered++
		for _, f := range found {
			facts.Merge(f)
		}
	}
	return facts, answered
}

// factsOf returns all facts of one replica. It polls as one that does not need the instances.
func (c *Client) factsOf(ctx context.Context, address string) ([]quarantine.Fact, error) {
	client := wire.NewFleetProtobufClient("http://"+address, c.http)
	in := &wire.FleetRequest{Paged: true, Relayed: true, Standby: true}
	var out []quarantine.Fact
	for {
		answer, err := client.Watch(ctx, in)
		if err != nil {
			return nil, err
		}
		out = append(out, wire.ToFacts(answer.Facts, clock.Now())...)
		if !answer.More {
			return out, nil
		}
		in.Epoch, in.Change, in.Backlog, in.FactsChange = answer.Epoch, answer.Change, answer.Backlog, answer.FactsChange
	}
}

// Release records at every replica that what a digest identifies has succeeded, so that it is no longer held. It returns how
// many took that; from one of them it reaches all entries. No leader is needed.
func (c *Client) Release(ctx context.Context, d quarantine.Digest) (taken int) {
	now := clock.Now()
	facts := wire.FromFacts([]quarantine.Fact{quarantine.RequestSucceeded{Digest: d, At: now}}, now)
	for _, address := range c.addresses() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := wire.NewFleetProtobufClient("http://"+address, c.http).Tell(ctx, &wire.TellRequest{Facts: facts})
		cancel()
		if err == nil {
			taken++
		}
	}
	return taken
}
