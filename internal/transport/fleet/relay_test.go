package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// relayingControl is a control instance that relays what the others learn. It counts what it is sent.
type relayingControl struct {
	domain string
	server *httptest.Server
	source *fleet.Source
	follow context.CancelFunc
	// holds, if set, reports whether polls from a poller, by its name, are left unanswered.
	holds atomic.Pointer[func(poller string) bool]
	// lags, if set, returns by how long the answers to a poller, by its name, are delayed.
	lags atomic.Pointer[func(poller string) time.Duration]

	mu sync.Mutex
	// entryPolls counts the polls of each entry, and forwarded the reports of failures that other
	// control instances passed on. Both are guarded by mu.
	entryPolls map[string]int
	forwarded  int
}

func (c *relayingControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *relayingControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	poller := c.count(r.URL.Path, body)
	if holds := c.holds.Load(); holds != nil && (*holds)(poller) {
		<-r.Context().Done()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if lags := c.lags.Load(); lags != nil {
		w = &laggingWriter{w, (*lags)(poller)}
	}
	wire.NewFleetServer(c.source).ServeHTTP(w, r)
}

// laggingWriter sends a response some time after it was made.
type laggingWriter struct {
	http.ResponseWriter
	lag time.Duration
}

func (w *laggingWriter) WriteHeader(status int) {
	time.Sleep(w.lag)
	w.ResponseWriter.WriteHeader(status)
}

// count counts a call, and returns the name of the poller if it is a poll.
func (c *relayingControl) count(path string, body []byte) (poller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var poll wire.FleetRequest
	if strings.HasSuffix(path, "/Watch") && proto.Unmarshal(body, &poll) == nil && poll.Entry {
		c.entryPolls[poll.Name]++
	}
	var report wire.TellRequest
	if strings.HasSuffix(path, "/Tell") && proto.Unmarshal(body, &report) == nil && report.Forwarded {
		c.forwarded++
	}
	return poll.Name
}

// controlName is the name with which the control instance at an address polls the others.
func controlName(address string) string { return "control at " + address }

func (c *relayingControl) polledBy(entry string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryPolls[entry]
}

func (c *relayingControl) forwardedReports() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarded
}

// stop ends the control instance, as a kill does.
func (c *relayingControl) stop() {
	c.follow()
	c.server.CloseClientConnections()
	c.server.Close()
}

// startRelayingControls starts control instances that poll each other, spread over failure domains.
// Instances report to them at the given interval.
func startRelayingControls(t *testing.T, n, domains int, interval time.Duration) []*relayingControl {
	t.Helper()
	var controls []*relayingControl
	var list []fleet.ControlInstance
	for i := range n {
		c := &relayingControl{domain: fmt.Sprint("d", i%domains), entryPolls: map[string]int{}}
		c.source = fleet.NewSource(t.Context(), interval, discardLogger)
		c.server = httptest.NewServer(c)
		t.Cleanup(c.server.Close)
		controls = append(controls, c)
		list = append(list, fleet.ControlInstance{Address: c.address(), FailureDomain: c.domain})
	}
	for _, c := range controls {
		c.source.PublishControl(list)
		c.source.PublishLeader(true, "")
		f := &fleet.Follower{
			Name: controlName(c.address()), FailureDomain: c.domain, Heartbeat: interval, Log: discardLogger, Decode: decodeVersion,
			Seeds: c.source.Control, Relay: c.source, Address: c.address(), FailuresPending: c.source.ForwardPending(), TakeFailures: c.source.TakeForward,
		}
		c.follow = runFollower(t, f)
	}
	return controls
}

// startRelayedEntry starts an entry that knows one control instance.
func startRelayedEntry(t *testing.T, name, domain string, seed *relayingControl, tracker *ends.Tracker) *fleet.Follower {
	t.Helper()
	return startLoggingEntry(t, name, domain, seed, tracker, discardLogger)
}

func startLoggingEntry(t *testing.T, name, domain string, seed *relayingControl, tracker *ends.Tracker, logger *log.Logger) *fleet.Follower {
	t.Helper()
	f := &fleet.Follower{
		Name: name, Entry: true, FailureDomain: domain, Heartbeat: heartbeat, Ends: tracker, Log: logger, Decode: decodeVersion,
		Seeds: func() []string { return []string{seed.address()} },
	}
	runFollower(t, f)
	return f
}

// lossCounter is the log of an entry; it counts the sources that the entry has lost.
type lossCounter struct{ n atomic.Int64 }

func (c *lossCounter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":"control_lost"`)) {
		c.n.Add(1)
	}
	return len(line), nil
}

// settledPolls is the number of polls in which an entry that has settled polls all of its sources.
const settledPolls = 8

