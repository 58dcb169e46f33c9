package inbound

import (
	"io"
	"net/http"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// Transport limits the bodies of the responses of another transport. A body that is longer fails to read there.
type Transport struct {
	Base http.RoundTripper
	// MaxBody is the largest body in bytes.
	MaxBody int
	// Budget, when set, holds what is read of each body until that is closed, Weight times.
	Budget *Budget
	Weight int
}

// Limit returns a client whose responses have bodies of at most maxBody bytes, and bounded heads. Those of HTTP/1 are
// checked, see CheckHeads.
func Limit(client *http.Client, maxBody int) *http.Client {
	base := client.Transport
	if t, ok := base.(*http.Transport); ok {
		t.MaxResponseHeaderBytes = MaxHeadBytes
		if t.Protocols == nil {
			base = CheckHeads(t)
		}
	}
	client.Transport = &Transport{Base: base, MaxBody: maxBody}
	return client
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body := &limitedBody{ReadCloser: res.Body, limit: t.MaxBody, weight: max(t.Weight, 1)}
	body.hold = t.Budget.Hold(func() { _ = body.ReadCloser.Close() })
	res.Body = body
	return res, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// limitedBody is a body that may not be longer than its limit.
type limitedBody struct {
	io.ReadCloser
	limit, weight int
	hold          *Hold
	// read and counted are how many bytes were read, and for how many of them hold was grown.
	read, counted int
}

// Read reads a part of the body.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += n
	if b.read > b.limit {
		return 0, &exchange.LimitError{Part: "body", Limit: b.limit}
	}
	if b.read > b.counted+freeBytes {
		growErr := b.hold.Grow(b.weight * (b.read - b.counted))
		if growErr != nil {
			return 0, growErr
		}
		b.counted = b.read
	}
	return n, err
}

// Close closes the body, and gives back what it held.
func (b *limitedBody) Close() error {
	b.hold.Release()
	return b.ReadCloser.Close()
}
