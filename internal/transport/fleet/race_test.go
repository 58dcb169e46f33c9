//go:build race

package fleet_test

// slowdown is the factor by which the race detector slows the tests of large texts: splitting and
// compressing 8 MB takes 57 ms without it and more than a second with it.
const slowdown = 4
