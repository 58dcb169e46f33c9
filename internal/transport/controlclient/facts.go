package controlclient

import (
	"context"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// ErrNoFacts is returned if a replica answers but keeps no facts of ends: it serves entries with declared upstreams, which
// do not share them.
var ErrNoFacts = errors.New("this control log keeps no ends of instances, as none register with it")

// Facts returns what the replicas know of ends of instances, merged, and how many of them answered. No leader is
// needed. err says why the last one that did not answer failed.
func (c *Client) Facts(ctx context.Context) (facts *quarantine.FactSet, answered int, err error) {
	facts = quarantine.New(0)
	for _, address := range c.addresses() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		found, factsErr := c.factsOf(ctx, address)
		cancel()
		if factsErr != nil {
			err = factsError(factsErr, address)
			continue
		}
		answered++
		for _, f := range found {
			facts.Merge(f)
		}
	}
	return facts, answered, err
}

// factsError says why a replica did not answer.
func factsError(err error, address string) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.BadRoute {
		return errors.Wrap(ErrNoFacts, address)
	}
	return errors.Wrap(err, address)
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
// many took that; from one of them it reaches all entries. No leader is needed. err says why the last one that did not take
// it failed.
func (c *Client) Release(ctx context.Context, d quarantine.Digest) (taken int, err error) {
	now := clock.Now()
	facts := wire.FromFacts([]quarantine.Fact{quarantine.RequestSucceeded{Digest: d, At: now}}, now)
	for _, address := range c.addresses() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, tellErr := wire.NewFleetProtobufClient("http://"+address, c.http).Tell(ctx, &wire.TellRequest{Facts: facts})
		cancel()
		if tellErr != nil {
			err = factsError(tellErr, address)
			continue
		}
		taken++
	}
	return taken, err
}
