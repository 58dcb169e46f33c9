//go:build race

package fleet_test

// slowdown is how much longer the race detector lets the tests of large texts take: cutting
// and packing 8 MB takes 57 ms without it and more than a second with it.
const slowdown = 4
