// Package detour sends requests to instances through another entry while this one has lost its direct path to
// them, and does the same for other entries.
//
// What travels is one attempt: the entry that has the caller's request makes all decisions about it, and keeps
// its deadline, its budgets and its records, as if it had sent the attempt itself. A peer sends an attempt to the
// named instance directly or declines, and never passes it on to a third entry.
package detour

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/connpool"
)

// maxPeersTried is how many peers may decline one attempt. Each takes a round trip.
const maxPeersTried = 3

// errNoPath reports that neither this entry nor a peer that it knows has a path to the instance, and errNoPeer that no
// peer takes an attempt.
var (
	errNoPath = errors.New("no path to the instance: the own one is lost, and no other entry has one")
	errNoPeer = errors.New("no other entry takes the attempt")
)

// Direct sends attempts to instances over connections of this process.
type Direct interface {
	exchange.Upstreams
	// Probe opens a new connection to an instance and returns nil if any response arrives on it. The request
	// must cost the instance next to nothing.
	Probe(ctx context.Context, in registry.Instance) error
	// HasIdle reports whether an open connection to an instance is free.
	HasIdle(in registry.Instance) bool
}

// Upstreams sends attempts to instances directly, or through a peer. Set the exported fields before Run and
// Send. It is safe for concurrent use.
type Upstreams struct {
	// Name and FailureDomain are those of this entry.
	Name, FailureDomain string
	Direct              Direct
	// Instances returns the live instances of a service.
	Instances func(service string) []registry.Instance
	// Peers returns the entries that may be known to have a path. Without any, or if it is nil, all is sent directly.
	Peers func() []detour.Peer
	// OnChanged, when set, is called when the direct path to a service has been lost or restored, and when a first peer is known
	// while it is lost: earlier failures were not caused by its instances.
	OnChanged func(service string)
	Metrics   *Metrics
	// Log receives one line per change of a direct path.
	Log *log.Logger

	once sync.Once
	// pool holds connections to peers.
	pool connpool.Pool
	// active holds a token when a path needs to be watched.
	active chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. paths holds the direct path to each service.
	paths  map[string]*detour.Path
	peers  *detour.Peers
	random *rand.Rand
	// knewPeers is true if a peer was known when the paths were last checked.
	knewPeers bool
	// answered is closed and replaced when an instance responds on a path that is lost.
	answered chan struct{}
}

func (u *Upstreams) init() {
	u.once.Do(func() {
		u.active = make(chan struct{}, 1)
		u.paths = map[string]*detour.Path{}
		u.peers = detour.NewPeers(rand.Uint64())
		u.answered = make(chan struct{})
		u.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	})
}

// knownPeers returns the entries that may be known to have a path.
func (u *Upstreams) knownPeers() []detour.Peer {
	if u.Peers == nil {
		return nil
	}
	return u.Peers()
}

// path returns the direct path to a service. mu must be held.
func (u *Upstreams) path(service string) *detour.Path {
	p, ok := u.paths[service]
	if !ok {
		p = &detour.Path{}
		u.paths[service] = p
	}
	return p
}

// State returns the state of the direct path to the instances of a service.
func (u *Upstreams) State(service string) detour.State {
	u.init()
	u.mu.Lock()
	defer u.mu.Unlock()
	p, ok := u.paths[service]
	if !ok {
		return detour.Open
	}
	return p.State(clock.Now())
}

// LostSince returns since when the direct path to a service has been lost; ok is false if it is not.
func (u *Upstreams) LostSince(service string) (since time.Time, ok bool) {
	u.init()
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.paths[service]
	if p == nil || p.State(clock.Now()) != detour.Lost {
		return time.Time{}, false
	}
	return p.Since(), true
}

// AnyLost reports whether the direct path to any service is lost.
func (u *Upstreams) AnyLost() bool {
	u.init()
	now := clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.paths {
		if s := p.State(now); s == detour.Lost || s == detour.OpenConnectionsOnly {
			return true
		}
	}
	return false
}

