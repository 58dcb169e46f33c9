// Package detour decides when an entry sends requests to instances through another entry, its peer, and
// by which one. It does no I/O.
//
// An entry may lose the path to instances that others still reach. A Path tracks that for one service, from
// the failures of requests and from probes on new connections. Peers chooses among the other entries.
package detour

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// minSuspectInstances is how many distinct instances must fail within evidenceWindow for a probe; a single
	// one may be faulty itself.
	minSuspectInstances = 2
	evidenceWindow      = 2 * time.Second
	// silentAfter is how long no instance may respond while requests wait, before a probe. Engines at normal
	// load are silent for that long only while there are few requests.
	silentAfter = 400 * time.Millisecond
	// responseWindow is how long after a response open connections count as working.
	responseWindow = 500 * time.Millisecond
	// maxResponses is how many responses are remembered for each live instance until those before responseWindow are
	// dropped.
	maxResponses = 2
	// probeInterval is the time between two rounds of probes while the path is lost.
	probeInterval = 300 * time.Millisecond
	// minRecheck is the time after a round that found the path open until the next suspicion is probed. It
	// doubles with each further one, up to maxRecheck, until none has come for recheckReset.
	minRecheck   = 500 * time.Millisecond
	maxRecheck   = 4 * time.Second
	recheckReset = 10 * time.Second
	// minGoodRounds is how many successive rounds must find the path open before it is used again. The number
	// doubles, up to maxGoodRounds, if the path is lost again within flapWindow.
	minGoodRounds = 2
	maxGoodRounds = 16
	flapWindow    = 10 * time.Second
)

// State is what an entry knows of its direct path to the instances of a service.
type State int

const (
	// Open means that requests are sent directly.
	Open State = iota
	// Suspected means that probes are under way.
	Suspected
	// OpenConnectionsOnly means that new connections fail, while responses still arrive on open ones.
	OpenConnectionsOnly
	// Lost means that nothing arrives.
	Lost
)

// String returns the name of the state that is written to logs.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case Suspected:
		return "suspected"
	case OpenConnectionsOnly:
		return "open_connections_only"
	case Lost:
		return "lost"
	}
	return "unknown"
}

// Cause is the evidence that led to a probe.
type Cause string

// The causes: requests failed at distinct instances, no instance responded while requests waited, or the path to
// another service was lost.
const (
	CauseFailures     Cause = "failures"
	CauseSilence      Cause = "silence"
	CauseOtherService Cause = "other_service"
)

// Path is an entry's direct path to the instances of one service. The zero value is an open one. It is not safe
// for concurrent use.
type Path struct {
	// failures holds when requests last failed at each instance that has not responded since.
	failures map[registry.Incarnation]time.Time
	// responses holds when instances last responded, those that are live no more among them until pruneResponses.
	responses map[registry.Incarnation]time.Time
	// waiting is the number of requests that wait for a response, and waitingSince when the oldest of them
	// was sent, or when any instance last responded, if that was later.
	waiting      int
	waitingSince time.Time
	lastResponse time.Time
	// resumedAt is when an instance last responded after responseWindow without any response, while the path was lost.
	resumedAt time.Time
	// hinted is true after Hint, until the next round of probes.
	hinted bool
	// probing is true while a round of probes is under way, and lost after one that failed.
	probing, lost bool
	// targets holds the instances of the last round of probes, and roundBegan when it began. answeredElsewhere is
	// true if another instance has responded since.
	targets           map[registry.Incarnation]bool
	roundBegan        time.Time
	answeredElsewhere bool
	// undecided is true after a round that failed while another instance responded, until the next round has ended.
	undecided     bool
	cause         Cause
	nextProbe     time.Time
	recheck       time.Duration
	lastSuspected time.Time
	// since is when the path was lost or found last; zero if it was never lost.
	since time.Time
	// goodRounds counts the successive rounds that found a lost path open, and neededRounds is how many there
	// must be.
	goodRounds, neededRounds int
}

