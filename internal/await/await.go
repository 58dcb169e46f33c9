// Package await lets tests wait for what they expect instead of for a time.
package await

import (
	"testing"
	"time"
)

// pace is how often it is looked whether what is waited for has come true.
const pace = 5 * time.Millisecond

// Until returns once ok does, and fails the test when it does not within limit.
func Until(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.After(limit)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}
