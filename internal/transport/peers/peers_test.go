package peers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/peers"
)

const (
	patience = 20 * time.Second
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	await.Until(t, patience, what, ok)
}

// member is one entry's part with a directory of its own.
type member struct {
	*peers.Peers
	mu    sync.Mutex
	notes map[prefix.Key]placement.Note
	// lent counts the loans of each team.
	lent map[string]int
	stop context.CancelFunc
}

func start(t *testing.T, name, domain string, seeds ...string) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{notes: map[prefix.Key]placement.Note{}, lent: map[string]int{}}
	quiet := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	m.Peers = &peers.Peers{
		Name: name, FailureDomain: domain, Listener: listener, Seeds: seeds, Feed: feed.New(), Interval: 20 * time.Millisecond,
		Log:         quiet,
		Ends:        &ends.Tracker{Entries: func() int { return 1 }, NoStartTimes: true, Metrics: ends.NewMetrics(), Log: quiet},
		LookUpHints: m.find,
		StoreNotes:  m.apply,
		GrantLoan:   m.lend,
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func (m *member) find(keys []prefix.Key) *placement.Hints {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.notes[keys[len(keys)-1]]
	if !ok {
		return &placement.Hints{}
	}
	return &placement.Hints{Cached: []placement.CachedAt{{Upstream: n.Upstream, Blocks: n.Blocks}}}
}

func (m *member) apply(notes []placement.Note) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range notes {
		m.notes[n.Key] = n
	}
}

func (m *member) lend(team string, cost float64) limits.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lent[team]++
	return limits.Loan{Tokens: cost}
}

func (m *member) held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.notes)
}

// lookUp asks as a prompt does: the owner, or this entry's own part.
func (m *member) lookUp(keys []prefix.Key) *placement.Hints {
	if h := m.Hints(context.Background(), keys); h != nil {
		return h
	}
	return m.find(keys)
}

// startThree starts three entries in two failure domains, which know each other.
func startThree(t *testing.T) []*member {
	t.Helper()
	first := start(t, "e1", "d1")
	seed := first.Listener.Addr().String()
	all := []*member{first, start(t, "e2", "d1", seed), start(t, "e3", "d2", seed)}
	eventually(t, "all know all", func() bool {
		for _, m := range all {
			if m.LiveInRegion() != len(all) {
				return false
			}
		}
		return true
	})
	return all
}

// TestContextIsFoundFromEveryEntry notes contexts at one entry, and asks for them at
// all others.
func TestContextIsFoundFromEveryEntry(t *testing.T) {
	all := startThree(t)
	const contexts = 30
	for i := range contexts {
		keys := []prefix.Key{{byte(i), 7}}
		all[0].NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	}
	want := &placement.Hints{Cached: []placement.CachedAt{{Upstream: "u1", Blocks: 1}}}
	for i := range contexts {
		for _, m := range all {
			keys := []prefix.Key{{byte(i), 7}}
			eventually(t, "the context is found", func() bool { return cmp.Diff(want, m.lookUp(keys)) == "" })
		}
	}
	for i, m := range all {
		if n := m.held(); n == 0 || n == contexts {
			t.Errorf("entry %d holds %d of %d contexts", i+1, n, contexts)
		}
	}
}

// TestDeadOwnerIsDoneWithout stops an entry: its part goes to the others, and until
// then nobody waits for it.
func TestDeadOwnerIsDoneWithout(t *testing.T) {
	first := start(t, "e1", "d1")
	second := start(t, "e2", "d1", first.Listener.Addr().String())
	eventually(t, "both know both", func() bool { return first.LiveInRegion() == 2 && second.LiveInRegion() == 2 })
	second.stop()
	for i := range 30 {
		keys := []prefix.Key{{byte(i), 9}}
		if h := first.lookUp(keys); len(h.Cached) != 0 {
			t.Fatalf("hints from nowhere: %+v", h)
		}
		first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	}
	eventually(t, "the dead entry is no longer counted", func() bool { return first.LiveInRegion() == 1 })
	keys := []prefix.Key{{99, 9}}
	first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	if h := first.lookUp(keys); len(h.Cached) != 1 {
		t.Fatal("the remaining entry does not own what is left")
	}
}

// TestRelayPassesOn checks that a domain agrees on one relay, and finds another
// when it leaves.
func TestRelayPassesOn(t *testing.T) {
	first := start(t, "e1", "d1")
	seed := first.Listener.Addr().String()
	second, far := start(t, "e2", "d1", seed), start(t, "e3", "d2", seed)
	eventually(t, "each domain has its relay", func() bool {
		address, other := second.Relay()
		_, own := first.Relay()
		_, farOther := far.Relay()
		return other && address == seed && !own && !farOther && far.LiveInRegion() == 3
	})
	first.Leave()
	eventually(t, "the next one relays", func() bool {
		_, other := second.Relay()
		return !other
	})
}

// TestOneLenderForEachTeam has every entry borrow for every team: all must borrow from
// the same one, or a team's rate would be lent more than once.
func TestOneLenderForEachTeam(t *testing.T) {
	all := startThree(t)
	lenders := map[int]bool{}
	for n := range 20 {
		team := fmt.Sprint("team-", n)
		for _, m := range all {
			eventually(t, "the owner lends", func() bool {
				loan, own, err := m.Borrow(context.Background(), team, 5)
				if own {
					loan = m.lend(team, 5)
				}
				return err == nil && loan.Tokens == 5
			})
		}
		lent := 0
		for i, m := range all {
			m.mu.Lock()
			if m.lent[team] > 0 {
				lent++
				lenders[i] = true
			}
			m.mu.Unlock()
		}
		if lent != 1 {
			t.Fatalf("%d entries lent for %s", lent, team)
		}
	}
	if len(lenders) == 1 {
		t.Fatal("one entry lends for all teams")
	}
}
