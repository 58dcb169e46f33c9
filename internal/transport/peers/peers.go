// Package peers connects the entries of a deployment. They discover each other by
// gossip. The entries of a region share a directory of cached contexts and the rate
// limits of teams, each entry owning a part of both. One entry in each failure domain,
// the relay, distributes the declared state to the others.
//
// Serving does not depend on this package: an entry that is partitioned from all others
// serves with its local state.
package peers

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/transport/detour"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// gossipTimeout bounds one gossip call.
	gossipTimeout = time.Second
	// ownerTimeout is how long a prompt waits for the owner of its part of the directory or
	// of its team's limit. When it expires, the prompt is placed without hints, or Borrow
	// fails.
	ownerTimeout = 25 * time.Millisecond
	// noteFlushInterval is how often queued notes are sent, in one call for each owner.
	noteFlushInterval = 50 * time.Millisecond
	noteTimeout       = time.Second
)

// Peers is one entry's view of the others, and its service to them. Set the exported fields, then
// call Run.
type Peers struct {
	Name, FailureDomain string
	// Listener accepts other entries' calls. Run closes it.
	Listener net.Listener
	// Seeds are the addresses of other entries to contact first.
	Seeds []string
	// Feed is the declared state, served to other entries.
	Feed *feed.Feed
	// LookUpHints and StoreNotes read and change this entry's part of the directory.
	LookUpHints func([]prefix.Key) *placement.Hints
	StoreNotes  func([]placement.Note)
	// GrantLoan lends tokens of a team's limit that this entry owns.
	GrantLoan func(team string, cost float64) limits.Loan
	// Ends, when set, holds the facts on ends of instances, which are exchanged with other entries.
	Ends *ends.Tracker
	// Forwarder, when set, serves attempts of other entries. It must be set before Run.
	Forwarder http.Handler
	// InSameRegion reports whether a failure domain is in this entry's region, whose entries share
	// one directory. If nil, all domains are in the region.
	InSameRegion func(domain string) bool
	Log          *log.Logger
	// Interval is the gossip interval; 0 means membership.GossipInterval.
	Interval time.Duration

	once   sync.Once
	client *http.Client
	notes  NoteQueue

	mu sync.Mutex
	// The fields below are guarded by mu.
	entries *membership.Entries
	// contacts are the live entries that share the directory. owners has the owner of each
	// part of the directory.
	contacts, owners []membership.Contact
	// sample holds the entries through which this one may send requests.
	sample []coordination.Peer
}

func (p *Peers) init() {
	p.once.Do(func() {
		if p.Interval == 0 {
			p.Interval = membership.GossipInterval
		}
		if p.InSameRegion == nil {
			p.InSameRegion = func(string) bool { return true }
		}
		p.client = rpc.NewClient()
		self := membership.EntryState{
			Name: p.Name, Address: p.Listener.Addr().String(), FailureDomain: p.FailureDomain, Start: uint64(clock.Now().UnixNano()),
		}
		p.entries = membership.NewEntries(self, membership.RandomSeed())
		p.refreshOwners(clock.Now())
	})
}

// Run serves other entries and gossips with them until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	p.init()
	mux := http.NewServeMux()
	peersServer := wire.NewPeersServer(service{p})
	feedServer := wire.NewFeedServer(feed.Service{Feed: p.Feed})
	mux.Handle(peersServer.PathPrefix(), peersServer)
	mux.Handle(feedServer.PathPrefix(), feedServer)
	if p.Forwarder != nil {
		mux.Handle("POST "+detour.Path, p.Forwarder)
	}
	var group sync.WaitGroup
	group.Go(func() { p.gossip(ctx) })
	group.Go(func() { p.flushNotes(ctx) })
	if p.Ends != nil {
		group.Go(func() { p.broadcastFacts(ctx) })
	}
	err := rpc.Serve(ctx, p.Listener, mux)
	group.Wait()
	return err
}

func (p *Peers) gossip(ctx context.Context) {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.gossipOnce()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// gossipOnce sends the current gossip messages to the targets of this interval.
func (p *Peers) gossipOnce() {
	now := clock.Now()
	p.mu.Lock()
	targets := p.entries.Tick(p.Seeds, now)
	localMessage := wire.FromGossip(p.entries.LocalGossip(now))
	remoteMessage := wire.FromGossip(p.entries.RemoteGossip(now))
	p.refreshOwners(now)
	p.mu.Unlock()
	p.addDigest(localMessage)
	p.addDigest(remoteMessage)
	for _, address := range targets.Local {
		p.send(address, localMessage)
	}
	for _, address := range targets.Remote {
		p.send(address, remoteMessage)
	}
}

// send sends a message in the background and processes the answer.
func (p *Peers) send(address string, message *wire.GossipMessage) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		answer, err := p.peer(address).Gossip(ctx, message)
		if err != nil {
			return
		}
		p.receive(answer)
		p.receiveFacts(address, answer)
		p.sendMissingFacts(ctx, address, message, answer)
	}()
}

