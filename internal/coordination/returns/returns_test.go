package returns_test

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/returns"
)

const (
	minWait = 250 * time.Millisecond
	maxWait = 4 * time.Second
	// releases is the number of prompts a second for which room appears in lines of newLine.
	releases = 50
)

var start = time.Unix(1_000_000, 0)

func digest(n int) quarantine.Digest {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(n))
	return quarantine.DigestOf("", nil, number[:])
}

// newLine returns a line that has learned a steady rate of releases until start.
func newLine() *returns.Line {
	l := returns.New()
	for n := range 4 * releases {
		l.RecordRelease(promptTokens, start.Add(time.Duration(n-4*releases+1)*time.Second/releases))
	}
	return l
}

// Guards against a second burst: however many requests are refused at once, and also while no release
// is known, the returns of no half second may be many more than the room that appears in it.
func TestABurstComesBackSpread(t *testing.T) {
	for name, l := range map[string]*returns.Line{"known rate": newLine(), "unknown rate": returns.New()} {
		var waits []time.Duration
		for n := range 3 * releases {
			waits = append(waits, l.Refuse(digest(n), promptTokens, 1, maxWait, start))
		}
		slices.Sort(waits)
		if distinct := slices.Compact(slices.Clone(waits)); len(distinct) != len(waits) {
			t.Errorf("%s: two requests return at the same time", name)
		}
		for first := range waits {
			n := 0
			for _, w := range waits[first:] {
				if w < waits[first]+500*time.Millisecond {
					n++
				}
			}
			if n > releases/2+2 {
				t.Fatalf("%s: %d requests return in half a second from %v on", name, n, waits[first])
			}
		}
	}
}

// Guards against a second burst of the requests for which no room is expected in time.
func TestOverflowComesBackSpread(t *testing.T) {
	l := newLine()
	counts := map[time.Duration]int{}
	const refused = 20 * releases
	for n := range refused {
		counts[l.Refuse(digest(n), promptTokens, 1, maxWait, start).Truncate(500*time.Millisecond)]++
	}
	for from, n := range counts {
		if n > refused/3 {
			t.Errorf("%d of %d return in half a second from %v on", n, refused, from)
		}
	}
}

// Guards against less urgent or later requests that return first, and against a request that loses
// its place when it is refused again.
func TestOrderOfReturns(t *testing.T) {
	l := newLine()
	refuse := func(n, urgency int, at time.Duration) time.Duration {
		return at + l.Refuse(digest(n), 10*promptTokens, urgency, maxWait, start.Add(at))
	}
	var got []time.Duration
	for n := range 8 {
		got = append(got, refuse(n, 1, time.Duration(n)*time.Millisecond))
	}
	if !slices.IsSorted(got) {
		t.Errorf("later requests return first: %v", got)
	}
	if urgent := refuse(10, 0, 10*time.Millisecond); urgent >= got[1] {
		t.Errorf("a more urgent request returns after %v, and others after %v", urgent, got)
	}
	if later := refuse(11, 2, 10*time.Millisecond); later <= got[7] {
		t.Errorf("a less urgent request returns after %v, and others after %v", later, got)
	}
	if early := refuse(5, 1, 20*time.Millisecond); early != got[5] {
		t.Errorf("a request that came too early has %v instead of %v", early, got[5])
	}
	if again := refuse(0, 1, got[0]); again >= got[7] {
		t.Errorf("a request that was refused on its return comes back after %v, and later ones after %v", again, got)
	}
}

// Guards against waits that callers do not wait, or that are over before anything has changed.
func TestBoundsOfWaits(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		0: minWait, 100 * time.Millisecond: minWait, minWait: minWait, time.Second: time.Second, maxWait: maxWait, time.Minute: maxWait,
	} {
		for name, l := range map[string]*returns.Line{"known rate": newLine(), "unknown rate": returns.New()} {
			for n := range 1000 {
				if after := l.Refuse(digest(n), promptTokens, n%4, longest, start); after < minWait || after > want {
					t.Fatalf("%s: request %d gets %v of at most %v", name, n, after, want)
				}
			}
		}
	}
}

// Guards against unbounded memory: the least urgent newest requests are forgotten.
func TestBoundedNumberOfReturns(t *testing.T) {
	l := returns.New()
	for n := range 5000 {
		l.Refuse(digest(n), 1, n%2, maxWait, start.Add(time.Duration(n)*time.Microsecond))
	}
	held := map[int]int{}
	for n := range 5000 {
		if l.Due(digest(n), start.Add(maxWait)) {
			held[n%2]++
		}
	}
	// Those whose time was over dropAfter ago are not due any more.
	if held[0] <= held[1] {
		t.Errorf("held by urgency: %v", held)
	}
	if after := l.Refuse(digest(5000), 1, 0, maxWait, start); !l.Due(digest(5000), start.Add(after)) {
		t.Error("an urgent request is forgotten before less urgent ones")
	}
}

// Guards against room that is held for ever for callers that never return, or that is not held for
// those that do.
func TestReservedRoom(t *testing.T) {
	l := newLine()
	const never, served = 1, 2
	after := l.Refuse(digest(never), 100, 1, maxWait, start)
	at := start.Add(after)
	if due := start.Add(l.Refuse(digest(served), 1000, 2, maxWait, start)); !l.Due(digest(served), due) {
		t.Error("a request that returns at its time is not due")
	}
	type reserved struct{ MoreUrgent, Equal, LessUrgent int }
	look := func(when time.Duration) reserved {
		now := at.Add(when)
		return reserved{l.Reserved(0, now), l.Reserved(1, now), l.Reserved(2, now)}
	}
	got := []reserved{look(-220 * time.Millisecond), look(-100 * time.Millisecond)}
	l.Served(digest(served))
	got = append(got, look(0), look(150*time.Millisecond), look(300*time.Millisecond))
	want := []reserved{{}, {0, 100, 1100}, {0, 100, 100}, {0, 100, 100}, {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	due := func(when time.Duration) bool { return l.Due(digest(never), at.Add(when)) }
	if diff := cmp.Diff([]bool{false, true, true, false}, []bool{due(-220 * time.Millisecond), due(0), due(900 * time.Millisecond), due(1100 * time.Millisecond)}); diff != "" {
		t.Error(diff)
	}
	if l.Due(digest(served), at) || l.Due(digest(3), at) {
		t.Error("a request is due that was served or never refused")
	}
}

// The cost of a refusal while the line is full.
func BenchmarkRefuse(b *testing.B) {
	l := newLine()
	for n := range b.N {
		l.Refuse(digest(n), promptTokens, n%3, maxWait, start.Add(time.Duration(n)*time.Millisecond/2))
		l.Reserved(1, start.Add(time.Duration(n)*time.Millisecond/2))
	}
}
