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

// An entry that starts must know all instances soon, no matter how many there are, even if all
// control instances send them over the same slow link and other entries start with it.
func TestLargeFleetIsKnownOverASlowLink(t *testing.T) {
	for _, test := range []struct{ times, entries int }{{1, 1}, {1, 8}, {2, 4}, {10, 1}} {
		t.Run(fmt.Sprintf("%d instances, %d entries", test.times*fleetSize, test.entries), func(t *testing.T) {
			testOnPipes(t, func(t *testing.T, network *pipeNetwork) {
				n := test.times * fleetSize
				controls := network.startControls(t, observedControls)
				storeInstances(t, controls, n)
				watch := startStopwatch(t)
				followers := network.startEntries(t, test.entries, controls)
				watch.awaitTransfer(t, n*observedControls*reportBytes, "all instances are known", followers, func(f *fleet.Follower) bool { return countInstances(f) == n })
			})
		})
	}
}

// An entry that starts must know the instances first, and then all parts of all stores, no matter
// how many parts there are.
func TestManyPartsAreKnownOverASlowLink(t *testing.T) {
	for _, test := range []struct{ times, entries int }{{1, 1}, {1, 4}, {2, 2}, {10, 1}} {
		t.Run(fmt.Sprintf("%d parts, %d entries", test.times*partsSize, test.entries), func(t *testing.T) {
			testOnPipes(t, func(t *testing.T, network *pipeNetwork) {
				controls := network.startControls(t, observedControls)
				storeInstances(t, controls, fleetSize)
				n := test.times * partsSize
				publishStores(controls[0], time.Minute, n)
				watch := startStopwatch(t)
				followers := network.startEntries(t, test.entries, controls)
				instances := fleetSize * observedControls * reportBytes
				watch.awaitTransfer(t, instances, "all instances are known", followers, func(f *fleet.Follower) bool { return countInstances(f) == fleetSize })
				watch.awaitTransfer(t, instances+2*n*partBytes, "all parts are known", followers, func(f *fleet.Follower) bool { return countParts(f) == n })
				for _, f := range followers {
					for s := range storeCount {
						want, got := partsOf(s, n/storeCount), f.View().Stores[storeAddress(s)].Parts
						if !maps.Equal(want, got) {
							t.Error(cmp.Diff(want, got))
						}
					}
				}
			})
		})
	}
}

// Guards against data races in the code of the tests above, which run on one thread under the race detector: entries
// catch up on many instances and parts on all processors, and again after all sources have restarted.
func TestCatchUpOnAllProcessors(t *testing.T) {
	const parts = partsSize / 20
	controls := startControls(t, observedControls)
	var followers []*fleet.Follower
	for i := range 4 {
		f := newEntry(i, addressesOf(controls))
		runFollower(t, f)
		followers = append(followers, f)
	}
	for run := 1; run <= 2; run++ {
		storeInstances(t, controls, run*fleetSize)
		publishStores(controls[0], time.Duration(run)*time.Minute, run*parts)
		await.Until(t, 2*time.Minute, fmt.Sprintf("all is known after start %d of the sources", run), func() bool {
			return !slices.ContainsFunc(followers, func(f *fleet.Follower) bool { return countInstances(f) != run*fleetSize || countParts(f) != run*parts })
		})
	}
}

// eventCounts counts the lines that a follower logs, by event.
type eventCounts struct {
	mu     sync.Mutex
	events map[string]int
}

func (l *eventCounts) Write(line []byte) (int, error) {
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

func (l *eventCounts) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[event]
}

// followLogged starts an entry that follows the sources at the given addresses.
func followLogged(t *testing.T, addresses ...string) (*fleet.Follower, *eventCounts) {
	t.Helper()
	f, logged := newLoggedFollower(addresses...)
	runFollower(t, f)
	return f, logged
}

// newLoggedFollower returns an entry that follows the sources at the given addresses once it is run.
func newLoggedFollower(addresses ...string) (*fleet.Follower, *eventCounts) {
	logged := &eventCounts{}
	return &fleet.Follower{
		Name: "e", Entry: true, Heartbeat: heartbeat, Log: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: logged}},
		Seeds: func() []string { return addresses }, Decode: decodeRoutes,
	}, logged
}