// State returns the state of the path.
func (p *Path) State(now time.Time) State {
	switch {
	case p.lost && !p.lastResponse.IsZero() && now.Sub(p.lastResponse) < responseWindow:
		return OpenConnectionsOnly
	case p.lost:
		return Lost
	case p.probing:
		return Suspected
	}
	return Open
}

// IsLost reports whether new connections fail, whether or not open ones work.
func (p *Path) IsLost() bool { return p.lost }

// Delayed reports whether a lost path may have delayed the response to a request that was sent at a time: the path was lost
// or found since, or the request was sent less than the given time after the loss, or nothing arrived meanwhile on the
// connections that are open.
func (p *Path) Delayed(sent time.Time, afterLoss time.Duration) bool {
	return p.since.After(sent) || p.lost && (sent.Before(p.since.Add(afterLoss)) || !p.resumedAt.Before(sent))
}

// SilentSince returns since when the state of a lost path has been Lost: the loss, or the end of the time in which open connections
// still worked.
func (p *Path) SilentSince() time.Time {
	if until := p.lastResponse.Add(responseWindow); !p.lastResponse.IsZero() && until.After(p.since) {
		return until
	}
	return p.since
}

// Returning reports whether the last round of probes on a lost path found it open, but not yet often enough for it to
// be preferred again.
func (p *Path) Returning() bool { return p.lost && p.goodRounds > 0 }

// Since returns when the path was lost or found last, or zero.
func (p *Path) Since() time.Time { return p.since }

// Cause returns the evidence that led to the last round of probes on an open path.
func (p *Path) Cause() Cause { return p.cause }

// Failures returns the number of instances at which requests failed lately.
func (p *Path) Failures() int { return len(p.failures) }

// LastResponse returns when any instance last responded to this entry, or zero.
func (p *Path) LastResponse() time.Time { return p.lastResponse }

// Failing reports whether a request failed lately at an instance that has not responded since.
func (p *Path) Failing(target registry.Incarnation) bool {
	_, ok := p.failures[target]
	return ok
}

// Begin records that a request is sent directly. End must be called when it no longer waits for a response.
func (p *Path) Begin(now time.Time) {
	if p.waiting == 0 {
		p.waitingSince = now
	}
	p.waiting++
}

// End records that a request no longer waits for a response.
func (p *Path) End() { p.waiting-- }

// Responded records that an instance responded to this entry directly.
func (p *Path) Responded(target registry.Incarnation, now time.Time) {
	if p.lost && now.Sub(p.lastResponse) >= responseWindow {
		p.resumedAt = now
	}
	p.lastResponse = now
	p.waitingSince = now
	delete(p.failures, target)
	if p.responses == nil {
		p.responses = map[registry.Incarnation]time.Time{}
	}
	p.responses[target] = now
	if p.probing && !p.targets[target] {
		p.answeredElsewhere = true
	}
}

// Failed records that a request got no byte of a response from an instance, because no connection was made
// or because it broke.
func (p *Path) Failed(target registry.Incarnation, now time.Time) {
	if p.failures == nil {
		p.failures = map[registry.Incarnation]time.Time{}
	}
	p.failures[target] = now
}

// ProbeDue reports whether a round of probes is due, and if so, that it has begun: Probed must be called with
// its result. live is the number of instances that are known to be live.
func (p *Path) ProbeDue(live int, now time.Time) bool {
	p.pruneResponses(live, now)
	if p.probing || live == 0 || now.Before(p.nextProbe) {
		return false
	}
	if !p.lost && !p.undecided && !p.suspicious(live, now) {
		return false
	}
	p.probing = true
	p.hinted = false
	p.roundBegan = now
	p.answeredElsewhere = false
	return true
}

// pruneResponses bounds the responses that are remembered.
func (p *Path) pruneResponses(live int, now time.Time) {
	if len(p.responses) > maxResponses*live {
		maps.DeleteFunc(p.responses, func(_ registry.Incarnation, at time.Time) bool { return now.Sub(at) > responseWindow })
	}
}

