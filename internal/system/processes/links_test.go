package processes_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/system/processes"
)

// patience is above what a busy machine takes.
const patience = 40 * time.Second

// TestLinksCutAndHeal checks the tool itself: what is sent over a cut way arrives after
// the heal, and not before.
func TestLinksCutAndHeal(t *testing.T) {
	l := processes.NewLinks(t)
	echo, err := net.Listen("tcp", processes.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	address := processes.FreeAddress(t)
	l.Forward("echo", address, echo.Addr().String())
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	exchange := func() bool {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := io.ReadFull(c, make([]byte, 2))
		return err == nil
	}
	write := func() { _, _ = c.Write([]byte("hi")) }
	write()
	await.Until(t, patience, "it is carried", exchange)
	l.Cut([]string{"echo"}, []string{processes.Outside})
	write()
	if exchange() {
		t.Fatal("a cut way carried")
	}
	l.Heal()
	await.Until(t, patience, "it arrives late", exchange)
	l.Cut([]string{"echo", "other"}, []string{processes.Outside})
	l.Mend([]string{"other"}, []string{processes.Outside})
	write()
	if exchange() {
		t.Fatal("a way carried although only another one's cut had ended")
	}
	l.Mend([]string{"echo"}, []string{processes.Outside})
	await.Until(t, patience, "it arrives once its own cut has ended", exchange)
	l.Delay("echo", 300*time.Millisecond)
	write()
	if exchange() {
		t.Fatal("it was not held back")
	}
	l.Delay("echo", 0)
	await.Until(t, patience, "it arrives after the delay", exchange)
	l.Reset("echo")
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err = c.Read(make([]byte, 2))
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Error("not reset: ", err)
	}
}

// Guards against searches for openers that contend with one another: each read all open files by itself, and beside many
// connections it took 0.3 s on average until one was joined.
func TestSearchesForOpenersShareAPass(t *testing.T) {
	const openFiles, connections = 500, 100
	l := processes.NewLinks(t)
	target, err := net.Listen("tcp", processes.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	for range openFiles {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _, _ = r.Close(), w.Close() }()
	}
	address := processes.FreeAddress(t)
	l.Forward("target", address, target.Addr().String())
	var dials sync.WaitGroup
	for range connections {
		dials.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		})
	}
	for range connections {
		c, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	dials.Wait()
	if read, limit := l.DescriptorsRead(), connections*openFiles/2; read > limit {
		t.Errorf("%d connections took %d reads, at most %d allowed", connections, read, limit)
	}
}

// ipLocalPortRange is IP_LOCAL_PORT_RANGE (ip(7)), which holds the last and the first port that connect may choose.
const ipLocalPortRange = 51

// Guards against callers that reserve a port for each connection: with all of them reserved, connects of links and processes failed
// with "cannot assign requested address".
func TestOutsideConnectionsReserveNoPort(t *testing.T) {
	var targets []string
	for range 2 {
		l, err := net.Listen("tcp", processes.FreeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		targets = append(targets, l.Addr().String())
	}
	outside, err := processes.OutsideDialer().Dial("tcp", targets[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = outside.Close() }()
	local := outside.LocalAddr().(*net.TCPAddr)
	if !local.IP.Equal(processes.OutsideIP) {
		t.Errorf("a connection comes from %v, want %v", local.IP, processes.OutsideIP)
	}
	var unknown error
	samePort := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			unknown = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, local.Port<<16|local.Port)
		})
	}}
	c, err := samePort.Dial("tcp", targets[1])
	if unknown != nil {
		t.Skip("connect cannot be held to a port: ", unknown)
	}
	if err != nil {
		t.Fatal("another connection may not use the port of one from outside: ", err)
	}
	_ = c.Close()
}
