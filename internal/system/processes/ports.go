package processes

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	// FirstPort and the windows stay below the ports that systems give to outgoing
	// connections, so that none of those takes an address between its choice and its
	// use, or while a process is restarted.
	FirstPort   = 12000
	portWindows = 90
	// WindowPorts is how many ports a window has.
	WindowPorts = 200
)

// portWindow is a range of ports.
type portWindow struct {
	first int
	// hold is the listener on the first port. It must stay referenced: a listener that nobody
	// refers to is closed by its finalizer, and another test process then takes the window.
	hold net.Listener
}

var ownWindow = sync.OnceValue(func() portWindow {
	for n := range portWindows {
		first := FirstPort + (os.Getpid()+n)%portWindows*WindowPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return portWindow{first: first, hold: l}
		}
	}
	panic("every window of ports is taken")
})

// Window returns the first port of this test process's own range: nobody else can listen on
// it, as it is held until the process ends.
func Window() int { return ownWindow().first }

// nextPort counts the ports that were tried.
var nextPort int

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range WindowPorts {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", Window()+1+nextPort%(WindowPorts-1)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}
