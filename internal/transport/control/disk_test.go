package control_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

const patience = 20 * time.Second

// TestFullDiskRefusesAndKeepsRunning fills the disk of a group of one: writes are
// refused without being lost or half done, reads of status go on, and when there is
// space again, so do writes.
func TestFullDiskRefusesAndKeepsRunning(t *testing.T) {
	folder, restart, ledger, err := control.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var full atomic.Bool
	folder.Before = func() error {
		if full.Load() {
			return errors.New("no space left on device")
		}
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	r := &control.Replica{
		ID: 1, Address: address, Peers: []control.Peer{{ID: 1, Address: address}}, Folder: folder, Restart: restart, Ledger: ledger,
		Listener: listener, Log: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}, Tick: 10 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	client := controlclient.New(controlclient.Fixed([]string{address}))
	apply := func(version int, patience time.Duration) (*wire.ApplyResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		text := fmt.Sprintf("document: models\nversion: %d\nmodels: []\n", version)
		return client.Apply(ctx, "f", []byte(text))
	}
	if a, err := apply(1, patience); err != nil || a.Revision != 1 {
		t.Fatal(a, err)
	}
	full.Store(true)
	if a, err := apply(2, 300*time.Millisecond); err == nil {
		t.Fatalf("accepted onto a full disk: %v", a)
	}
	status := client.Status(context.Background())
	if len(status) != 1 || status[0].Refusing == "" || status[0].Revision != 1 {
		t.Fatalf("status: %v", status)
	}
	full.Store(false)
	if a, err := apply(2, patience); err != nil || a.Result != wire.ApplyResponse_ACCEPTED || a.Revision != 2 {
		t.Fatal(a, err)
	}
}
