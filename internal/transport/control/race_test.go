//go:build race

package control_test

// slowdown is how much longer replicas with large entries wait for one another under the race
// detector: to store and encode 8 MB takes some 100 ms without it, and beside other tests more
// than an election's 450 ms with it.
const slowdown = 4
