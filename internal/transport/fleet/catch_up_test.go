package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// An entry that starts knows all instances soon however many there are, also when every
// control instance tells them over the same slow link, and when others start with it.
func TestLargeFleetIsKnownOverASlowLink(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ times, entries int }{{1, 1}, {1, 8}, {2, 4}, {10, 1}} {
		t.Run(fmt.Sprintf("%d instances, %d entries", test.times*fleetSize, test.entries), func(t *testing.T) {
			t.Parallel()
			n := test.times * fleetSize
			controls := startFleet(t, n)
			began := time.Now()
			followers := startEntries(t, test.entries, controls)
			for _, f := range followers {
				await.Until(t, knownWithin(n*controlSeen*reportBytes), "all instances are known", func() bool { return len(live(f)) == n })
			}
			t.Logf("known after %s", time.Since(began))
		})
	}
}

// An entry that starts knows the instances, and then all parts of all stores, however many
// parts there are.
func TestManyPartsAreKnownOverASlowLink(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ times, entries int }{{1, 1}, {1, 4}, {2, 2}, {10, 1}} {
		t.Run(fmt.Sprintf("%d parts, %d entries", test.times*partsSize, test.entries), func(t *testing.T) {
			t.Parallel()
			controls := startFleet(t, fleetSize)
			n := test.times * partsSize
			publishStores(controls[0], time.Minute, n)
			began := time.Now()
			followers := startEntries(t, test.entries, controls)
			instances := fleetSize * controlSeen * reportBytes
			for _, f := range followers {
				await.Until(t, knownWithin(instances), "all instances are known", func() bool { return len(live(f)) == fleetSize })
			}
			t.Logf("instances known after %s", time.Since(began))
			for _, f := range followers {
				await.Until(t, knownWithin(instances+2*n*partBytes), "all parts are known", func() bool { return partsKnown(f) == n })
				for s := range storeCount {
					want, got := partsOf(s, n/storeCount), f.View().Stores[storeAddress(s)].Parts
					if !maps.Equal(want, got) {
						t.Error(cmp.Diff(want, got))
					}
				}
			}
			t.Logf("parts known after %s", time.Since(began))
		})
	}
}

// lines counts the lines of each event that a follower logs.
type lines struct {
	mu     sync.Mutex
	events map[string]int
}

func (l *lines) Write(line []byte) (int, error) {
	var in struct{ Event string }
	err := json.Unmarshal(line, &in)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[string]int{}
	}
	l.events[in.Event]++
	return len(line), err
}

func (l *lines) of(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[event]
}

// followLogged starts an entry that follows some addresses.
func followLogged(t *testing.T, addresses ...string) (*fleet.Follower, *lines) {
	t.Helper()
	logged := &lines{}
	f := &fleet.Follower{
		Name: "e", Entry: true, Heartbeat: heartbeat, Log: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: logged}},
		Seeds: func() []string { return addresses }, Decode: decodeRoutes,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, logged
}