// sourcesOf returns the control instances that receive the next polls of an entry.
func sourcesOf(t *testing.T, entry string, controls []*relayingControl, polls int) []*relayingControl {
	t.Helper()
	total := func() (n int) {
		for _, c := range controls {
			n += c.polledBy(entry)
		}
		return n
	}
	before, totalBefore := map[*relayingControl]int{}, total()
	for _, c := range controls {
		before[c] = c.polledBy(entry)
	}
	await.Until(t, 20*time.Second, "the entry polls", func() bool { return total() >= totalBefore+polls })
	return slices.DeleteFunc(slices.Clone(controls), func(c *relayingControl) bool { return c.polledBy(entry) == before[c] })
}

// The work of a control instance must not grow with the number of all entries, nor that of an entry with
// the number of control instances: with 24 control instances and 985 entries that all polled each other,
// a start took two thirds of every entry's processor time. So each entry polls two sources, one of them in
// its own failure domain and one elsewhere, and still receives what any control instance learned.
func TestEntriesPollTwoSourcesHoweverManyThereAre(t *testing.T) {
	for _, n := range []int{4, 8, 16} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			controls := startRelayingControls(t, n, 4, time.Hour)
			var entries []*fleet.Follower
			losses := make([]lossCounter, 6)
			for i := range losses {
				logger := &log.Logger{Writer: log.IOWriter{Writer: &losses[i]}}
				entries = append(entries, startLoggingEntry(t, fmt.Sprint("e", i), fmt.Sprint("d", i%4), controls[i%n], nil, logger))
			}
			for i, c := range controls {
				c.source.RecordHeartbeat(instance(fmt.Sprint("i", i), 1))
			}
			for _, f := range entries {
				waitFor(t, "all instances are known", func() bool { return len(liveIDs(f)) == n })
			}
			var wg sync.WaitGroup
			for i := range entries {
				wg.Go(func() {
					name, domain := fmt.Sprint("e", i), fmt.Sprint("d", i%4)
					observe := func(polls int) (sources, local int) {
						for _, c := range sourcesOf(t, name, controls, polls) {
							sources++
							if c.domain == domain {
								local++
							}
						}
						return sources, local
					}
					// An entry that has just started changes its sources while it learns of the control instances.
					await.Until(t, time.Minute, "the entry settles on its sources", func() bool {
						sources, local := observe(settledPolls)
						return sources == 2 && local == 1
					})
					// One that has lost a source polls another one as well until the lost one answers again.
					await.Until(t, time.Minute, "the entry loses no source for a while", func() bool {
						before := losses[i].n.Load()
						sources, local := observe(3 * settledPolls)
						undisturbed := losses[i].n.Load() == before
						if undisturbed && (sources != 2 || local != 1) {
							t.Errorf("an entry of %s polls %d sources, %d of them of its own failure domain; expected 2 and 1", domain, sources, local)
						}
						return undisturbed
					})
				})
			}
			wg.Wait()
			controls[n-1].source.RecordDeparture(registry.Incarnation{ID: "i0"})
			for _, f := range entries {
				waitFor(t, "the departure is known", func() bool { return !slices.Contains(liveIDs(f), "i0") })
			}
		})
	}
}

// While one of its two sources is lost, an entry must learn of each change from the other one, and it must
// poll another source in place of the lost one without ever dropping an instance.
func TestLostRelayIsReplaced(t *testing.T) {
	controls := startRelayingControls(t, 5, 5, heartbeat)
	f := startRelayedEntry(t, "e", "d0", controls[0], nil)
	var reportsTo atomic.Pointer[[]*relayingControl]
	reportsTo.Store(&controls)
	go func() {
		ticker := time.NewTicker(heartbeat / 2)
		defer ticker.Stop()
		for sequence := uint64(1); t.Context().Err() == nil; sequence++ {
			to := *reportsTo.Load()
			for i := range 20 {
				to[i%len(to)].source.RecordHeartbeat(instance(fmt.Sprintf("i%02d", i), sequence))
			}
			<-ticker.C
		}
	}()
	waitFor(t, "all instances are known", func() bool { return len(liveIDs(f)) == 20 })
	sources := sourcesOf(t, "e", controls, settledPolls)
	lost := sources[slices.IndexFunc(sources, func(c *relayingControl) bool { return c != controls[0] })]
	rest := slices.DeleteFunc(slices.Clone(controls), func(c *relayingControl) bool { return c == lost })
	lost.stop()
	reportsTo.Store(&rest)
	waitFor(t, "the lost source is replaced", func() bool {
		if n := len(liveIDs(f)); n != 20 {
			t.Fatalf("%d instances are known, expected 20", n)
		}
		n := 0
		for _, c := range rest {
			if c.polledBy("e") > 0 {
				n++
			}
		}
		return n == 2
	})
	rest[3].source.RecordHeartbeat(instance("new", 1))
	waitFor(t, "a new instance is known", func() bool { return slices.Contains(liveIDs(f), "new") })
}

