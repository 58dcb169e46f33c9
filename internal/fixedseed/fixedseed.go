// Package fixedseed makes the results of property tests reproducible, so that each run of CI has the same verdict.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Run runs the tests of a package with a fixed seed for its random draws, unless one is given by a flag or the
// soak runs. checks is the number of draws for each property, or 0 for the default.
func Run(m *testing.M, checks int) {
	flag.Parse()
	if os.Getenv("SHEDROCK_SOAK") == "" {
		given := map[string]bool{}
		flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
		set := func(name string, value int) {
			if given[name] {
				return
			}
			err := flag.Set(name, strconv.Itoa(value))
			if err != nil {
				panic(err)
			}
		}
		set("rapid.seed", 20261202)
		if checks > 0 {
			set("rapid.checks", checks)
		}
	}
	os.Exit(m.Run())
}
