// Package upstream is the HTTP client for engines, stores and plain services.
//
// It never retries a request implicitly and never follows a redirect. By default
// net/http resends a request that carries an Idempotency-Key when a reused
// connection breaks, and posts a body again on 307 and 308. The first is prevented
// by using a new connection and a non-rewindable body for each request that must
// not be repeated, the second by a CheckRedirect that never follows.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/classify"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

const (
	dialTimeout        = 500 * time.Millisecond
	idleTimeout        = 90 * time.Second
	maxIdlePerUpstream = 64
	bufferBytes        = 2 << 10
)

// Client sends requests to upstreams. Create one with New. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; single opens a new connection for each request.
	pooled, single *http.Client
}

// New returns a Client with empty connection pools.
func New() *Client {
	return &Client{pooled: newHTTPClient(true), single: newHTTPClient(false)}
}

func newHTTPClient(keepAlive bool) *http.Client {
	dialer := netdial.Dialer(dialTimeout)
	return &http.Client{
		Transport: inbound.CheckHeads(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: c}, nil
			},
			DisableKeepAlives:      !keepAlive,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdlePerUpstream,
			IdleConnTimeout:        idleTimeout,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
			MaxResponseHeaderBytes: inbound.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a write that returns an error may still have sent bytes.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// HTTP returns the pooled client for idempotent requests whose outcome is not classified,
// such as load reports.
func (c *Client) HTTP() *http.Client { return c.pooled }

// Refuses reports whether the instance's address refuses TCP connections, as it does when no
// process listens there. A connection attempt that times out is not a refusal.
func (c *Client) Refuses(ctx context.Context, in registry.Instance) bool {
	conn, err := netdial.Dialer(dialTimeout).DialContext(ctx, "tcp", in.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// HasIdle reports whether a connection to an instance is free. The HTTP library does not tell, so it returns false.
func (c *Client) HasIdle(registry.Instance) bool { return false }

// Probe opens a new connection to an instance and returns nil if any response arrives on it, or a part of its head: that
// shows that the path works, and nothing of the instance. It requests the load; an instance that is no engine responds with an error.
func (c *Client) Probe(ctx context.Context, in registry.Instance) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.Address+engine.PathLoad, nil)
	if err != nil {
		return err
	}
	res, err := c.single.Do(req)
	if exchange.ReasonOf(err).HeadArrived() {
		return nil
	}
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// doOnce sends a request that must not be repeated.
func (c *Client) doOnce(req *http.Request, run string, attempt int) (*http.Response, classify.Exchange) {
	req.GetBody = nil
	if req.Body != nil {
		// Hides the body's concrete type so that net/http cannot rewind it either.
		req.Body = struct{ io.ReadCloser }{req.Body}
	}
	return send(c.single, req, run, attempt)
}

func send(client *http.Client, req *http.Request, run string, attempt int) (*http.Response, classify.Exchange) {
	x := classify.Exchange{Run: run, Attempt: attempt}
	var conn atomic.Pointer[countingConn]
	var before atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := info.Conn.(*inbound.Conn).Conn.(*countingConn)
		before.Store(c.written.Load())
		conn.Store(c)
	}}
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if c := conn.Load(); c != nil {
		x.Written = c.written.Load() - before.Load()
	}
	if err != nil {
		x.Err = err
		return nil, x
	}
	x.Status = res.StatusCode
	x.Header = res.Header
	return res, x
}
