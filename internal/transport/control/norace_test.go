//go:build !race

package control_test

// slowdown is the factor by which ticks and time limits are longer; see race_test.go.
const slowdown = 1
