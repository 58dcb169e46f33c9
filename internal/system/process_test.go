// Package system_test runs the real processes on loopback, and kills, stops and
// cuts them.
package system_test

import (
	"net"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/system/processes"
)

const patience = 40 * time.Second

// TestMain builds the program once.
func TestMain(m *testing.M) { processes.Main(m) }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	await.Until(t, patience, what, ok)
}

// startStandin starts a stand-in and waits until it listens.
func startStandin(t *testing.T, kind, address string, args ...string) *processes.Process {
	t.Helper()
	p := processes.Start(t, append([]string{"standin", kind, "--address", address}, args...)...)
	eventually(t, "the stand-in listens", func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
	return p
}
