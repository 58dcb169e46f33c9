package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// limitedBoard is a board of one entry among some, with one instance that may name a limit.
type limitedBoard struct {
	*balance.Balancer
	in   registry.Instance
	wish balance.PickInfo
}

func newLimitedBoard(entries int) *limitedBoard {
	return &limitedBoard{Balancer: balance.New(1), in: registry.Instance{ID: "few", Slots: 4}, wish: balance.PickInfo{Entries: entries}}
}

// sendFor asks for an instance each 10 ms for some time, and returns how often there was one.
func (b *limitedBoard) sendFor(from, length time.Duration) (sent int) {
	all := []registry.Instance{b.in}
	for at := from; at < from+length; at += 10 * time.Millisecond {
		if _, ok := b.Pick(all, b.wish, now.Add(at)); ok {
			sent++
		}
	}
	return sent
}

// A limit was passed over whatever its number: one entry alone sends no more than it in the long run, and
// one request in ten seconds where that is less, which shows whether the limit still holds.
func TestOneEntryKeepsToALimit(t *testing.T) {
	const length = 200 * time.Second
	for _, c := range []struct {
		perSecond   float64
		least, most int
	}{
		{4.5, 600, 900}, {1, 150, 200}, {0.25, 40, 50}, {0.1, 10, 20}, {0, 10, 20}, {1e-12, 10, 20}, {1e300, 19000, 20000}, {math.MaxFloat64, 19000, 20000},
	} {
		b := newLimitedBoard(1)
		b.SetLimit(b.in.Incarnation(), c.perSecond, now)
		if sent := b.sendFor(0, length); sent < c.least || sent > c.most {
			t.Errorf("%g a second: %d requests in %s, expected %d to %d", c.perSecond, sent, length, c.least, c.most)
		}
	}
}

// An answer that was overtaken took back a limit that had just been named.
func TestLimitIsTakenBackByALaterRequestOnly(t *testing.T) {
	b := newLimitedBoard(1)
	of := b.in.Incarnation()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	got := []bool{
		b.ClearLimit(of, at(0)),
		b.SetLimit(of, 4, at(100)),
		b.SetLimit(of, 4, at(110)),
		b.ClearLimit(of, at(90)),
		b.Limit(of).Active,
		b.SetLimit(of, 2, at(120)),
		b.ClearLimit(of, at(130)),
		b.ClearLimit(of, at(140)),
		b.Limit(of).Active,
	}
	if diff := cmp.Diff([]bool{false, true, false, false, true, true, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// A limit that does not read took the place of the one that was known.
func TestUnreadableLimitLeavesTheKnownOne(t *testing.T) {
	b := newLimitedBoard(1)
	of := b.in.Incarnation()
	b.SetLimit(of, 4, now)
	got := []bool{b.MarkLimitUnreadable(of), b.MarkLimitUnreadable(of), b.Limit(of).Active, b.SetLimit(of, 4, now.Add(time.Second)), b.MarkLimitUnreadable(of)}
	if diff := cmp.Diff([]bool{true, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// A limit was forgotten with the load of an instance that is not used, as one that takes nothing is not.
func TestLimitOutlastsDisuse(t *testing.T) {
	b := newLimitedBoard(1)
	b.SetLimit(b.in.Incarnation(), 0, now)
	sent := 0
	for s := range 200 {
		// Lists are joined anew all the time.
		sent += b.sendFor(time.Duration(s)*time.Second, time.Second)
		b.Prune(now.Add(time.Duration(s-1) * time.Second))
	}
	if sent > 20 {
		t.Errorf("%d requests in 200 s to an instance that takes none", sent)
	}
}

// The next incarnation at an address was held to the limit of the one before.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	b := newLimitedBoard(8)
	b.SetLimit(b.in.Incarnation(), 0, now)
	b.in.Start = 1
	if sent := b.sendFor(0, time.Second); sent != 100 {
		t.Errorf("%d of 100 requests", sent)
	}
}

// All that had been sent freely until a limit was known came on top of the first requests within it.
func TestEntryThatIsToldWaitsFirst(t *testing.T) {
	b := newLimitedBoard(1)
	b.sendFor(0, time.Second)
	b.SetLimit(b.in.Incarnation(), 1, now.Add(time.Second))
	if sent := b.sendFor(time.Second, time.Second); sent > 0 {
		t.Errorf("%d requests within a second of the limit of one a second", sent)
	}
	if sent := b.sendFor(2*time.Second, 10*time.Second); sent == 0 {
		t.Error("no request within the limit")
	}
}

// An entry without a turn never learned that a limit was taken back, so most entries of a large fleet left
// the instance alone for good.
func TestEveryEntryLearnsThatALimitEnded(t *testing.T) {
	const entries, number = 76, 16
	in := registry.Instance{ID: "few", Slots: 4}
	all := []registry.Instance{in}
	// Every entry has had a turn once as many rotations are over as it takes to give each one.
	const rotation, rotations = 12600 * time.Millisecond, (entries + number - 1) / number
	for rank := range entries {
		b := balance.New(uint64(rank))
		b.SetLimit(in.Incarnation(), 4.5, now)
		w := balance.PickInfo{Entries: entries, Rank: rank}
		asked := false
		for at := time.Duration(0); at <= rotation*rotations && !asked; at += 100 * time.Millisecond {
			_, asked = b.Pick(all, w, now.Add(at))
		}
		if !asked {
			t.Errorf("entry %d asked for nothing", rank)
		}
	}
}

// What a replay must tell apart: with equal parts of the rate, or without sharing, fifty entries send more.
func TestLimitReplayRejectsOtherWays(t *testing.T) {
	for _, how := range []sharing{equally, notAtAll} {
		most, _ := limitReplay{entries: 50, rate: 20, sharing: how}.play(1)
		if most <= limitAllowed {
			t.Errorf("%s: %d requests in a window pass", how, most)
		}
	}
}
