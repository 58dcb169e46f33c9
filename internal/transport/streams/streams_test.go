package streams_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/rpc"
	"github.com/shedrock/shedrock/internal/transport/streams"
)

var (
	quiet  = &log.Logger{Level: log.PanicLevel}
	first  = streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}
	second = streamorigin.Origin{Service: "s", SoftwareVersion: "v2"}
	one    = streamorigin.Versions{"v1": time.Unix(0, 0)}
	two    = streamorigin.Versions{"v1": time.Unix(0, 0), "v2": time.Unix(0, 0)}
)

// control is a control instance. calls counts the calls that it got.
type control struct {
	streams.Service
	address string
	calls   atomic.Int64
	// stop ends it with all its connections.
	stop func()
	// stuck, while it is set, holds its answers until the caller gives up.
	stuck atomic.Bool
}

// Share counts a call.
func (c *control) Share(ctx context.Context, in *wire.ShareRequest) (*wire.ShareResponse, error) {
	if err := c.called(ctx); err != nil {
		return nil, err
	}
	return c.Service.Share(ctx, in)
}

// Find counts a call.
func (c *control) Find(ctx context.Context, in *wire.FindStreamsRequest) (*wire.FindStreamsResponse, error) {
	if err := c.called(ctx); err != nil {
		return nil, err
	}
	return c.Service.Find(ctx, in)
}

func (c *control) called(ctx context.Context) error {
	c.calls.Add(1)
	if c.stuck.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

// deployment is some control instances, and what every process knows of the fleet.
type deployment struct {
	controls []*control
	versions atomic.Pointer[streamorigin.Versions]
	// recorded holds the versions that the control log holds; nil stands for those that are known. The last control
	// instance leads, unless leaderless is set.
	recorded   atomic.Pointer[[]string]
	leaderless atomic.Bool
}

// readRecorded reads the control log at a control instance.
func (d *deployment) readRecorded(c *control) (map[string][]string, error) {
	if d.leaderless.Load() || c != d.controls[len(d.controls)-1] {
		return nil, errors.New("this replica does not lead")
	}
	if recorded := d.recorded.Load(); recorded != nil {
		return map[string][]string{"s": *recorded}, nil
	}
	return map[string][]string{"s": slices.Sorted(maps.Keys(*d.versions.Load()))}, nil
}

func newDeployment(t *testing.T, controls int, versions streamorigin.Versions) *deployment {
	t.Helper()
	d := &deployment{}
	d.versions.Store(&versions)
	for range controls {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := &control{address: l.Addr().String()}
		c.View = func() *fleet.View { return d.view(nil) }
		c.Recorded = func(context.Context) (map[string][]string, error) { return d.readRecorded(c) }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			// It ends with the test.
			_ = rpc.Serve(ctx, l, wire.NewStreamsServer(c))
		}()
		c.stop = func() { cancel(); <-done }
		t.Cleanup(c.stop)
		d.controls = append(d.controls, c)
	}
	return d
}

// view returns the view of a process that knows some versions, or those of the deployment.
func (d *deployment) view(versions streamorigin.Versions) *fleet.View {
	if versions == nil {
		versions = *d.versions.Load()
	}
	v := &fleet.View{SoftwareVersions: map[string]streamorigin.Versions{"s": versions}, KnownAsOf: clock.Now()}
	for _, c := range d.controls {
		v.Replicas = append(v.Replicas, c.address)
	}
	return v
}

// entry returns the tracker of an entry that knows some versions, or those of the deployment.
func (d *deployment) entry(versions streamorigin.Versions) *streams.Tracker {
	return &streams.Tracker{View: func() *fleet.View { return d.view(versions) }, Metrics: streams.NewMetrics(), Log: quiet}
}

func (d *deployment) calls() (n int64) {
	for _, c := range d.controls {
		n += c.calls.Load()
	}
	return n
}

func record(n int, o streamorigin.Origin) streamorigin.Record {
	return streamorigin.Record{Key: streamorigin.KeyOf("team", fmt.Sprint(n)), Origin: o}
}

// age has an hour pass since the first use of trackers, of which the control instances told nothing.
func age(t *testing.T) {
	t.Helper()
	start := clock.Now()
	t.Cleanup(clock.Replace(func() time.Duration { return time.Since(start) + time.Hour }))
}

