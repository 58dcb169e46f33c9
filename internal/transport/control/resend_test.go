package control_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// An operator who got no clear answer sends a configuration again, and an older one may come
// late. Neither goes through the log once more: a long text that took too long to commit would
// take as long each time, and would never be acknowledged.
func TestConfigurationThatHoldsIsNotLoggedAgain(t *testing.T) {
	path := t.TempDir()
	folder, restart, ledger, err := control.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	r := &control.Replica{
		ID: 1, Address: address, Peers: []control.Peer{{ID: 1, Address: address}}, Folder: folder, Restart: restart, Ledger: ledger,
		Listener: listener, Log: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
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
	logged := func() int64 {
		info, err := os.Stat(filepath.Join(path, "log"))
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	install := func(version uint64) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		if err := client.Install(ctx, version, bytes.Repeat([]byte("a route "), 100_000)); err != nil {
			t.Fatal(err)
		}
	}
	install(5)
	before := logged()
	install(5)
	install(4)
	if after := logged(); after != before {
		t.Errorf("the log grew by %d bytes", after-before)
	}
	reading, end := context.WithTimeout(t.Context(), patience)
	defer end()
	held, err := client.Installed(reading)
	if err != nil || held.Version != 5 || len(held.Text) != 800_000 {
		t.Errorf("version %d of %d bytes, %v", held.GetVersion(), len(held.GetText()), err)
	}
}
