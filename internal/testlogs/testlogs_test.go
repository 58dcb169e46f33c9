package testlogs_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/testlogs"
)

// Guards against logs that are cut: a failed test keeps all of each log, one file for each.
func TestWholeLogIsKept(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new")
	t.Setenv("SHEDROCK_TEST_LOGS", folder)
	long := string(make([]byte, 1<<20))
	for range 2 {
		testlogs.Keep(t, "e 1/x", long)
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, len(files)); diff != "" {
		t.Fatal(diff)
	}
	for _, f := range files {
		text, err := os.ReadFile(filepath.Join(folder, f.Name()))
		if err != nil || string(text) != long {
			t.Errorf("%s has %d bytes: %v", f.Name(), len(text), err)
		}
	}
}
