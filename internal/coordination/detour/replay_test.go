package detour_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/detour"
)

// replayCase is a fleet of entries, a part of which is cut off.
type replayCase struct {
	name         string
	entries, cut int
	// small is how many of the entries have a quarter of the room, and loaded how many have callers who take
	// nine tenths of their room.
	small, loaded int
}

var replayCases = []replayCase{
	{"one of 8", 8, 1, 0, 0},
	{"5 of 8", 8, 5, 0, 0},
	{"5 of 8, one of the rest small", 8, 5, 1, 0},
	{"3 of 8, one of the rest small, one loaded", 8, 3, 1, 1},
	{"a failure domain of 300, half of the rest small", 300, 100, 100, 0},
	{"a failure domain of 300, a third of the rest loaded", 300, 100, 0, 66},
}

const (
	// replayWork is how long an entry works on a request, its own or another's, and replayRate how many own
	// requests an entry gets in a second.
	replayWork = 1500 * time.Microsecond
	replayRate = 60
	// replayTime is the time that is replayed, and replayLink the time to another entry and back.
	replayTime = 5 * time.Second
	replayLink = 1200 * time.Microsecond
)

// replayPolicy chooses the peer of a request; the others record what became of it.
type replayPolicy struct {
	pick func(origin int, now time.Time) (peer int, ok bool)
	note func(origin, peer int, delay time.Duration, now time.Time)
}

// replay returns the 95th percentile of the time that requests of entries that are cut off wait for a peer, and the
// same of the peers' own requests.
func replay(c replayCase, makePolicy func(c replayCase, all []detour.Peer) replayPolicy) (detours, own time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	all := peers(c.entries)
	policy := makePolicy(c, all)
	// busyUntil is when each entry will have worked off what it has.
	busyUntil := make([]time.Time, c.entries)
	for i := range busyUntil {
		busyUntil[i] = start
	}
	work := func(i int) time.Duration {
		if i >= c.cut && i < c.cut+c.small {
			return 4 * replayWork
		}
		return replayWork
	}
	rate := func(i int) float64 {
		if i >= c.cut+c.small && i < c.cut+c.small+c.loaded {
			return 0.9 / work(i).Seconds()
		}
		return replayRate
	}
	type arrival struct {
		at     time.Time
		origin int
	}
	var arrivals []arrival
	for i := range c.entries {
		for at := 0.0; at < replayTime.Seconds(); at += random.ExpFloat64() / rate(i) {
			arrivals = append(arrivals, arrival{start.Add(time.Duration(at * float64(time.Second))), i})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	var detourTimes, ownTimes []time.Duration
	for _, a := range arrivals {
		server, link := a.origin, time.Duration(0)
		if a.origin < c.cut {
			peer, ok := policy.pick(a.origin, a.at)
			if !ok {
				detourTimes = append(detourTimes, replayTime)
				continue
			}
			server, link = peer, replayLink
		}
		begin := a.at.Add(link / 2)
		if busyUntil[server].After(begin) {
			begin = busyUntil[server]
		}
		busyUntil[server] = begin.Add(work(server))
		took := begin.Sub(a.at) + work(server) + link/2
		if a.origin < c.cut {
			detourTimes = append(detourTimes, took)
			policy.note(a.origin, server, took, a.at)
		} else {
			ownTimes = append(ownTimes, took)
		}
	}
	return percentile(detourTimes), percentile(ownTimes)
}

func percentile(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// samplesOf returns the sample of each entry that is cut off, as indices.
func samplesOf(c replayCase, all []detour.Peer) [][]int {
	index := map[string]int{}
	for i, p := range all {
		index[p.Address] = i
	}
	out := make([][]int, c.cut)
	for origin := range out {
		for _, p := range detour.Sample(fmt.Sprint("e", origin), all[origin].FailureDomain, all[c.cut:], nil) {
			out[origin] = append(out[origin], index[p.Address])
		}
	}
	return out
}

// drawn chooses any peer of the sample, as often as any other.
func drawn(c replayCase, all []detour.Peer) replayPolicy {
	random := rand.New(rand.NewPCG(8, 8))
	samples := samplesOf(c, all)
	return replayPolicy{func(origin int, _ time.Time) (int, bool) {
		return samples[origin][random.IntN(len(samples[origin]))], true
	}, func(int, int, time.Duration, time.Time) {}}
}

// first always chooses the first of the sample, as a fixed assignment of a peer to each entry does.
func first(c replayCase, all []detour.Peer) replayPolicy {
	samples := samplesOf(c, all)
	return replayPolicy{func(origin int, _ time.Time) (int, bool) { return samples[origin][0], true }, func(int, int, time.Duration, time.Time) {}}
}

// byDelay is what entries do. A request's end is noted when its time is over.
func byDelay(c replayCase, all []detour.Peer) replayPolicy {
	type pending struct {
		peer  int
		sent  time.Time
		delay time.Duration
	}
	choosers := make([]*detour.Peers, c.cut)
	samples := make([][]detour.Peer, c.cut)
	open := make([][]pending, c.cut)
	index := map[string]int{}
	for i, sample := range samplesOf(c, all) {
		choosers[i] = detour.NewPeers(uint64(i))
		for _, peer := range sample {
			samples[i] = append(samples[i], all[peer])
			index[all[peer].Address] = peer
		}
	}
	return replayPolicy{func(origin int, now time.Time) (int, bool) {
		p := choosers[origin]
		open[origin] = slices.DeleteFunc(open[origin], func(r pending) bool {
			at := r.sent.Add(r.delay)
			if at.After(now) {
				return false
			}
			p.Accepted(all[r.peer].Address, r.delay, at)
			p.End(all[r.peer].Address, at)
			return true
		})
		chosen, ok := p.Pick(detour.Choice{Candidates: samples[origin], Domain: all[origin].FailureDomain}, now)
		if ok {
			p.Begin(chosen.Address, now)
		}
		return index[chosen.Address], ok
	}, func(origin, peer int, delay time.Duration, now time.Time) {
		open[origin] = append(open[origin], pending{peer, now, delay})
	}}
}

// Peers get detours in proportion to the room that they have, not to their number: where these differ, the choice by
// delay is better than a draw or a fixed assignment, and elsewhere no worse. With SHEDROCK_BENCH it logs a table.
func TestReplayOfPeerChoice(t *testing.T) {
	for _, c := range replayCases {
		assigned, assignedOwn := replay(c, first)
		random, randomOwn := replay(c, drawn)
		delay, delayOwn := replay(c, byDelay)
		if os.Getenv("SHEDROCK_BENCH") != "" {
			t.Logf("%-55s p95 of detours (own requests of peers): assigned %s (%s), drawn %s (%s), by delay %s (%s)", c.name,
				ms(assigned), ms(assignedOwn), ms(random), ms(randomOwn), ms(delay), ms(delayOwn))
		}
		if delay > random+time.Millisecond || delay > assigned+time.Millisecond {
			t.Errorf("%s: detours take %s, drawn %s, assigned %s", c.name, delay, random, assigned)
		}
		if uneven := c.small+c.loaded > 0; uneven && (delay >= random || delay >= assigned) {
			t.Errorf("%s: detours take %s, drawn %s, assigned %s", c.name, delay, random, assigned)
		}
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", d.Seconds()*1000) }
