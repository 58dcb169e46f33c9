package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// limitedBalancer is a balancer of one of several entries, and an instance that may have a limit.
type limitedBalancer struct {
	*balance.Balancer
	in   registry.Instance
	info balance.PickInfo
}

func newLimitedBalancer(entries int) *limitedBalancer {
	return &limitedBalancer{Balancer: balance.New(1), in: registry.Instance{ID: "few", Slots: 4}, info: balance.PickInfo{Entries: entries}}
}

// sendFor asks for an instance every 10 ms, and returns how often it got one.
func (b *limitedBalancer) sendFor(from, length time.Duration) (sent int) {
	all := []registry.Instance{b.in}
	for at := from; at < from+length; at += 10 * time.Millisecond {
		if _, ok := b.Pick(all, b.info, now.Add(at)); ok {
			sent++
		}
	}
	return sent
}

// Limits were ignored. One entry alone must not exceed a limit in the long run, and it must send
// one request in ten seconds under lower limits, to find out whether they are still in force.
func TestOneEntryKeepsToALimit(t *testing.T) {
	const length = 200 * time.Second
	for _, c := range []struct {
		perSecond   float64
		least, most int
	}{
		{4.5, 600, 900}, {1, 150, 200}, {0.25, 40, 50}, {0.1, 10, 20}, {0, 10, 20}, {1e-12, 10, 20}, {1e300, 19000, 20000}, {math.MaxFloat64, 19000, 20000},
	} {
		b := newLimitedBalancer(1)
		b.SetLimit(b.in.Incarnation(), c.perSecond, now)
		if sent := b.sendFor(0, length); sent < c.least || sent > c.most {
			t.Errorf("%g a second: %d requests in %s, expected %d to %d", c.perSecond, sent, length, c.least, c.most)
		}
	}
}

// An answer that arrived out of order cleared a limit that had just been set.
func TestOnlyALaterRequestClearsALimit(t *testing.T) {
	b := newLimitedBalancer(1)
	target := b.in.Incarnation()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	got := []bool{
		b.ClearLimit(target, at(0)),
		b.SetLimit(target, 4, at(100)),
		b.SetLimit(target, 4, at(110)),
		b.ClearLimit(target, at(90)),
		b.Limit(target).Active,
		b.SetLimit(target, 2, at(120)),
		b.ClearLimit(target, at(130)),
		b.ClearLimit(target, at(140)),
		b.Limit(target).Active,
	}
	if diff := cmp.Diff([]bool{false, true, false, false, true, true, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// A limit that could not be parsed replaced the known one.
func TestUnreadableLimitKeepsTheKnownOne(t *testing.T) {
	b := newLimitedBalancer(1)
	target := b.in.Incarnation()
	b.SetLimit(target, 4, now)
	got := []bool{b.MarkLimitUnreadable(target), b.MarkLimitUnreadable(target), b.Limit(target).Active, b.SetLimit(target, 4, now.Add(time.Second)), b.MarkLimitUnreadable(target)}
	if diff := cmp.Diff([]bool{true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// A limit was dropped with the state of an unused instance; an instance that accepts nothing is
// always unused.
func TestLimitSurvivesPrune(t *testing.T) {
	b := newLimitedBalancer(1)
	b.SetLimit(b.in.Incarnation(), 0, now)
	sent := 0
	for s := range 200 {
		// Each call passes a new slice, as when instance lists are rebuilt.
		sent += b.sendFor(time.Duration(s)*time.Second, time.Second)
		b.Prune(now.Add(time.Duration(s-1) * time.Second))
	}
	if sent > 20 {
		t.Errorf("%d requests in 200 s to an instance with a limit of 0", sent)
	}
}

// The next incarnation at an address was held to the limit of the one before.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	b := newLimitedBalancer(8)
	b.SetLimit(b.in.Incarnation(), 0, now)
	b.in.Start = 1
	if sent := b.sendFor(0, time.Second); sent != 100 {
		t.Errorf("%d of 100 requests", sent)
	}
}

// The requests sent before a limit was known were followed at once by the first ones within the
// limit, and both together exceeded it.
func TestFirstRequestAfterNewLimitWaits(t *testing.T) {
	b := newLimitedBalancer(1)
	b.sendFor(0, time.Second)
	b.SetLimit(b.in.Incarnation(), 1, now.Add(time.Second))
	if sent := b.sendFor(time.Second, time.Second); sent > 0 {
		t.Errorf("%d requests within a second of the limit of one a second", sent)
	}
	if sent := b.sendFor(2*time.Second, 10*time.Second); sent == 0 {
		t.Error("no request within the limit")
	}
}

// An entry without a quota never found out that a limit was lifted, so in a large fleet most
// entries never used the instance again.
func TestEveryEntryProbesALimit(t *testing.T) {
	const entries, number = 76, 16
	in := registry.Instance{ID: "few", Slots: 4}
	all := []registry.Instance{in}
	// After this number of rotations, every entry has had a quota.
	const rotation, rotations = 12600 * time.Millisecond, (entries + number - 1) / number
	for rank := range entries {
		b := balance.New(uint64(rank))
		b.SetLimit(in.Incarnation(), 4.5, now)
		w := balance.PickInfo{Entries: entries, Rank: rank}
		sent := false
		for at := time.Duration(0); at <= rotation*rotations && !sent; at += 100 * time.Millisecond {
			_, sent = b.Pick(all, w, now.Add(at))
		}
		if !sent {
			t.Errorf("entry %d sent no request", rank)
		}
	}
}

// Checks that the simulation detects wrong ways of sharing: with equal rates, or unshared, fifty
// entries must exceed the limit.
func TestLimitReplayRejectsOtherSharing(t *testing.T) {
	for _, how := range []sharing{equalRates, unshared} {
		most, _ := limitReplay{entries: 50, rate: 20, sharing: how}.simulate(1)
		if most <= limitAllowed {
			t.Errorf("%s: %d requests in a window pass", how, most)
		}
	}
}
