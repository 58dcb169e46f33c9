package control_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// startAlone runs r, whose data folder is set, as the only replica of its group until the test
// ends, and returns a client for it.
func startAlone(t *testing.T, r *control.Replica) *controlclient.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.ID = 1
	r.Address = listener.Addr().String()
	r.Peers = []control.Peer{{ID: r.ID, Address: r.Address}}
	r.Listener = listener
	r.Log = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	r.Tick = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return controlclient.New(controlclient.StaticAddresses([]string{r.Address}))
}
