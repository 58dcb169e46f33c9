package processes_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/shedrock/shedrock/internal/system/processes"
)

// A window of ports stays this process's own, whatever the collector does: two suites side
// by side had reached each other's processes.
func TestWindowOfPortsIsHeld(t *testing.T) {
	first := processes.Window()
	for range 3 {
		runtime.GC()
	}
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
	if err == nil {
		_ = l.Close()
		t.Error("another process could take this window")
	}
}