// serve returns the address of a source; before is called with the number of each poll, from
// 1, and reports whether to answer it.
func serve(t *testing.T, source *fleet.Source, before func(poll int64) bool) string {
	t.Helper()
	var polls atomic.Int64
	handler := wire.NewFleetServer(source)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Watch") && !before(polls.Add(1)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// An entry that still learns of many instances hears at once of one that leaves.
func TestLeavingIsToldBeforeABacklog(t *testing.T) {
	const n = 4 * fleetSize
	controls := startFleet(t, n)
	f, _ := followLogged(t, slowLink(t, controls)...)
	wait(t, "some are known", func() bool { return len(live(f)) > 0 })
	leaving := fleetInstance(n - 1)
	if !slices.Contains(live(f), leaving.ID) {
		t.Fatal("the newest is not known first")
	}
	leaving.Leaving, leaving.Sequence = true, 2
	controls[0].source.Load().RecordHeartbeat(leaving)
	wait(t, "it is gone", func() bool { return !slices.Contains(live(f), leaving.ID) })
	if got := len(live(f)); got >= n-1 {
		t.Errorf("all %d others were told before", got)
	}
}

// Control instances that all begin anew make nobody forget an instance before they have told
// everything again; what they do not tell is gone then. One line says when that begins and one
// when it ends.
func TestRestartOfAllSourcesOfALargeFleet(t *testing.T) {
	// n takes longer to tell than an instance that nobody vouches for is kept.
	const n = 2 * fleetSize
	controls := startFleet(t, n)
	gone := instance("gone", 1)
	controls[0].source.Load().RecordHeartbeat(gone)
	f, logged := followLogged(t, slowLink(t, controls)...)
	wait(t, "everything is told", func() bool { return logged.of("caught_up") == controlSeen })
	if diff := cmp.Diff(n+1, len(live(f))); diff != "" {
		t.Error(diff)
	}
	next := startFleet(t, n)
	for i, c := range controls {
		c.source.Store(next[i].source.Load())
	}
	wait(t, "everything is told again", func() bool {
		if got := len(live(f)); got < n {
			t.Fatalf("only %d are known", got)
		}
		return logged.of("caught_up") == 2*controlSeen
	})
	wait(t, "what is not told again is gone", func() bool { return !slices.Contains(live(f), gone.ID) })
	if diff := cmp.Diff(n, len(live(f))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(2*controlSeen, logged.of("catching_up")); diff != "" {
		t.Error(diff)
	}
}

// without returns parts but for each so many-th.
func without(parts map[keeping.Part]int, nth int) map[keeping.Part]int {
	out := maps.Clone(parts)
	i := 0
	for part := range parts {
		if i++; i%nth == 0 {
			delete(out, part)
		}
	}
	return out
}

// changingStore is a store whose content changes while a follower learns of it.
type changingStore struct {
	source *fleet.Source
	now    time.Duration
	kept   map[keeping.Part]int
	// last holds when each part was last kept.
	last map[keeping.Part]time.Duration
}

func (s *changingStore) publish(parts map[keeping.Part]int) {
	s.now += time.Second
	s.kept = parts
	for part := range parts {
		s.last[part] = s.now
	}
	s.source.PublishStore("store", keeping.StoreContents{Until: s.now, FreeTokens: 100, Parts: maps.Clone(parts)})
}

// Stores change while an entry learns of them in many answers: it never names a part for
// longer than the store kept it, and knows all in the end.
func TestStoresChangeWhileTheyAreTold(t *testing.T) {
	const n = 10_000
	store := &changingStore{source: fleet.NewSource(t.Context(), time.Hour, quiet), last: map[keeping.Part]time.Duration{}}
	store.publish(partsOf(1, n))
	changes := map[int64]func(){
		4: func() { store.publish(without(store.kept, 100)) },
		5: func() { store.publish(without(store.kept, 2)) },
		6: func() {
			more := partsOf(2, 500)
			maps.Copy(more, store.kept)
			store.publish(more)
		},
		20: func() { store.source.ForgetStore("store") },
		21: func() { store.publish(partsOf(3, n)) },
		23: func() { store.publish(without(store.kept, 3)) },
	}
	var follower atomic.Pointer[fleet.Follower]
	var mu sync.Mutex
	changed := 0
	address := serve(t, store.source, func(poll int64) bool {
		mu.Lock()
		defer mu.Unlock()
		if f := follower.Load(); f != nil {
			seen := f.View().Stores["store"]
			for part := range seen.Parts {
				if seen.Until > store.last[part] {
					t.Errorf("poll %d: %v is named until %s, and was kept until %s", poll, part, seen.Until, store.last[part])
					break
				}
			}
		}
		if change := changes[poll]; change != nil {
			change()
			changed++
		}
		return true
	})
	f, _ := followLogged(t, address)
	follower.Store(f)
	wait(t, "all is known in the end", func() bool {
		mu.Lock()
		defer mu.Unlock()
		seen := f.View().Stores["store"]
		return changed == len(changes) && seen.Until == store.now && cmp.Equal(store.kept, seen.Parts)
	})
}

// Each answer is bounded, however much a watcher lacks, and the next one goes on from there.
// One that was away for so long that what is gone was forgotten is told everything anew.
func TestAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The time of a bubble is Go's.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, time.Hour, quiet)
		const mostBytes = 80 << 10
		// ask follows the marks of an answer until there is no more; it returns the last
		// answer, the parts and instances that were told, and in which answer all before them
		// was said not to hold any more.
		ask := func(since *wire.FleetResponse) (out *wire.FleetResponse, parts map[keeping.Part]int, instances int, whole []int) {
			parts = map[keeping.Part]int{}
			out = since
			for answer := 1; ; answer++ {
				in := &wire.FleetRequest{
					Epoch: out.GetEpoch(), Change: out.GetChange(), Backlog: out.GetBacklog(),
					StoreChange: out.GetStoreChange(), StoreBacklog: out.GetStoreBacklog(), StoresUntil: out.GetStoresUntil(),
					Paged: true,
				}
				var err error
				out, err = source.Watch(ctx, in)
				if err != nil {
					t.Fatal(err)
				}
				if size := proto.Size(out); size > mostBytes {
					t.Errorf("an answer takes %d bytes", size)
				}
				instances += len(out.Instances)
				for _, store := range out.Stores {
					if store.Whole {
						whole = append(whole, answer)
					}
					for _, part := range store.Parts {
						parts[keeping.Part{Salt: part.Salt, ID: part.Id}] = int(part.Tokens)
					}
				}
				if !out.More {
					return out, parts, instances, whole
				}
			}
		}
		publish := func(parts map[keeping.Part]int) {
			source.PublishStore("store", keeping.StoreContents{Until: time.Second, Parts: parts})
		}
		const n = 5000
		kept := partsOf(1, n)
		publish(kept)
		for i := range fleetSize {
			source.RecordHeartbeat(fleetInstance(i))
		}
		unpaged, err := source.Watch(ctx, &wire.FleetRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int{fleetSize, n}, []int{len(unpaged.Instances), len(unpaged.Stores[0].Parts)}); diff != "" || unpaged.More {
			t.Error("who can't ask for the rest: ", diff)
		}
		first, parts, instances, whole := ask(nil)
		if diff := cmp.Diff(kept, parts); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]int{1}, whole); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(fleetSize, instances); diff != "" {
			t.Error(diff)
		}
		kept = without(kept, 4)
		publish(kept)
		second, parts, _, whole := ask(first)
		if diff := cmp.Diff(n/4, len(parts)); diff != "" || whole != nil {
			t.Error("who knew of it: ", whole, diff)
		}
		time.Sleep(time.Minute)
		publish(kept)
		_, parts, _, _ = ask(second)
		if diff := cmp.Diff(0, len(parts)); diff != "" {
			t.Error("who was told: ", diff)
		}
		_, parts, _, whole = ask(first)
		if diff := cmp.Diff(kept, parts); diff != "" {
			t.Error("who was away: ", diff)
		}
		if diff := cmp.Diff([]int{1}, whole); diff != "" {
			t.Error(diff)
		}
	})
}

// A control instance that was out of reach for long tells again of the instances that it alone
// hears.
func TestSourceThatWasLostTellsAgain(t *testing.T) {
	t.Parallel()
	near, far := fleet.NewSource(t.Context(), time.Hour, quiet), fleet.NewSource(t.Context(), time.Hour, quiet)
	far.RecordHeartbeat(instance("x", 1))
	var cut atomic.Bool
	f, _ := followLogged(t,
		serve(t, near, func(int64) bool { return true }),
		serve(t, far, func(int64) bool { return !cut.Load() }))
	wait(t, "x is known", func() bool { return len(live(f)) == 1 })
	cut.Store(true)
	await.Until(t, 30*time.Second, "x is forgotten", func() bool { return len(live(f)) == 0 })
	cut.Store(false)
	wait(t, "x is known again", func() bool { return len(live(f)) == 1 })
}
