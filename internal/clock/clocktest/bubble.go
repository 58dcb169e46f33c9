package clocktest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Bubble runs a test in a synctest bubble, whose simulated time package clock follows.
//
// Under the race detector, all goroutines run on one thread meanwhile. The runtime gives all timers of a bubble one context
// of the race detector (bubble.timers.raceCtx in runtime/time.go) and enters it from whichever thread runs a timer. With two
// threads in it, the detector fails an internal check or crashes ("CHECK failed: tsan_rtl.cpp", "slot_locked", or a
// segmentation fault). Code that many timers drive is to be run on several threads by another test, without a bubble.
func Bubble(t *testing.T, test func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		previous := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(previous)
	}
	synctest.Test(t, func(t *testing.T) {
		New(t)
		test(t)
	})
}
