package settings_test

import (
	"strings"
	"testing"

	"github.com/shedrock/shedrock/internal/mutate"
	"github.com/shedrock/shedrock/internal/settings"
)

// checkSettings holds any text to what holds for all: it reads as settings that can be used, or
// its error names the file and a line.
func checkSettings(t *testing.T, text []byte) {
	s, err := settings.Parse("f", text)
	if err != nil {
		if !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("%q: the error names no line: %v", text, err)
		}
		return
	}
	if s.Name == "" || s.Heartbeat() <= 0 || s.Grace() <= 0 || s.RetryWindow() <= 0 || s.Lease() < 0 || s.CatchUp() < 0 ||
		s.OldWeights() < 0 || s.Losses < 0 || s.RetrySlack < 0 || s.RetryRatio < 0 || s.MemoryMB <= 0 {
		t.Fatalf("%q reads as %+v", text, s)
	}
}

func TestSettingsTakeAnyText(t *testing.T) {
	const variants = 5000
	for text := range mutate.Variants(1, variants, valid, render(t, deploymentFigures())) {
		checkSettings(t, text)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(checkSettings)
}
