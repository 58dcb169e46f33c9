package detour

import (
	"math/rand/v2"
	"time"
)

const (
	// delayWeight is the weight of a new sample in the moving average of a peer's delay.
	delayWeight = 0.2
	// initialDelay is the assumed delay of a peer that has not been used yet.
	initialDelay = 2 * time.Millisecond
	// crossDomainDelay is added to the delay of peers in other failure domains, as traffic between domains has
	// a cost of its own.
	crossDomainDelay = time.Millisecond
	// A peer is avoided for noPathAvoidance after it had no path itself, for busyAvoidance after it had no room,
	// and for unreachableAvoidance after it could not be reached.
	noPathAvoidance      = 500 * time.Millisecond
	busyAvoidance        = 100 * time.Millisecond
	unreachableAvoidance = time.Second
	// unresponsiveAfter is how long a peer may leave a request unaccepted before it gets no others.
	unresponsiveAfter = 500 * time.Millisecond
	// forgetPeerAfter is how long the state of an unused peer is kept.
	forgetPeerAfter = time.Minute
)

// Peer is another entry.
type Peer struct{ Address, FailureDomain string }

// Decline is why a peer did not pass on a request.
type Decline int

// The reasons: the peer has lost its direct path, has no room, or could not be reached.
const (
	DeclineNoPath Decline = iota + 1
	DeclineBusy
	DeclineUnreachable
)

// String returns the name of the reason that is written to logs and metrics.
func (d Decline) String() string {
	switch d {
	case DeclineNoPath:
		return "no_path"
	case DeclineBusy:
		return "busy"
	case DeclineUnreachable:
		return "unreachable"
	}
	return "unknown"
}

// peerState is what an entry knows of a peer from its own requests.
type peerState struct {
	// delay is a moving average of the time until the peer accepts a request. It covers the network and the
	// peer's load alike.
	delay time.Duration
	// inFlight counts the requests that the peer passes on for this entry, and unaccepted those of them that
	// it has not accepted yet. waitingSince is when the oldest of these was sent, or when the peer last accepted one.
	inFlight, unaccepted int
	waitingSince         time.Time
	avoidUntil, lastUsed time.Time
}

// Peers chooses the peer for each request that takes a detour: of two drawn at random the one with the
// shorter expected delay. Each entry decides by its own requests alone, and drawing two keeps many entries
// from all choosing the same peer. Use NewPeers to make one. It is not safe for concurrent use.
type Peers struct {
	random *rand.Rand
	states map[string]*peerState
}

// NewPeers returns Peers that know nothing of any peer.
func NewPeers(seed uint64) *Peers {
	return &Peers{random: rand.New(rand.NewPCG(seed, 0xde7)), states: map[string]*peerState{}}
}

// Choice describes a request that takes a detour.
type Choice struct {
	// Candidates are the peers that may be known to have a path.
	Candidates []Peer
	// Domain is the failure domain of this entry.
	Domain string
	// Tried holds the addresses of the peers that have declined the request.
	Tried map[string]bool
	// Allows reports whether the request may pass through a failure domain; nil allows all.
	Allows func(domain string) bool
}

// Pick chooses a peer; ok is false if there is none.
func (p *Peers) Pick(c Choice, now time.Time) (chosen Peer, ok bool) {
	var usable []Peer
	for _, candidate := range c.Candidates {
		if !c.Tried[candidate.Address] && (c.Allows == nil || c.Allows(candidate.FailureDomain)) && p.usable(candidate, now) {
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		return Peer{}, false
	}
	first := p.random.IntN(len(usable))
	chosen = usable[first]
	if len(usable) == 1 {
		return chosen, true
	}
	second := usable[(first+1+p.random.IntN(len(usable)-1))%len(usable)]
	if p.cost(second, c.Domain) < p.cost(chosen, c.Domain) {
		chosen = second
	}
	return chosen, true
}

func (p *Peers) usable(peer Peer, now time.Time) bool {
	s, ok := p.states[peer.Address]
	return !ok || !now.Before(s.avoidUntil) && (s.unaccepted == 0 || now.Sub(s.waitingSince) < unresponsiveAfter)
}

// cost is the delay that a further request at a peer is expected to have, relative to that of others.
func (p *Peers) cost(peer Peer, ownDomain string) float64 {
	delay, inFlight := initialDelay, 0
	if s, ok := p.states[peer.Address]; ok {
		delay, inFlight = s.delay, s.inFlight
	}
	if peer.FailureDomain != ownDomain {
		delay += crossDomainDelay
	}
	return delay.Seconds() * float64(1+inFlight)
}

func (p *Peers) state(address string) *peerState {
	s, ok := p.states[address]
	if !ok {
		s = &peerState{delay: initialDelay}
		p.states[address] = s
	}
	return s
}

// Begin records that a request is sent to a peer. One of Accepted, Declined and Canceled must follow, and
// End after Accepted.
func (p *Peers) Begin(address string, now time.Time) {
	s := p.state(address)
	if s.unaccepted == 0 {
		s.waitingSince = now
	}
	s.unaccepted++
	s.inFlight++
	s.lastUsed = now
}

// Accepted records that a peer passes a request on, and how long after it was sent the peer said so. A silence is no delay to
// expect of the next request: a peer with a long delay gets none, so its delay would stay until its state is dropped.
func (p *Peers) Accepted(address string, delay time.Duration, now time.Time) {
	s := p.state(address)
	s.unaccepted--
	s.waitingSince = now
	if delay < unresponsiveAfter {
		s.delay += time.Duration(delayWeight * float64(delay-s.delay))
	}
}

// Declined records that a peer did not pass a request on.
func (p *Peers) Declined(address string, d Decline, now time.Time) {
	s := p.state(address)
	s.unaccepted--
	s.inFlight--
	s.waitingSince = now
	avoidance := map[Decline]time.Duration{DeclineNoPath: noPathAvoidance, DeclineBusy: busyAvoidance, DeclineUnreachable: unreachableAvoidance}[d]
	s.avoidUntil = now.Add(avoidance)
}

// Canceled records that a request was canceled before the peer said whether it passes it on.
func (p *Peers) Canceled(address string, now time.Time) {
	s := p.state(address)
	s.unaccepted--
	s.inFlight--
	s.lastUsed = now
}

// End records that a request which a peer had accepted has ended.
func (p *Peers) End(address string, now time.Time) {
	s := p.state(address)
	s.inFlight--
	s.lastUsed = now
}

// Prune drops the state of peers that have not been used for a while.
func (p *Peers) Prune(now time.Time) {
	for address, s := range p.states {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > forgetPeerAfter {
			delete(p.states, address)
		}
	}
}
