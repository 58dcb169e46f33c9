// Package await lets tests wait for a condition instead of sleeping for a fixed time.
package await

import (
	"testing"
	"time"
)

// pollInterval is how often the condition is checked.
const pollInterval = 5 * time.Millisecond

// Until polls ok until it returns true, and fails the test if that takes longer than limit. what
// describes the condition in the failure message.
func Until(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.After(limit)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
