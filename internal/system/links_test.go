package system_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// links forwards connections between processes, and can cut one process off from
// another, in one direction or both. A cut is silent: bytes wait as they do in a
// network, and arrive late after the heal.
type links struct {
	t *testing.T

	mu sync.Mutex
	// processes are known by name, to tell who opened a connection.
	processes map[string]*process
	// cuts holds pairs of names, from and to.
	cuts map[[2]string]bool
	// healed is closed and replaced whenever a cut ends.
	healed chan struct{}
	closed chan struct{}
}

func newLinks(t *testing.T) *links {
	l := &links{t: t, processes: map[string]*process{}, cuts: map[[2]string]bool{}, healed: make(chan struct{}), closed: make(chan struct{})}
	t.Cleanup(func() { close(l.closed) })
	return l
}

// attach names a process. Without links it does nothing.
func (l *links) attach(name string, p *process) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[name] = p
}

// cut cuts the way from each of some processes to each of others.
func (l *links) cut(from, to []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				l.cuts[[2]string{a, b}] = true
			}
		}
	}
}

// heal ends every cut.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
	close(l.healed)
	l.healed = make(chan struct{})
}

// wait returns once the way is open; ok is false when the test has ended.
func (l *links) wait(from, to string) (ok bool) {
	for {
		l.mu.Lock()
		cut, healed := l.cuts[[2]string{from, to}], l.healed
		l.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-l.closed:
			return false
		}
	}
}

// forward returns an address that leads to the named process's own.
func (l *links) forward(name, target string) string {
	l.t.Helper()
	listener, err := net.Listen("tcp", freeAddress(l.t))
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.join(name, target, in)
		}
	}()
	return listener.Addr().String()
}

func (l *links) join(name, target string, in net.Conn) {
	defer in.Close()
	from := l.opener(in)
	if !l.wait(from, name) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		<-l.closed
		in.Close()
		out.Close()
	}()
	done := make(chan struct{}, 2)
	go func() { l.carry(out, in, from, name); done <- struct{}{} }()
	go func() { l.carry(in, out, name, from); done <- struct{}{} }()
	<-done
}

// carry copies what one process sends to another.
func (l *links) carry(w io.Writer, r io.Reader, from, to string) {
	b := make([]byte, 32<<10)
	for {
		n, err := r.Read(b)
		if err != nil || !l.wait(from, to) {
			return
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
	}
}

// opener finds out which process opened a connection: the one that holds the socket
// whose local address is the connection's remote one.
func (l *links) opener(c net.Conn) string {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr))
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.processes {
		if holds(p.pid.Load(), inode) {
			return name
		}
	}
	return "test"
}

func inodeOf(a *net.TCPAddr) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := a.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}

func holds(pid int64, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	if err != nil || pid == 0 || inode == "" {
		return false
	}
	for _, f := range files {
		link, err := os.Readlink(folder + "/" + f.Name())
		if err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// TestLinksCutAndHeal checks the tool itself: what is sent over a cut way arrives after
// the heal, and not before.
func TestLinksCutAndHeal(t *testing.T) {
	l := newLinks(t)
	echo, err := net.Listen("tcp", freeAddress(t))
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
	c, err := net.Dial("tcp", l.forward("echo", echo.Addr().String()))
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
	eventually(t, "it is carried", exchange)
	l.cut([]string{"echo"}, []string{"test"})
	write()
	if exchange() {
		t.Fatal("a cut way carried")
	}
	l.heal()
	eventually(t, "it arrives late", exchange)
}
