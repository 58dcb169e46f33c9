// Package clocktest simulates suspensions of the machine for tests of code that uses package clock.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

// Machine simulates a machine that can be suspended. Create one with New. It replaces the clock of
// the whole process, so a test that uses one must not run in parallel with other tests of its
// package that depend on the clock.
type Machine struct{ suspended atomic.Int64 }

// New replaces the source of package clock until the test ends.
func New(t testing.TB) *Machine {
	m := &Machine{}
	began, before := time.Now(), clock.Elapsed()
	t.Cleanup(clock.Replace(func() time.Duration { return before + time.Since(began) + time.Duration(m.suspended.Load()) }))
	return m
}

// Suspend advances package clock by d without advancing Go's clock.
func (m *Machine) Suspend(d time.Duration) { m.suspended.Add(int64(d)) }
