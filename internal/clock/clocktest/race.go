//go:build race

package clocktest

const raceEnabled = true