// resolvesTo waits until an entry knows where a stream began.
func resolvesTo(t *testing.T, e *streams.Tracker, r streamorigin.Record, want streamorigin.Source) {
	t.Helper()
	await.Until(t, 10*time.Second, fmt.Sprint("the origin is known by ", want), func() bool {
		o, from := e.Resolve(t.Context(), r.Key, "s")
		return from == want && (want == streamorigin.Unknown || o == r.Origin)
	})
}

// Guards against streams that another entry began and that cannot go on, with all control instances, without one, with
// one that does not answer, and in fleets with several.
func TestRecordIsFoundAtAnotherEntry(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(d *deployment)
	}{
		{"all answer", func(*deployment) {}},
		{"one is lost", func(d *deployment) { d.controls[0].stop() }},
		{"one does not answer", func(d *deployment) { d.controls[1].stuck.Store(true) }},
	} {
		for _, controls := range []int{3, 8} {
			t.Run(fmt.Sprint(c.name, ", ", controls), func(t *testing.T) {
				d := newDeployment(t, controls, two)
				a, b := d.entry(nil), d.entry(nil)
				for n := range 20 {
					a.Began(record(n, second))
				}
				resolvesTo(t, a, record(0, second), streamorigin.OwnRecord)
				c.trouble(d)
				for n := range 20 {
					resolvesTo(t, b, record(n, second), streamorigin.SharedRecord)
				}
			})
		}
	}
}

// Guards against a caller that waits, or a guess, while no control instance answers.
func TestUnknownOriginIsSoonKnownToBeSo(t *testing.T) {
	d := newDeployment(t, 3, two)
	for _, c := range d.controls {
		c.stuck.Store(true)
	}
	began := time.Now()
	_, from := d.entry(nil).Resolve(t.Context(), record(1, first).Key, "s")
	if took := time.Since(began); from != streamorigin.Unknown || took > time.Second {
		t.Errorf("%s after %s", from, took)
	}
}

// Guards against calls and delay while a service has one version.
func TestOneVersionNeedsNoCalls(t *testing.T) {
	d := newDeployment(t, 3, one)
	a, b := d.entry(nil), d.entry(nil)
	a.Began(record(1, first))
	b.Began(record(2, first))
	age(t)
	resolvesTo(t, b, record(1, first), streamorigin.SoleVersion)
	if n := d.calls(); n > 0 {
		t.Errorf("%d calls", n)
	}
}

// Guards against an entry that has just started, or has heard nothing for a while, and takes the only version that it
// knows for the only one there is.
func TestOneVersionIsAskedForByANewEntry(t *testing.T) {
	d := newDeployment(t, 3, one)
	resolvesTo(t, d.entry(nil), record(1, first), streamorigin.SoleVersion)
	if d.calls() == 0 {
		t.Error("no control instance was asked")
	}
	d.versions.Store(&two)
	resolvesTo(t, d.entry(one), record(1, first), streamorigin.Unknown)
	d.versions.Store(&one)
	d.controls[0].stop()
	resolvesTo(t, d.entry(nil), record(1, first), streamorigin.SoleVersion)
	d.controls[1].stop()
	resolvesTo(t, d.entry(nil), record(1, first), streamorigin.Unknown)
}

