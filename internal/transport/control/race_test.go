//go:build race

package control_test

// slowdown is the factor by which ticks and time limits are longer under the race detector: to
// store and encode 8 MB takes about 100 ms without it, and with it, beside other tests, more than
// the election timeout of 450 ms.
const slowdown = 4