// What the leader alone knows, and what entries report to some control instance, must reach every entry:
// loads, stores with their age, busy instances, weights, and facts about ends.
func TestRelaysPassOnAllState(t *testing.T) {
	controls := startRelayingControls(t, 4, 4, time.Hour)
	newTracker := func() *ends.Tracker {
		return &ends.Tracker{Entries: func() int { return 2 }, Metrics: ends.NewMetrics(), Log: discardLogger}
	}
	trackers := []*ends.Tracker{newTracker(), newTracker()}
	entries := []*fleet.Follower{
		startRelayedEntry(t, "e0", "d0", controls[0], trackers[0]), startRelayedEntry(t, "e1", "d1", controls[1], trackers[1]),
	}
	leader := controls[3].source
	engine := registry.Incarnation{ID: "x", Start: 5}
	loads := map[registry.Incarnation]balance.EngineLoad{engine: {Waiting: 3, Used: 160}}
	leader.PublishLoads(loads, time.Second)
	leader.PublishBusy([]registry.Incarnation{engine})
	parts := map[keeping.Part]int{{Salt: "s", ID: "p"}: 100}
	leader.PublishStore("store", keeping.StoreContents{Until: time.Minute, FreeTokens: 7, OpenEpoch: 9, Parts: parts})
	for _, c := range controls {
		c.source.Publish(ledger.Installed{Version: 3, Text: []byte("3")}, map[string]uint64{"m": 2})
	}
	recordEnd(trackers[0], "x")
	for _, f := range entries {
		waitFor(t, "the loads are known", func() bool { return cmp.Equal(loads, f.View().Loads) })
		waitFor(t, "the busy instances are known", func() bool { return f.View().Busy[engine] })
		waitFor(t, "the store is known", func() bool {
			got := f.View().Stores["store"]
			return got.Until == time.Minute && got.FreeTokens == 7 && got.OpenEpoch == 9 && cmp.Equal(parts, got.Parts)
		})
		waitFor(t, "the configuration and the weights are in force", func() bool {
			return f.View().Config != nil && f.View().Config.Version == 3 && f.View().Weights["m"] == 2
		})
	}
	waitFor(t, "the end is known to both entries", func() bool {
		facts, _ := trackers[1].Snapshot()
		return slices.ContainsFunc(facts, func(f quarantine.Fact) bool { return f.Key() == trackerKey(trackers[0]) })
	})
	leader.PublishLoads(nil, 0)
	leader.PublishBusy(nil)
	leader.ForgetStore("store")
	for _, f := range entries {
		waitFor(t, "nothing is known of the leader any more", func() bool {
			v := f.View()
			return len(v.Loads) == 0 && len(v.Busy) == 0 && len(v.Stores) == 0
		})
	}
}

// trackerKey returns the key of a tracker's only fact.
func trackerKey(tracker *ends.Tracker) quarantine.Key {
	facts, _ := tracker.Snapshot()
	return facts[0].Key()
}

// Entries divide fleet-wide limits by their number and their ranks, so these must be those of all
// entries, whichever control instances each of them polls.
func TestRelayedEntriesHaveDistinctRanks(t *testing.T) {
	const n = 9
	controls := startRelayingControls(t, 6, 3, time.Hour)
	var entries []*fleet.Follower
	for i := range n {
		entries = append(entries, startRelayedEntry(t, fmt.Sprint("e", i), fmt.Sprint("d", i%3), controls[i%6], nil))
	}
	for i, f := range entries {
		waitFor(t, "the entry knows its rank among all", func() bool { return f.View().Entries == n && f.View().Rank == i })
	}
}

// Each control instance must count each failure that an entry reports once, whichever of them the entry
// reported it to.
func TestFailuresAreForwardedOnce(t *testing.T) {
	controls := startRelayingControls(t, 4, 4, time.Hour)
	failed := make(chan struct{}, 1)
	f := &fleet.Follower{
		Name: "e", Entry: true, FailureDomain: "d0", Heartbeat: heartbeat, Log: discardLogger, Decode: decodeVersion,
		Seeds: func() []string { return []string{controls[0].address()} }, FailuresPending: failed,
		TakeFailures: func() []suspects.Failures {
			return []suspects.Failures{{Target: registry.Incarnation{ID: "x"}, Service: "s", Count: 1, Teams: 1, Expected: 1, Instances: 1, AllTeams: 1}}
		},
	}
	runFollower(t, f)
	controls[2].source.RecordHeartbeat(instance("i", 1))
	waitFor(t, "the entry is relayed to", func() bool { return len(liveIDs(f)) == 1 })
	failed <- struct{}{}
	total := func() int {
		n := 0
		for _, c := range controls {
			n += c.forwardedReports()
		}
		return n
	}
	waitFor(t, "the failure is forwarded to all others", func() bool { return total() == len(controls)-1 })
	failed <- struct{}{}
	waitFor(t, "a second failure is forwarded", func() bool { return total() >= 2*(len(controls)-1) })
	if diff := cmp.Diff(2*(len(controls)-1), total()); diff != "" {
		t.Error("forwarded again: ", diff)
	}
}
