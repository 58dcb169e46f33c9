// Package peers joins the entries of a deployment: they learn of each other by
// gossip, those of a region share a directory of kept context and the rates of teams,
// of which each owns a part, and one in each failure domain passes the declared state on.
//
// Nothing here is needed to serve: an entry that is cut off from all others serves
// with what it knows itself.
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
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// gossipTimeout bounds one exchange.
	gossipTimeout = time.Second
	// findTimeout is how long a prompt waits for the directory's owner; after it
	// the prompt is placed without hints.
	findTimeout = 25 * time.Millisecond
	// noteInterval joins the notes for one owner into one call.
	noteInterval = 50 * time.Millisecond
	noteTimeout  = time.Second
)

// Peers is one entry's part. Set the exported fields, then Run.
type Peers struct {
	Name, FailureDomain string
	// Listener takes other entries' calls. Run closes it.
	Listener net.Listener
	// Seeds are addresses of other entries to begin with.
	Seeds []string
	// Feed is what is passed on.
	Feed *feed.Feed
	// LookUpHints and Apply ask and change this entry's part of the directory.
	LookUpHints func([]prefix.Key) *placement.Hints
	StoreNotes  func([]placement.Note)
	// GrantLoan lends tokens of a team's limit that this entry owns.
	GrantLoan func(team string, cost float64) limits.Loan
	// Ends, when set, holds what this entry knows of ends of instances, and learns what others do.
	Ends *ends.Tracker
	// InSameRegion says whether a failure domain is in this entry's region, whose entries share
	// one directory; when nil, all are.
	InSameRegion func(domain string) bool
	// Log receives one line for each event.
	Log *log.Logger
	// Interval has a default when zero.
	Interval time.Duration

	once   sync.Once
	client *http.Client
	notes  Notes

	mu sync.Mutex
	// The fields below are guarded by mu.
	entries *membership.Entries
	// contacts are the entries that share the directory, and owners says who owns each
	// part of it.
	contacts, owners []membership.Contact
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
		p.refresh(clock.Now())
	})
}

// Run serves and gossips until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	p.init()
	mux := http.NewServeMux()
	peersServer := wire.NewPeersServer(service{p})
	feedServer := wire.NewFeedServer(feed.Service{Feed: p.Feed})
	mux.Handle(peersServer.PathPrefix(), peersServer)
	mux.Handle(feedServer.PathPrefix(), feedServer)
	var group sync.WaitGroup
	group.Go(func() { p.gossip(ctx) })
	group.Go(func() { p.flush(ctx) })
	if p.Ends != nil {
		group.Go(func() { p.spread(ctx) })
	}
	err := rpc.Serve(ctx, p.Listener, mux)
	group.Wait()
	return err
}

func (p *Peers) gossip(ctx context.Context) {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.tell()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tell exchanges what is known with the entries whose turn it is.
func (p *Peers) tell() {
	now := clock.Now()
	p.mu.Lock()
	targets := p.entries.Tick(p.Seeds, now)
	near := wire.FromGossip(p.entries.LocalGossip(now))
	far := wire.FromGossip(p.entries.RemoteGossip(now))
	p.refresh(now)
	p.mu.Unlock()
	p.addDigest(near)
	p.addDigest(far)
	for _, address := range targets.Local {
		p.send(address, near)
	}
	for _, address := range targets.Remote {
		p.send(address, far)
	}
}

// send sends a message in the background and takes the answer.
func (p *Peers) send(address string, message *wire.GossipMessage) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		answer, err := p.peer(address).Gossip(ctx, message)
		if err != nil {
			return
		}
		p.hear(answer)
		p.hearFacts(address, answer)
		p.sendMissing(ctx, address, message, answer)
	}()
}

func (p *Peers) peer(address string) wire.Peers {
	return wire.NewPeersProtobufClient("http://"+address, p.client)
}

// hear takes what another entry told, asks it for what it knows more of, and returns
// the answer for it.
func (p *Peers) hear(m *wire.GossipMessage) (answer membership.Gossip) {
	g := wire.ToGossip(m)
	p.mu.Lock()
	now := clock.Now()
	heard := p.entries.Receive(g, now)
	p.refresh(now)
	question := p.entries.DomainRequest(heard.Outdated)
	p.mu.Unlock()
	if len(heard.Outdated) > 0 {
		p.send(g.States[0].Address, wire.FromGossip(question))
	}
	return heard.Reply
}

// Leave tells the others at once that this entry takes no more work.
func (p *Peers) Leave() {
	p.init()
	p.mu.Lock()
	p.entries.Leave()
	p.mu.Unlock()
	p.tell()
}

// LiveInRegion returns how many entries share the region's upstreams, this one included.
func (p *Peers) LiveInRegion() int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(clock.Now())
	return max(len(p.contacts), 1)
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
// failure domain; ok is false when that is this entry.
func (p *Peers) Relay() (address string, ok bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	address, relays := p.relay(clock.Now())
	return address, !relays
}

// relay returns the address of this failure domain's relay, and whether that is this entry; mu
// must be held.
func (p *Peers) relay(now time.Time) (address string, self bool) {
	relay := p.entries.Relay(now)
	return relay.Address, relay.Name == p.Name
}

// owner returns the address of the entry that owns a prompt's context; ok is false
// when that is this entry.
func (p *Peers) owner(route prefix.Key) (address string, ok bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.owners[placement.PartitionOf(route)]
	return owner.Address, owner.Name != p.Name
}

// Borrow asks the owner of a team's limit for tokens; own is true when that is this
// entry, and err is set when the owner does not answer in time.
func (p *Peers) Borrow(ctx context.Context, team string, cost float64) (loan limits.Loan, own bool, err error) {
	part := xxhash.Sum64String(team) % placement.Partitions
	p.init()
	p.mu.Lock()
	owner := p.owners[part]
	p.mu.Unlock()
	if owner.Name == p.Name {
		return limits.Loan{}, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answer, err := p.peer(owner.Address).Lend(ctx, &wire.LendRequest{Team: team, Cost: cost})
	if err != nil {
		return limits.Loan{}, false, err
	}
	return limits.Loan{Tokens: answer.Tokens, RetryAfter: time.Duration(answer.RetryAfterMilliseconds) * time.Millisecond}, false, nil
}

// SilentDomains reports which failure domains have had entries and have none in reach.
func (p *Peers) SilentDomains() map[string]bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries.SilentDomains(clock.Now())
}

// LiveInDomain returns how many entries live in this failure domain, this one included.
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
	for part, owner := range p.owners {
		if owner.Name == p.Name {
			out = append(out, uint16(part))
		}
	}
	return out
}

// refresh works out who owns what, if other entries share the directory than before;
// mu must be held.
func (p *Peers) refresh(now time.Time) {
	contacts := p.entries.Contacts(p.InSameRegion, now)
	if p.owners != nil && slices.Equal(contacts, p.contacts) {
		return
	}
	p.contacts = contacts
	p.owners = p.entries.Owners(placement.Partitions, contacts)
	p.Log.Info().Str("event", "entries").Int("live", len(contacts)).Msg("")
}
