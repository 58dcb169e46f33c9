package replication_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random schedules, so that a verdict is the same
// each time, unless the flags say otherwise or the long mix runs.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if os.Getenv("SHEDROCK_SOAK") == "" {
		for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "20261202"} {
			if !given[name] {
				_ = flag.Set(name, value)
			}
		}
	}
	os.Exit(m.Run())
}
