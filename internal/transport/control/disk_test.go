package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/control"
)

const callTimeout = 20 * time.Second

// While the disk of a group of one is full, writes are refused and nothing of them is applied, and
// the status can still be read. Writes succeed again once there is space.
func TestFullDiskRefusesAndKeepsRunning(t *testing.T) {
	folder, recovered, ledger, err := control.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var full atomic.Bool
	folder.BeforeWrite = func() error {
		if full.Load() {
			return errors.New("no space left on device")
		}
		return nil
	}
	client := startAlone(t, &control.Replica{Folder: folder, RecoveredState: recovered, Ledger: ledger})
	apply := func(version int, callTimeout time.Duration) (*wire.ApplyResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		text := fmt.Sprintf("document: models\nversion: %d\nmodels: []\n", version)
		return client.Apply(ctx, "f", []byte(text))
	}
	if a, err := apply(1, callTimeout); err != nil || a.Revision != 1 {
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
	if a, err := apply(2, callTimeout); err != nil || a.Result != wire.ApplyResponse_ACCEPTED || a.Revision != 2 {
		t.Fatal(a, err)
	}
}
