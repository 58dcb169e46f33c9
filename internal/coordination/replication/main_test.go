package replication_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the number and the seed of the random schedules so that results are
// reproducible, unless they are set by flags or the soak test runs.
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