// Send sends one attempt directly, or through a peer if the direct path is lost. It sets the attempt's Via. While no
// entry has a path because all instances are silent, it holds the attempt for a short time.
func (u *Upstreams) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	u.init()
	sent := clock.Now()
	state := u.State(a.Instance.Service)
	usesPeers := len(u.knownPeers()) > 0
	if usesPeers && (state == detour.Lost || state == detour.OpenConnectionsOnly && !u.Direct.HasIdle(a.Instance)) {
		reply, ok := u.sendByPeer(ctx, a)
		switch {
		case ok:
			a.Delayed = u.delayed(a.Instance.Service, sent)
			return reply
		case state != detour.Lost || u.returning(a.Instance.Service):
			return u.SendDirect(ctx, a)
		case a.Beside || !u.hold(ctx, a):
			return exchange.Unreached{Err: errNoPath, NoPath: true}
		}
		reply = u.SendDirect(ctx, a)
		a.Delayed = true
		return reply
	}
	direct := u.SendDirect(ctx, a)
	if _, unreached := direct.(exchange.Unreached); !unreached || !usesPeers || ctx.Err() != nil || !u.doubtful(a.Instance.Service) {
		return direct
	}
	reply, ok := u.sendByPeer(ctx, a)
	if !ok {
		return direct
	}
	a.Delayed = true
	return reply
}

// delayed reports whether the path to a service may have delayed the response to an attempt that was sent at a time. Shortly
// after the loss, the instances may have been silent for all entries still.
func (u *Upstreams) delayed(service string, sent time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.path(service).Delayed(sent, holdTime)
}

// returning reports whether the lost path to a service may be tried where no peer has one: the service may have been
// down for all.
func (u *Upstreams) returning(service string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.path(service).Returning()
}

// doubtful reports whether an instance that was not reached may be reached through a peer.
func (u *Upstreams) doubtful(service string) bool {
	live := len(u.Instances(service))
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.path(service).Doubtful(live, clock.Now())
}

// SendDirect sends one attempt over a connection of this process.
func (u *Upstreams) SendDirect(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	u.init()
	service, target := a.Instance.Service, a.Instance.Incarnation()
	u.mu.Lock()
	path := u.path(service)
	sent := clock.Now()
	path.Begin(sent)
	u.mu.Unlock()
	u.watch()
	reply := u.Direct.Send(ctx, a)
	u.mu.Lock()
	defer u.mu.Unlock()
	path.End()
	switch {
	case ctx.Err() != nil && !isResponse(reply):
		// A canceled attempt is no evidence about the instance.
	case !gotNothing(reply):
		u.responded(path, target)
	default:
		path.Failed(target, clock.Now())
		u.watch()
	}
	a.Delayed = path.Delayed(sent, holdTime)
	if stream, ok := reply.(exchange.Stream); ok {
		stream.Events = &observedEvents{Events: stream.Events, responded: func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.responded(path, target)
		}}
		return stream
	}
	return reply
}

// sendByPeer sends one attempt through a peer; ok is false if no peer takes it.
func (u *Upstreams) sendByPeer(ctx context.Context, a *exchange.Attempt) (reply exchange.Reply, ok bool) {
	c, via, err := u.call(ctx, fromAttempt(u.Name, a), a.Deadline, a.AllowsDomain)
	a.Via = via
	switch {
	case err == errNoPeer:
		u.Metrics.detours.WithLabelValues(a.Instance.Service, "none").Inc()
		return nil, false
	case err != nil:
		return exchange.Broken{Err: err}, true
	}
	return c.reply(), true
}

