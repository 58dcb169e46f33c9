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
	folder.BeforeWrite = func() error {
		if full.Load() {
			return errors.New("no space left on device")
		}
		return nil
	}
	client := startAlone(t, &control.Replica{Folder: folder, RecoveredState: restart, Ledger: ledger})
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