// Hint records that the path to another service was lost, so that this one is probed before requests fail.
func (p *Path) Hint() { p.hinted = true }

// suspicious reports whether there is evidence that the path is lost, and records its cause.
func (p *Path) suspicious(live int, now time.Time) bool {
	maps.DeleteFunc(p.failures, func(_ registry.Incarnation, at time.Time) bool { return now.Sub(at) > evidenceWindow })
	switch {
	case len(p.failures) >= min(minSuspectInstances, live):
		p.cause = CauseFailures
	case p.waiting > 0 && now.Sub(p.waitingSince) >= silentAfter:
		p.cause = CauseSilence
	case p.hinted:
		p.cause = CauseOtherService
	default:
		return false
	}
	return true
}

// Doubtful reports whether an instance that could not be connected to may be reached through a peer: the path
// is lost, or is about to be probed because instances failed.
func (p *Path) Doubtful(live int, now time.Time) bool {
	return p.lost || p.probing || len(p.failures) >= min(minSuspectInstances, live) && !now.Before(p.nextProbe)
}

// Idle reports whether no request waits and no probe is under way, so that the state may be dropped.
func (p *Path) Idle() bool { return p.waiting == 0 && !p.probing }

// Active reports whether ProbeDue can become true without further events: while it is false, it need not be
// called.
func (p *Path) Active() bool {
	return p.lost || p.hinted || p.undecided || p.waiting > 0 || len(p.failures) > 0
}

// Undecided reports whether the last round of probes failed while an instance that was not probed responded. Another
// round is due at once then.
func (p *Path) Undecided() bool { return p.undecided }

// Probed records the result of a round of probes, each on a new connection to another instance. It reports
// whether the path was lost or found by it.
func (p *Path) Probed(succeeded int, now time.Time) (changed bool) {
	p.probing = false
	if !p.lost {
		return p.probedOpen(succeeded, now)
	}
	p.nextProbe = now.Add(probeInterval)
	if succeeded == 0 {
		p.goodRounds = 0
		return false
	}
	p.goodRounds++
	if p.goodRounds < p.neededRounds {
		return false
	}
	p.lost = false
	p.since = now
	p.resetEvidence(now)
	return true
}

// probedOpen records the result of a round on a path that was not lost.
func (p *Path) probedOpen(succeeded int, now time.Time) (changed bool) {
	if now.Sub(p.lastSuspected) > recheckReset {
		p.recheck = 0
	}
	p.lastSuspected = now
	switch {
	case succeeded > 0:
		p.undecided = false
		p.recheck = min(max(2*p.recheck, minRecheck), maxRecheck)
		p.nextProbe = now.Add(p.recheck)
		p.resetEvidence(now)
		return false
	case p.silenceEnded():
		p.undecided = false
		p.resetEvidence(now)
		return false
	case p.answeredElsewhere && !p.undecided:
		p.undecided = true
		return false
	}
	p.undecided = false
	p.neededRounds = max(p.neededRounds, minGoodRounds)
	if !p.since.IsZero() && now.Sub(p.since) < flapWindow {
		p.neededRounds = min(2*p.neededRounds, maxGoodRounds)
	} else {
		p.neededRounds = minGoodRounds
	}
	p.lost = true
	p.since = now
	p.goodRounds = 0
	p.nextProbe = now.Add(probeInterval)
	return true
}

// silenceEnded reports whether silence alone led to the last round of probes, and an instance has responded since. That
// new connections fail is not known then: requests at them would have failed.
func (p *Path) silenceEnded() bool {
	return p.cause == CauseSilence && p.lastResponse.After(p.roundBegan)
}

// resetEvidence drops the evidence of before, so that only what follows counts.
func (p *Path) resetEvidence(now time.Time) {
	clear(p.failures)
	p.waitingSince = now
}
