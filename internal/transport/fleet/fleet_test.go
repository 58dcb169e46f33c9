package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// heartbeat is so long that a poll which was under way at a restart ends before the source
// that it asked would call anybody silent.
const heartbeat = 400 * time.Millisecond

var quiet = &log.Logger{Level: log.PanicLevel}

// control is one source behind an address; it may be replaced, as by a restart.
type control struct {
	server *httptest.Server
	source atomic.Pointer[fleet.Source]
	// polls counts the polls, and texts how often the configuration's text was asked for.
	polls, texts atomic.Int64
	// mute makes it answer no question for the text.
	mute atomic.Bool
	t    *testing.T
}

func newControl(t *testing.T) *control {
	t.Helper()
	c := &control{t: t}
	c.restart()
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Configuration") {
			c.texts.Add(1)
			if c.mute.Load() {
				<-r.Context().Done()
				return
			}
		} else {
			c.polls.Add(1)
		}
		wire.NewFleetServer(c.source.Load()).ServeHTTP(w, r)
	}))
	t.Cleanup(c.server.Close)
	return c
}

func (c *control) restart() {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	c.source.Store(fleet.NewSource(ctx, heartbeat, quiet))
}

func (c *control) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *control) install(version uint64) {
	c.source.Load().Publish(ledger.Installed{Version: version, Text: []byte(strconv.FormatUint(version, 10))}, nil)
}

func instance(id string, sequence uint64) registry.Instance {
	return registry.Instance{ID: id, Service: "s", Address: "at " + id, Sequence: sequence}
}

// follow starts a follower of some sources whose configurations are bare numbers.
func follow(t *testing.T, controls ...*control) *fleet.Follower {
	t.Helper()
	return followAs(t, "e", controls...)
}

func followAs(t *testing.T, name string, controls ...*control) *fleet.Follower {
	t.Helper()
	f := &fleet.Follower{
		Name: name, Entry: true, Heartbeat: heartbeat, Log: quiet,
		Seeds: func() []string {
			var out []string
			for _, c := range controls {
				out = append(out, c.address())
			}
			return out
		},
		Decode: func(text []byte) (*deployment.Config, error) {
			version, err := strconv.ParseUint(string(text), 10, 64)
			return &deployment.Config{Version: version}, errors.Wrap(err, "decode")
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("never came true: " + what)
}

func live(f *fleet.Follower) []string {
	out := []string{}
	for _, in := range f.View().Instances["s"] {
		out = append(out, in.ID)
	}
	return out
}

// A configuration is in force at once, whichever source has it first, and an older one
// never follows.
func TestConfigurationOnlyRises(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.install(5)
	wait(t, "5 holds", func() bool { c := f.View().Config; return c != nil && c.Version == 5 })
	polls := b.polls.Load()
	b.install(3)
	b.source.Load().Hear(instance("x", 1))
	wait(t, "b was heard", func() bool { return b.polls.Load() > polls && len(live(f)) == 1 })
	if diff := cmp.Diff(uint64(5), f.View().Config.Version); diff != "" {
		t.Error(diff)
	}
}

// A configuration's text comes from one source, however many have it; one that does not
// give it is passed over.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	var controls []*control
	for range 5 {
		controls = append(controls, newControl(t))
	}
	f := follow(t, controls...)
	texts := func() (n int64) {
		for _, c := range controls {
			n += c.texts.Load()
		}
		return n
	}
	install := func(version uint64) {
		for _, c := range controls {
			c.install(version)
		}
		wait(t, "it holds", func() bool { c := f.View().Config; return c != nil && c.Version == version })
	}
	install(1)
	before := texts()
	for version := uint64(2); version < 12; version++ {
		install(version)
	}
	// One that told of a version before the last may be asked for nothing.
	if n := texts() - before; n > 15 {
		t.Errorf("10 configurations were asked for %d times", n)
	}
	controls[0].mute.Store(true)
	controls[1].mute.Store(true)
	began := time.Now()
	install(12)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %s", took)
	}
}

// One that lags, or knows less, is not asked over and over.
func TestLaggingSourceIsNotPolledInALoop(t *testing.T) {
	a, b := newControl(t), newControl(t)
	a.source.Load().Publish(ledger.Installed{Version: 2, Text: []byte("2")}, map[string]uint64{"m": 2})
	b.source.Load().Publish(ledger.Installed{Version: 1, Text: []byte("1")}, map[string]uint64{"m": 1})
	f := follow(t, a, b)
	wait(t, "the newest is known", func() bool { return f.View().Weights["m"] == 2 })
	before := b.polls.Load()
	a.install(3)
	wait(t, "a poll's time has passed", func() bool { return b.polls.Load() > before })
	if n := b.polls.Load(); n > before+5 {
		t.Errorf("%d polls", n-before)
	}
}

func TestLeavingReachesTheFollowerFromAnySource(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	a.source.Load().Hear(instance("x", 1))
	wait(t, "x lives", func() bool { return len(live(f)) == 1 })
	leaving := instance("x", 2)
	leaving.Leaving = true
	b.source.Load().Hear(leaving)
	wait(t, "x is gone", func() bool { return len(live(f)) == 0 })
}

