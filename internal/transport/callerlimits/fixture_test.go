package callerlimits_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

const (
	// defaultHeaderBytes and defaultHeaderTimeout stand for the defaults.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 600 * time.Millisecond
)

// fixture is a server whose callers are limited.
type fixture struct {
	t       *testing.T
	limiter *callerlimits.Limiter
	limits  atomic.Pointer[deployment.Limits]
	pending atomic.Bool
	address string
	// wait is how long the handler waits before it answers; it is set before the first request.
	wait time.Duration
}

// newFixture serves with limits, and with a handler that reads the request's body.
func newFixture(t *testing.T, limits deployment.Limits, defaults callerlimits.Defaults) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.limits.Store(&limits)
	defaults.HeaderBytes, defaults.HeaderTimeout, defaults.BodyTimeout = defaultHeaderBytes, defaultHeaderTimeout, defaultHeaderTimeout
	f.limiter = &callerlimits.Limiter{
		Limits: f.limits.Load, Pending: f.pending.Load,
		Defaults: defaults, Metrics: callerlimits.NewMetrics(), Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(f.echo)}
	f.limiter.Configure(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.limiter.Run(ctx)
	}()
	go func() { _ = server.Serve(f.limiter.Listener(l)) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = server.Close()
	})
	return f
}

// echo answers with the body of a request.
func (f *fixture) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestTimeout)
		return
	}
	time.Sleep(f.wait)
	_, _ = w.Write(body)
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *caller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	err = c.SetDeadline(time.Now().Add(time.Minute))
	if err != nil {
		f.t.Fatal(err)
	}
	return &caller{c, bufio.NewReader(c)}
}

// send sends text, and returns the status of the answer, 0 if the connection ended without one.
func (c *caller) send(text string) int {
	_, err := io.WriteString(c, text)
	if err != nil {
		return 0
	}
	return c.status()
}

// status reads an answer to its end.
func (c *caller) status() int {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
