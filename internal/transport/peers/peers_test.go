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
	waitTimeout = 20 * time.Second
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	await.Until(t, waitTimeout, what, ok)
}

// member is an entry's Peers with a directory and a lender in memory.
type member struct {
	*peers.Peers
	mu    sync.Mutex
	notes map[prefix.Key]placement.Note
	// lent is the number of loans by team.
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
		LookUpHints: m.localHints,
		StoreNotes:  m.storeNotes,
		GrantLoan:   m.grantLoan,
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

func (m *member) localHints(keys []prefix.Key) *placement.Hints {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.notes[keys[len(keys)-1]]
	if !ok {
		return &placement.Hints{}
	}
	return &placement.Hints{Cached: []placement.CachedAt{{Upstream: n.Upstream, Blocks: n.Blocks}}}
}

func (m *member) storeNotes(notes []placement.Note) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range notes {
		m.notes[n.Key] = n
	}
}

func (m *member) grantLoan(team string, cost float64) limits.Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lent[team]++
	return limits.Loan{Tokens: cost}
}

func (m *member) noteCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.notes)
}

// hintsFor returns the hints that a prompt gets: the owner's, or this entry's if it is the owner.
func (m *member) hintsFor(keys []prefix.Key) *placement.Hints {
	if h := m.Hints(context.Background(), keys); h != nil {
		return h
	}
	return m.localHints(keys)
}

// startThree starts three entries in two failure domains and waits until they know each other.
func startThree(t *testing.T) []*member {
	t.Helper()
	first := start(t, "e1", "d1")
	seed := first.Listener.Addr().String()
	all := []*member{first, start(t, "e2", "d1", seed), start(t, "e3", "d2", seed)}
	eventually(t, "all entries know each other", func() bool {
		for _, m := range all {
			if m.LiveInRegion() != len(all) {
				return false
			}
		}
		return true
	})
	return all
}

// TestContextIsFoundFromEveryEntry sends notes on contexts from one entry. All entries must
// find these contexts, and each entry must own some but not all of them.
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
			eventually(t, "every entry finds the context", func() bool { return cmp.Diff(want, m.hintsFor(keys)) == "" })
		}
	}
	for i, m := range all {
		if n := m.noteCount(); n == 0 || n == contexts {
			t.Errorf("entry %d holds %d of %d contexts", i+1, n, contexts)
		}
	}
}

// TestPartitionsOfStoppedOwnerMove stops an entry. The remaining entry must take over its part
// of the directory, and until then get empty hints for it.
func TestPartitionsOfStoppedOwnerMove(t *testing.T) {
	first := start(t, "e1", "d1")
	second := start(t, "e2", "d1", first.Listener.Addr().String())
	eventually(t, "the entries know each other", func() bool { return first.LiveInRegion() == 2 && second.LiveInRegion() == 2 })
	second.stop()
	for i := range 30 {
		keys := []prefix.Key{{byte(i), 9}}
		if h := first.hintsFor(keys); len(h.Cached) != 0 {
			t.Fatalf("got hints that were never noted: %+v", h)
		}
		first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	}
	eventually(t, "the stopped entry is no longer live", func() bool { return first.LiveInRegion() == 1 })
	keys := []prefix.Key{{99, 9}}
	first.NotifyOwner(keys, placement.Note{Key: keys[0], Blocks: 1, Upstream: "u1"})
	if h := first.hintsFor(keys); len(h.Cached) != 1 {
		t.Fatal("the remaining entry does not own the whole directory")
	}
}

// TestRelayMovesWhenEntryLeaves checks that the entries of a failure domain agree on one relay,
// and on another one when it leaves.
func TestRelayMovesWhenEntryLeaves(t *testing.T) {
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
	eventually(t, "the remaining entry is the relay", func() bool {
		_, other := second.Relay()
		return !other
	})
}

// TestOneLenderForEachTeam makes every entry borrow for every team. All must borrow from the
// same entry, or a team's rate would be lent more than once.
func TestOneLenderForEachTeam(t *testing.T) {
	all := startThree(t)
	lenders := map[int]bool{}
	for n := range 20 {
		team := fmt.Sprint("team-", n)
		for _, m := range all {
			eventually(t, "the owner lends tokens", func() bool {
				loan, own, err := m.Borrow(context.Background(), team, 5)
				if own {
					loan = m.grantLoan(team, 5)
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
			t.Fatalf("%d entries lent for %s, want 1", lent, team)
		}
	}
	if len(lenders) == 1 {
		t.Fatal("one entry owns the limits of all teams")
	}
}