// A source that comes back empty takes nothing away from those that go on reporting, and
// those that do not are gone after a few heartbeats.
func TestRestartedSource(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	a.source.Load().Hear(instance("x", 1))
	a.source.Load().Hear(instance("y", 1))
	wait(t, "both live", func() bool { return len(live(f)) == 2 })
	a.restart()
	a.source.Load().Hear(instance("x", 2))
	stop := make(chan struct{})
	go func() {
		for n := uint64(3); ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				a.source.Load().Hear(instance("x", n))
			}
		}
	}()
	defer close(stop)
	wait(t, "only x is left", func() bool {
		got := live(f)
		if len(got) == 0 || got[0] != "x" {
			t.Fatalf("x was forgotten: %v", got)
		}
		return len(got) == 1
	})
}

// A source that lost power knows the instances again at once, also one that is about to leave;
// those that do not report soon are gone sooner than if they had just been heard.
func TestInstancesAreRemembered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	live := func(id string, leaving bool) registry.Instance {
		in := instance(id, 5)
		in.Leaving = leaving
		return in
	}
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, quiet)
	first.Remember(life, path)
	first.Hear(live("x", false))
	first.Hear(live("y", true))
	wait(t, "it is written", func() bool { _, err := os.Stat(path); return err == nil })
	end()
	next := fleet.NewSource(t.Context(), heartbeat, quiet)
	next.Remember(t.Context(), path)
	told := func(since *wire.FleetResponse) (*wire.FleetResponse, map[string]string) {
		out, err := next.Watch(t.Context(), &wire.FleetRequest{Epoch: since.GetEpoch(), Change: since.GetChange(), WaitMilliseconds: 5000})
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]string{}
		for _, r := range out.Instances {
			got[r.Id] = fmt.Sprint(r.Leaving, r.Silent)
		}
		return out, got
	}
	began := time.Now()
	out, got := told(nil)
	if diff := cmp.Diff(map[string]string{"x": "false false", "y": "true false"}, got); diff != "" {
		t.Error(diff)
	}
	_, got = told(out)
	if diff := cmp.Diff(map[string]string{"x": "false true", "y": "true true"}, got); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(began); took > 4*heartbeat {
		t.Errorf("gone after %s", took)
	}
	next.Remember(t.Context(), filepath.Join(t.TempDir(), "none"))
	_ = os.WriteFile(path, []byte("no reports"), 0o600)
	fleet.NewSource(t.Context(), heartbeat, quiet).Remember(t.Context(), path)
}

// Parts of stores come as what changed, and the newest word on a store holds.
func TestKeptPartsAreTold(t *testing.T) {
	a, b := newControl(t), newControl(t)
	f := follow(t, a, b)
	part := func(id string) keeping.Part { return keeping.Part{Salt: "v1", ID: id} }
	publish := func(c *control, until time.Duration, parts map[keeping.Part]int) {
		c.source.Load().PublishStore("store", fleet.Kept{Until: until, Open: 100, Parts: parts})
	}
	holds := func(want map[keeping.Part]int) func() bool {
		return func() bool { return cmp.Equal(want, f.View().Stores["store"].Parts) }
	}
	publish(a, 1*time.Second, map[keeping.Part]int{part("p"): 10, part("q"): 20})
	wait(t, "both are known", holds(map[keeping.Part]int{part("p"): 10, part("q"): 20}))
	publish(a, 2*time.Second, map[keeping.Part]int{part("q"): 20, part("r"): 30})
	wait(t, "the change is known", holds(map[keeping.Part]int{part("q"): 20, part("r"): 30}))
	publish(b, 3*time.Second, map[keeping.Part]int{part("s"): 40})
	wait(t, "another leads now", holds(map[keeping.Part]int{part("s"): 40}))
	if diff := cmp.Diff(3*time.Second, f.View().Stores["store"].Until); diff != "" {
		t.Error(diff)
	}
}

// Each store has an end of its own, and one that is not part of the configuration any more
// is forgotten, so that its end does not move on.
func TestStoresHaveTheirOwnEnds(t *testing.T) {
	a := newControl(t)
	f := follow(t, a)
	source := a.source.Load()
	ends := func() map[string]time.Duration {
		out := map[string]time.Duration{}
		for address, kept := range f.View().Stores {
			out[address] = kept.Until
		}
		return out
	}
	publish := func(address string, until time.Duration) {
		source.PublishStore(address, fleet.Kept{Until: until, Parts: map[keeping.Part]int{{ID: "p"}: 1}})
	}
	publish("x", 5*time.Second)
	publish("y", 2*time.Second)
	publish("z", 3*time.Second)
	wait(t, "all are known", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 5 * time.Second, "y": 2 * time.Second, "z": 3 * time.Second}, ends())
	})
	source.ForgetStore("z")
	publish("x", 6*time.Second)
	wait(t, "one is forgotten, and one lags", func() bool {
		return cmp.Equal(map[string]time.Duration{"x": 6 * time.Second, "y": 2 * time.Second}, ends())
	})
	publish("z", 7*time.Second)
	wait(t, "it is back", func() bool { return ends()["z"] == 7*time.Second })
}

func TestEntriesAreCounted(t *testing.T) {
	a := newControl(t)
	first := follow(t, a)
	followAs(t, "other", a)
	wait(t, "two entries", func() bool { return first.View().Entries == 2 })
}