// serveSource serves a source and returns its address. before is called with the number of each
// poll, from 1, and reports whether to answer it.
func serveSource(t *testing.T, source *fleet.Source, before func(poll int64) bool) string {
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

// An entry that is still catching up on many instances must learn at once that one of them leaves.
func TestDepartureIsSentBeforeBacklog(t *testing.T) {
	const n = 4 * fleetSize
	controls := startControlsWithInstances(t, n)
	f, _ := followLogged(t, slowLink(t, controls)...)
	waitFor(t, "some instances are known", func() bool { return len(liveIDs(f)) > 0 })
	leaving := fleetInstance(n - 1)
	if !slices.Contains(liveIDs(f), leaving.ID) {
		t.Fatal("the newest instance was not sent first")
	}
	leaving.Leaving, leaving.Sequence = true, 2
	controls[0].source.Load().RecordHeartbeat(leaving)
	waitFor(t, "the leaving instance is gone", func() bool { return !slices.Contains(liveIDs(f), leaving.ID) })
	if got := len(liveIDs(f)); got >= n-1 {
		t.Errorf("all %d other instances were sent before the departure", got)
	}
}

// When all control instances restart, no instance may disappear before they have sent all instances
// again. Those not sent again must disappear then. One line is logged at the start and one at the
// end of the catch-up.
func TestRestartOfAllSourcesOfALargeFleet(t *testing.T) {
	testOnPipes(t, func(t *testing.T, network *pipeNetwork) {
		// Sending n instances takes longer than the grace period of instances that no source reports.
		const n = 2 * fleetSize
		controls := network.startControls(t, observedControls)
		storeInstances(t, controls, n)
		gone := instance("gone", 1)
		controls[0].source.Load().RecordHeartbeat(gone)
		f, logged := newLoggedFollower(addressesOf(controls)...)
		f.SetDial(network.slowDial(t.Context()))
		runFollower(t, f)
		waitFor(t, "all sources are caught up", func() bool { return logged.count("caught_up") == observedControls })
		if diff := cmp.Diff(n+1, countInstances(f)); diff != "" {
			t.Error(diff)
		}
		storeInstances(t, controls, n)
		waitFor(t, "all sources are caught up again", func() bool {
			if got := countInstances(f); got < n {
				t.Fatalf("only %d instances are known", got)
			}
			return logged.count("caught_up") == 2*observedControls
		})
		waitFor(t, "the instance that is not reported again is gone", func() bool { return !slices.Contains(liveIDs(f), gone.ID) })
		if diff := cmp.Diff(n, countInstances(f)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(2*observedControls, logged.count("catching_up")); diff != "" {
			t.Error(diff)
		}
	})
}

// removeEveryNth returns the parts without every nth one.
func removeEveryNth(parts map[keeping.Part]int, nth int) map[keeping.Part]int {
	out := maps.Clone(parts)
	i := 0
	for part := range parts {
		if i++; i%nth == 0 {
			delete(out, part)
		}
	}
	return out
}

// changingStore is a store whose contents change while a follower is catching up on them.
type changingStore struct {
	source *fleet.Source
	now    time.Duration
	parts  map[keeping.Part]int
	// lastStored holds the time at which each part was last in the store.
	lastStored map[keeping.Part]time.Duration
}

func (s *changingStore) publish(parts map[keeping.Part]int) {
	s.now += time.Second
	s.parts = parts
	for part := range parts {
		s.lastStored[part] = s.now
	}
	s.source.PublishStore("store", keeping.StoreContents{Until: s.now, FreeTokens: 100, Parts: maps.Clone(parts)})
}

// When stores change while an entry catches up on them in many answers, the entry must never
// announce a part for longer than the store kept it, and must know all parts in the end.
func TestStoresChangeDuringCatchUp(t *testing.T) {
	const n = 10_000
	store := &changingStore{source: fleet.NewSource(t.Context(), time.Hour, discardLogger), lastStored: map[keeping.Part]time.Duration{}}
	store.publish(partsOf(1, n))
	changes := map[int64]func(){
		4: func() { store.publish(removeEveryNth(store.parts, 100)) },
		5: func() { store.publish(removeEveryNth(store.parts, 2)) },
		6: func() {
			more := partsOf(2, 500)
			maps.Copy(more, store.parts)
			store.publish(more)
		},
		20: func() { store.source.ForgetStore("store") },
		21: func() { store.publish(partsOf(3, n)) },
		23: func() { store.publish(removeEveryNth(store.parts, 3)) },
	}
	var follower atomic.Pointer[fleet.Follower]
	var mu sync.Mutex
	changed := 0
	address := serveSource(t, store.source, func(poll int64) bool {
		mu.Lock()
		defer mu.Unlock()
		if f := follower.Load(); f != nil {
			seen := f.View().Stores["store"]
			for part := range seen.Parts {
				if seen.Until > store.lastStored[part] {
					t.Errorf("poll %d: %v is announced until %s, but was stored only until %s", poll, part, seen.Until, store.lastStored[part])
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
	waitFor(t, "the final contents are known", func() bool {
		mu.Lock()
		defer mu.Unlock()
		seen := f.View().Stores["store"]
		return changed == len(changes) && seen.Until == store.now && cmp.Equal(store.parts, seen.Parts)
	})
}

// The size of each answer must be limited, however much a poller lacks, and the next answer must
// continue from there. A poller that was away for so long that tombstones have expired must receive
// everything anew.
func TestAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The clock of a synctest bubble is that of package time.
		clocktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := fleet.NewSource(ctx, time.Hour, discardLogger)
		const mostBytes = 80 << 10
		// ask polls from the cursors of an answer until there is no more. It returns the last
		// answer, the parts and instances received, and the numbers of the answers that said that
		// they replace all earlier parts of the store.
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
					t.Errorf("an answer has %d bytes, more than the maximum", size)
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
		stored := partsOf(1, n)
		publish(stored)
		for i := range fleetSize {
			source.RecordHeartbeat(fleetInstance(i))
		}
		unpaged, err := source.Watch(ctx, &wire.FleetRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int{fleetSize, n}, []int{len(unpaged.Instances), len(unpaged.Stores[0].Parts)}); diff != "" || unpaged.More {
			t.Error("unpaged poll: ", diff)
		}
		first, parts, instances, whole := ask(nil)
		if diff := cmp.Diff(stored, parts); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]int{1}, whole); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(fleetSize, instances); diff != "" {
			t.Error(diff)
		}
		stored = removeEveryNth(stored, 4)
		publish(stored)
		second, parts, _, whole := ask(first)
		if diff := cmp.Diff(n/4, len(parts)); diff != "" || whole != nil {
			t.Error("poller that knew the removed parts: ", whole, diff)
		}
		time.Sleep(time.Minute)
		publish(stored)
		_, parts, _, _ = ask(second)
		if diff := cmp.Diff(0, len(parts)); diff != "" {
			t.Error("poller that received the removals: ", diff)
		}
		_, parts, _, whole = ask(first)
		if diff := cmp.Diff(stored, parts); diff != "" {
			t.Error("poller with an expired cursor: ", diff)
		}
		if diff := cmp.Diff([]int{1}, whole); diff != "" {
			t.Error(diff)
		}
	})
}

// A control instance that was unreachable for long must send the instances that only it knows
// again.
func TestLostSourceIsResynced(t *testing.T) {
	t.Parallel()
	near, far := fleet.NewSource(t.Context(), time.Hour, discardLogger), fleet.NewSource(t.Context(), time.Hour, discardLogger)
	far.RecordHeartbeat(instance("x", 1))
	var cut atomic.Bool
	f, _ := followLogged(t,
		serveSource(t, near, func(int64) bool { return true }),
		serveSource(t, far, func(int64) bool { return !cut.Load() }))
	waitFor(t, "x is known", func() bool { return len(liveIDs(f)) == 1 })
	cut.Store(true)
	await.Until(t, 30*time.Second, "x is dropped", func() bool { return len(liveIDs(f)) == 0 })
	cut.Store(false)
	waitFor(t, "x is known again", func() bool { return len(liveIDs(f)) == 1 })
}
