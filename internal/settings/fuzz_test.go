package settings_test

import (
	"strings"
	"testing"

	"github.com/shedrock/shedrock/internal/mutate"
	"github.com/shedrock/shedrock/internal/settings"
)

// checkParse checks that any text either parses as valid settings or gives an error that names the
// file and a line.
func checkParse(t *testing.T, text []byte) {
	s, err := settings.Parse("f", text)
	if err != nil {
		if !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("%q: error names no line: %v", text, err)
		}
		return
	}
	if s.Name == "" || s.Heartbeat() <= 0 || s.Grace() <= 0 || s.RetryWindow() <= 0 || s.Lease() < 0 || s.CatchUp() < 0 ||
		s.OldWeights() < 0 || s.Losses < 0 || s.RetrySlack < 0 || s.RetryRatio < 0 || s.MemoryMB <= 0 {
		t.Fatalf("%q parses as %+v", text, s)
	}
}

func TestParseMutatedInput(t *testing.T) {
	const variants = 5000
	for text := range mutate.Variants(1, variants, valid, render(t, deploymentValues())) {
		checkParse(t, text)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(checkParse)
}