func (p *Peers) peer(address string) wire.Peers {
	return wire.NewPeersProtobufClient("http://"+address, p.client)
}

// receive processes a message from another entry, requests from it the failure domains of which
// it has newer members, and returns the reply.
func (p *Peers) receive(m *wire.GossipMessage) (answer membership.Gossip) {
	g := wire.ToGossip(m)
	p.mu.Lock()
	now := clock.Now()
	result := p.entries.Receive(g, now)
	p.refreshOwners(now)
	request := p.entries.DomainRequest(result.Outdated)
	p.mu.Unlock()
	if len(result.Outdated) > 0 {
		p.send(g.States[0].Address, wire.FromGossip(request))
	}
	return result.Reply
}

// Leave announces at once that this entry accepts no more work.
func (p *Peers) Leave() {
	p.init()
	p.mu.Lock()
	p.entries.Leave()
	p.mu.Unlock()
	p.gossipOnce()
}

// LiveInRegion returns the number of live entries that share the region's upstreams, including
// this one.
func (p *Peers) LiveInRegion() int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshOwners(clock.Now())
	return max(len(p.contacts), 1)
}

// Sample returns the entries of the region through which this one may send requests. Not all of them need have a
// path themselves.
func (p *Peers) Sample() []coordination.Peer {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sample
}

// drawSample returns a sample of the live entries of the region. mu must be held.
func (p *Peers) drawSample(now time.Time) []coordination.Peer {
	var all []coordination.Peer
	for domain, contacts := range p.entries.ContactsByDomain(p.InSameRegion, now) {
		for _, c := range contacts {
			if c.Name != p.Name {
				all = append(all, coordination.Peer{Address: c.Address, FailureDomain: domain})
			}
		}
	}
	return coordination.Sample(p.Name, p.FailureDomain, all, nil)
}

// LocalPeerAddresses returns the addresses of the other live entries of this failure domain.
func (p *Peers) LocalPeerAddresses() []string {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, s := range p.entries.Live(clock.Now()) {
		if s.Name != p.Name {
			out = append(out, s.Address)
		}
	}
	return out
}

// Relay returns the address of the entry that follows the control log for this
// failure domain; ok is false if it is this entry.
func (p *Peers) Relay() (address string, ok bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	address, relays := p.relay(clock.Now())
	return address, !relays
}

// relay returns the address of this failure domain's relay, and whether it is this entry. mu
// must be held.
func (p *Peers) relay(now time.Time) (address string, self bool) {
	relay := p.entries.Relay(now)
	return relay.Address, relay.Name == p.Name
}

// owner returns the address of the entry that owns the part of the directory with a prompt's
// context; ok is false if it is this entry.
func (p *Peers) owner(route prefix.Key) (address string, ok bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.owners[placement.PartitionOf(route)]
	return owner.Address, owner.Name != p.Name
}

// Borrow requests tokens from the owner of a team's limit. isOwner is true if that is this
// entry, which then has to take them locally. It fails if the call to the owner fails or takes longer
// than ownerTimeout.
func (p *Peers) Borrow(ctx context.Context, team string, cost float64) (loan limits.Loan, isOwner bool, err error) {
	partition := xxhash.Sum64String(team) % placement.Partitions
	p.init()
	p.mu.Lock()
	owner := p.owners[partition]
	p.mu.Unlock()
	if owner.Name == p.Name {
		return limits.Loan{}, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := p.peer(owner.Address).Lend(ctx, &wire.LendRequest{Team: team, Cost: cost})
	if err != nil {
		return limits.Loan{}, false, err
	}
	return limits.Loan{Tokens: answer.Tokens, RetryAfter: time.Duration(answer.RetryAfterMilliseconds) * time.Millisecond}, false, nil
}

// SilentDomains returns every other failure domain that has had entries since this one started;
// the value is true if none of the domain's entries are reachable now.
func (p *Peers) SilentDomains() map[string]bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries.SilentDomains(clock.Now())
}

// LiveInDomain returns the number of live entries in this failure domain, including this one.
func (p *Peers) LiveInDomain() int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.entries.Live(clock.Now())), 1)
}

// OwnedPartitions returns the parts of the directory that this entry owns, in order.
func (p *Peers) OwnedPartitions() []uint16 {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []uint16
	for partition, owner := range p.owners {
		if owner.Name == p.Name {
			out = append(out, uint16(partition))
		}
	}
	return out
}

// refreshOwners recomputes the owners if the set of entries that share the directory has
// changed. mu must be held.
func (p *Peers) refreshOwners(now time.Time) {
	contacts := p.entries.Contacts(p.InSameRegion, now)
	if p.owners != nil && slices.Equal(contacts, p.contacts) {
		return
	}
	p.contacts = contacts
	p.sample = p.drawSample(now)
	p.owners = p.entries.Owners(placement.Partitions, contacts)
	p.Log.Info().Str("event", "entries").Int("live", len(contacts)).Msg("")
}
