package upstream_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/upstream"
)

// Guards against a broken connection that cannot be told from a response: an entry whose connections were all reset counted its
// path as open, and failed its callers although another entry had one.
func TestBrokenConnectionIsToldFromAResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	for name, single := range map[string]bool{"pooled connection": false, "own connection": true} {
		t.Run(name, func(t *testing.T) {
			a := &exchange.Attempt{
				Request: &exchange.Request{ID: "r", Method: http.MethodPost, Target: "/"}, Single: single,
				Instance: registry.Instance{Address: listener.Addr().String()}, Run: "r-1", Number: 1,
			}
			broken, ok := upstream.New().Send(t.Context(), a).(exchange.Broken)
			if !ok {
				t.Fatal("not reported as broken")
			}
			if !exchange.ConnectionClosed(broken.Err) {
				t.Errorf("not reported as closed: %v", broken.Err)
			}
			if diff := cmp.Diff("the connection broke after the request was sent", broken.Err.Error()); diff != "" {
				t.Error("callers read another text: ", diff)
			}
		})
	}
}