// call sends an attempt to peers until one accepts it, and returns that peer's address. It returns errNoPeer if none
// does; after any other error the attempt may have been passed on.
func (u *Upstreams) call(ctx context.Context, in *wire.ForwardRequest, deadline time.Time, allows func(domain string) bool) (c *call, via string, err error) {
	choice := detour.Choice{Candidates: u.knownPeers(), Domain: u.FailureDomain, Tried: map[string]bool{}, Allows: allows}
	for len(choice.Tried) < maxPeersTried && ctx.Err() == nil {
		peer, ok := u.pick(choice)
		if !ok {
			break
		}
		choice.Tried[peer.Address] = true
		in.RemainingNanoseconds = remaining(deadline)
		sent := clock.Now()
		c, err := newCall(ctx, &u.pool, peer.Address, in, deadline)
		now := clock.Now()
		var declined *declinedError
		switch {
		case errors.As(err, &declined):
			u.declined(in.Service, peer, declined.why, ctx.Err() != nil, now)
			continue
		case err != nil:
			u.declined(in.Service, peer, detour.DeclineUnreachable, ctx.Err() != nil, now)
			return nil, peer.Address, err
		}
		u.accepted(in.Service, peer, now.Sub(sent), now)
		c.broken = func() {
			if ctx.Err() == nil {
				u.Metrics.brokenDetours.WithLabelValues(in.Service).Inc()
			}
		}
		c.ended = sync.OnceFunc(func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.peers.End(peer.Address, clock.Now())
		})
		return c, peer.Address, nil
	}
	return nil, "", errNoPeer
}

func (u *Upstreams) pick(c detour.Choice) (detour.Peer, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	peer, ok := u.peers.Pick(c, clock.Now())
	if ok {
		u.peers.Begin(peer.Address, clock.Now())
	}
	return peer, ok
}

func (u *Upstreams) accepted(service string, peer detour.Peer, delay time.Duration, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers.Accepted(peer.Address, delay, now)
	u.Metrics.detours.WithLabelValues(service, "passed_on").Inc()
	u.Metrics.acceptSeconds.Observe(delay.Seconds())
}

// declined records that a peer did not take an attempt. An attempt that was canceled here is no evidence about the peer.
func (u *Upstreams) declined(service string, peer detour.Peer, why detour.Decline, canceled bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if canceled {
		u.peers.Canceled(peer.Address, now)
		return
	}
	u.peers.Declined(peer.Address, why, now)
	u.Metrics.detours.WithLabelValues(service, why.String()).Inc()
}

// Refuses reports whether an instance's address refuses connections. While the direct path is in doubt, a
// refusal of this entry's own connection is no evidence about the instance, and a peer is asked.
func (u *Upstreams) Refuses(ctx context.Context, in registry.Instance) bool {
	u.init()
	if len(u.knownPeers()) == 0 {
		return u.Direct.Refuses(ctx, in)
	}
	if u.State(in.Service) == detour.Open {
		if !u.Direct.Refuses(ctx, in) {
			return false
		}
		u.mu.Lock()
		u.path(in.Service).Failed(in.Incarnation(), clock.Now())
		u.mu.Unlock()
		u.watch()
		if !u.doubtful(in.Service) {
			return true
		}
	}
	request := &wire.ForwardRequest{
		Entry: u.Name, Instance: in.ID, Start: int64(in.Start), Service: in.Service, Address: in.Address, FailureDomain: in.FailureDomain, RefusalProbe: true,
	}
	deadline, _ := ctx.Deadline()
	c, _, err := u.call(ctx, request, deadline, nil)
	return err == nil && c.refuses()
}

// Observe records whether an instance responded to a request that this entry sent it by other means.
func (u *Upstreams) Observe(in registry.Instance, responded bool) {
	u.init()
	u.mu.Lock()
	defer u.mu.Unlock()
	if responded {
		u.responded(u.path(in.Service), in.Incarnation())
		return
	}
	u.path(in.Service).Failed(in.Incarnation(), clock.Now())
	u.watch()
}

// watch makes Run look at the paths.
func (u *Upstreams) watch() {
	select {
	case u.active <- struct{}{}:
	default:
	}
}