// Guards against control instances that have all just started, each of which takes the version that it has
// received first for the only one: only the control log shows that streams began at no other.
func TestOneVersionNeedsTheControlLog(t *testing.T) {
	cases := []struct {
		name       string
		recorded   []string
		leaderless bool
		want       streamorigin.Source
	}{
		{"one is recorded", []string{"v1"}, false, streamorigin.SoleVersion},
		{"two are recorded", []string{"v1", "v2"}, false, streamorigin.Unknown},
		{"another one is recorded", []string{"v2"}, false, streamorigin.Unknown},
		{"none is recorded", []string{}, false, streamorigin.Unknown},
		{"no leader", nil, true, streamorigin.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 3, one)
			d.leaderless.Store(c.leaderless)
			if c.recorded != nil {
				d.recorded.Store(&c.recorded)
			}
			_, from := d.entry(nil).Resolve(t.Context(), record(1, first).Key, "s")
			if diff := cmp.Diff(c.want, from); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against streams that began while there was one version, and cannot go on once there is a second.
func TestEarlierOriginsAreSharedAtTheSecondVersion(t *testing.T) {
	d := newDeployment(t, 3, one)
	a, b := d.entry(nil), d.entry(nil)
	for n := range 100 {
		a.Began(record(n, first))
	}
	if n := d.calls(); n > 0 {
		t.Errorf("%d calls with one version", n)
	}
	d.versions.Store(&two)
	a.ShareAll("s")
	for n := range 100 {
		resolvesTo(t, b, record(n, first), streamorigin.SharedRecord)
	}
}

// Guards against malformed calls that end a control instance or are taken.
func TestMalformedKeysAreRefused(t *testing.T) {
	var s streams.Service
	s.View = func() *fleet.View { return &fleet.View{} }
	_, shareErr := s.Share(t.Context(), &wire.ShareRequest{Origins: []*wire.StreamOrigin{{Service: "s", Keys: make([]byte, 17)}}})
	_, findErr := s.Find(t.Context(), &wire.FindStreamsRequest{Keys: make([]byte, 15)})
	if shareErr == nil || findErr == nil {
		t.Error(shareErr, findErr)
	}
	out, err := s.Find(t.Context(), &wire.FindStreamsRequest{Services: []string{"unheard"}})
	if err != nil || len(out.Origins) != 0 {
		t.Error(out, err)
	}
	if diff := cmp.Diff(1, len(out.Versions)); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkBegan is what a stream costs its entry: with one version, and with two, at which its record is sent to two
// control instances in this process.
func BenchmarkBegan(b *testing.B) {
	for name, versions := range map[string]streamorigin.Versions{"one version": one, "two versions": two} {
		b.Run(name, func(b *testing.B) {
			v := &fleet.View{SoftwareVersions: map[string]streamorigin.Versions{"s": versions}}
			e := &streams.Tracker{View: func() *fleet.View { return v }, Metrics: streams.NewMetrics(), Log: quiet}
			for n := range b.N {
				e.Began(record(n, first))
			}
		})
	}
}

// BenchmarkShare is what a control instance does for a message with 8 records.
func BenchmarkShare(b *testing.B) {
	s := streams.Service{View: func() *fleet.View { return &fleet.View{} }}
	for n := range b.N {
		var records []streamorigin.Record
		for i := range 8 {
			records = append(records, record(8*n+i, first))
		}
		_, err := s.Share(b.Context(), &wire.ShareRequest{Origins: wire.FromOrigins(records)})
		if err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against streams that cannot go on because all control instances were killed: records outlast a restart, and what
// was cut off when the process ended does not hide those before it.
func TestRecordsOutlastARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "streams")
	start := func() (s *streams.Service, end func()) {
		ctx, cancel := context.WithCancel(context.Background())
		s = &streams.Service{View: func() *fleet.View { return &fleet.View{} }}
		s.Persist(ctx, path, quiet)
		return s, cancel
	}
	find := func(s *streams.Service, n int) int {
		key := record(n, second).Key
		out, err := s.Find(t.Context(), &wire.FindStreamsRequest{Keys: key[:]})
		if err != nil {
			t.Fatal(err)
		}
		return len(out.Origins)
	}
	s, end := start()
	for n := range 3 {
		if _, err := s.Share(t.Context(), &wire.ShareRequest{Origins: wire.FromOrigins([]streamorigin.Record{record(n, second)})}); err != nil {
			t.Fatal(err)
		}
	}
	end()
	for restart := range 3 {
		s, end = start()
		if diff := cmp.Diff([]int{1, 1, 1, 0}, []int{find(s, 0), find(s, 1), find(s, 2), find(s, 3)}); diff != "" {
			t.Errorf("after restart %d: %s", restart, diff)
		}
		end()
	}
	s, end = start()
	if _, err := s.Share(t.Context(), &wire.ShareRequest{Origins: wire.FromOrigins([]streamorigin.Record{record(3, second)})}); err != nil {
		t.Fatal(err)
	}
	end()
	for _, name := range []string{path + ".0", path + ".1"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, text[:max(0, len(text)-1)], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, end = start()
	defer end()
	if diff := cmp.Diff([]int{1, 1, 1, 0}, []int{find(s, 0), find(s, 1), find(s, 2), find(s, 3)}); diff != "" {
		t.Error("after the last record was cut off: ", diff)
	}
}
