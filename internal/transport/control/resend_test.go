package control_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/control"
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
	client := startAlone(t, &control.Replica{Folder: folder, RecoveredState: restart, Ledger: ledger})
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
