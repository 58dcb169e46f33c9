package inbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Conn is a connection of an HTTP/1 client whose responses have their heads checked by a HeadReader.
type Conn struct {
	net.Conn
	heads *HeadReader
}

// Read reads some bytes.
func (c *Conn) Read(p []byte) (int, error) { return c.heads.Read(p) }

// CheckHeads returns a transport that fails requests whose responses have malformed heads, as HeadReader says. t must be
// for HTTP/1 without TLS, must have a DialContext, and may only be used through the result.
func CheckHeads(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		heads := NewHeadReader(c)
		// A server may answer before it is asked.
		heads.Expect()
		return &Conn{Conn: c, heads: heads}, nil
	}
	return headTransport{t}
}

// headTransport has the connection of each request expect a head.
type headTransport struct{ base *http.Transport }

func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		c.heads.Expect()
	}
}

// RoundTrip implements http.RoundTripper.
func (t headTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	// WithClientTrace adds the trace of the caller to the one that it is given, so each request has its own.
	trace := &httptrace.ClientTrace{GotConn: expectHead}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the idle connections of the transport.
func (t headTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
