package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
)

// BenchmarkChooseInSilence measures the choice of an instance while all of a fleet are silent.
func BenchmarkChooseInSilence(b *testing.B) {
	for _, engines := range fleetSizes {
		all, loads := loaded(engines)
		b.Run(fmt.Sprint("among ", engines), func(b *testing.B) {
			balancer := balance.New(1)
			b.ReportAllocs()
			for _, in := range all {
				balancer.Begin(in, now)
			}
			at := now.Add(1500 * time.Millisecond)
			b.ResetTimer()
			for n := range b.N {
				balancer.Pick(all, promptInfo(n, 500, loads), at)
			}
		})
	}
}
