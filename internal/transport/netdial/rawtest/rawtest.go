// Package rawtest has a stand-in of an HTTP/1 server for tests that write the bytes of responses themselves.
package rawtest

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// headBytes is how much is read of a connection at once, so that most of a long upload stays unread.
const headBytes = 512

// Server reads the heads of requests. Make one with Serve.
type Server struct {
	listener net.Listener
	opened   atomic.Int64
}

// Serve starts a server that ends with the test. It calls respond, which writes to c and may read the body of r, after the
// head of each request. The connection is closed once respond returns false.
func Serve(t testing.TB, respond func(c *net.TCPConn, r *http.Request) (goesOn bool)) *Server {
	t.Helper()
	l, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go serve(c.(*net.TCPConn), respond)
		}
	}()
	return s
}

// Listener returns the server's listener.
func (s *Server) Listener() net.Listener { return s.listener }

// Address returns IP:PORT.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Opened returns the number of connections accepted so far.
func (s *Server) Opened() int { return int(s.opened.Load()) }

func serve(c *net.TCPConn, respond func(*net.TCPConn, *http.Request) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, headBytes)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !respond(c, r) {
			return
		}
	}
}
