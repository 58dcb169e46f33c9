package callerlimits_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

const (
	// defaultIdle stands for the default, and longIdle for a configured limit above it. Callers use connections that
	// have been idle for up to usedShare of the limit.
	defaultIdle = 500 * time.Millisecond
	longIdle    = 2 * time.Second
	usedShare   = 0.8
	// deliveryTime is how long answers may take over loopback.
	deliveryTime = 200 * time.Millisecond
	// closeMargin is how long after its limit an idle connection may last.
	closeMargin = 3 * time.Second
)

// Guards against an idle connection that is closed before the limit of a configuration that callers may go by.
func TestIdleConnectionsAreKeptAsConfigured(t *testing.T) {
	set := func(idle time.Duration) *deployment.Limits { return &deployment.Limits{IdleTimeout: idle} }
	for name, c := range map[string]struct {
		// before holds until the connection is idle, and while, if set, from a tenth of longIdle later.
		before, while *deployment.Limits
		// pending is whether a newer configuration is known meanwhile.
		pending bool
		// want is the limit that callers may go by.
		want time.Duration
	}{
		"none set":                           {before: set(0), want: defaultIdle},
		"below the default":                  {before: set(defaultIdle / 10), want: defaultIdle},
		"above the default":                  {before: set(longIdle), want: longIdle},
		"shorter while it is idle":           {before: set(longIdle), while: set(defaultIdle), want: longIdle},
		"longer while it is idle":            {before: set(0), while: set(longIdle), want: longIdle},
		"a newer configuration is not known": {before: set(0), pending: true, want: longIdle},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, *c.before, callerlimits.Defaults{IdleTimeout: defaultIdle, DeliveryTime: deliveryTime})
			f.pending.Store(c.pending)
			d := f.dial()
			if status := d.send(plainRequest); status != http.StatusOK {
				t.Fatalf("the first request was answered %d", status)
			}
			began := time.Now()
			if c.while != nil {
				time.Sleep(longIdle / 10)
				f.limits.Store(c.while)
			}
			time.Sleep(time.Until(began.Add(time.Duration(usedShare * float64(c.want)))))
			if status := d.send(plainRequest); status != http.StatusOK {
				t.Fatalf("a request after %s was answered %d", time.Since(began), status)
			}
		})
	}
}

// Guards against a limit that callers still go by, because it was in force a moment ago, and that is forgotten for
// connections which become idle after its end.
func TestIdleConnectionsAreKeptByTheConfigurationBefore(t *testing.T) {
	t.Parallel()
	f := newFixture(t, deployment.Limits{IdleTimeout: longIdle}, callerlimits.Defaults{IdleTimeout: defaultIdle, DeliveryTime: deliveryTime, FormerHold: time.Minute})
	d := f.dial()
	if status := d.send(plainRequest); status != http.StatusOK {
		t.Fatalf("the first request was answered %d", status)
	}
	f.limits.Store(&deployment.Limits{})
	// The second answer comes under the shorter limit.
	if status := d.send(plainRequest); status != http.StatusOK {
		t.Fatalf("the second request was answered %d", status)
	}
	time.Sleep(time.Duration(usedShare * float64(longIdle)))
	if status := d.send(plainRequest); status != http.StatusOK {
		t.Fatalf("the third request was answered %d", status)
	}
}

// Guards against idle connections that are kept for ever.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, deployment.Limits{IdleTimeout: 2 * defaultIdle}, callerlimits.Defaults{IdleTimeout: defaultIdle, DeliveryTime: deliveryTime})
	d := f.dial()
	if status := d.send(plainRequest); status != http.StatusOK {
		t.Fatalf("the first request was answered %d", status)
	}
	began := time.Now()
	_ = d.SetReadDeadline(began.Add(2*defaultIdle + closeMargin))
	_, err := d.Read(make([]byte, 1))
	if diff := cmp.Diff(io.EOF.Error(), err.Error()); diff != "" {
		t.Error(diff)
	}
	if lasted := time.Since(began); lasted < 2*defaultIdle {
		t.Errorf("closed after %s", lasted)
	}
}

// Guards against a request that is lost because this process had no processor time between its arrival and the end of
// the connection's time.
func TestRequestThatHasArrivedOutlivesTheIdleTimeout(t *testing.T) {
	t.Parallel()
	limiter := &callerlimits.Limiter{
		Limits: func() *deployment.Limits { return &deployment.Limits{} }, Pending: func() bool { return false },
		Defaults: callerlimits.Defaults{IdleTimeout: time.Millisecond, HeaderBytes: defaultHeaderBytes}, Metrics: callerlimits.NewMetrics(), Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	}
	server := &http.Server{}
	limiter.Configure(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := limiter.Listener(inner)
	defer func() { _ = l.Close() }()
	d, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	server.ConnState(accepted, http.StateIdle)
	_, err = io.WriteString(d, plainRequest)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(defaultIdle)
	got := make([]byte, len(plainRequest))
	_, err = io.ReadFull(accepted, got)
	if diff := cmp.Diff(plainRequest, string(got)); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
