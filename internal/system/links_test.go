package system_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/platform/standin"
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
	// delays holds how long each piece that a process sends or gets is held back.
	delays map[string]time.Duration
	// open holds the connections from and to each process.
	open map[string]map[*net.TCPConn]bool
	// healed is closed and replaced whenever a cut ends.
	healed chan struct{}
	closed chan struct{}
}

// outside is the name of who is no process of the deployment.
const outside = "outside"

func newLinks(t *testing.T) *links {
	l := &links{
		t: t, processes: map[string]*process{}, cuts: map[[2]string]bool{}, delays: map[string]time.Duration{},
		open: map[string]map[*net.TCPConn]bool{}, healed: make(chan struct{}), closed: make(chan struct{}),
	}
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

// delay holds back what a process sends and gets; 0 ends it.
func (l *links) delay(name string, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[name] = by
}

// reset resets the connections of a process, both those it opened and those it took.
func (l *links) reset(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open[name] {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// hold keeps both ends of a joined connection for reset, until they are released.
func (l *links) hold(from, to string, in, out *net.TCPConn) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range []string{from, to} {
		if l.open[name] == nil {
			l.open[name] = map[*net.TCPConn]bool{}
		}
		l.open[name][in] = true
		l.open[name][out] = true
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, name := range []string{from, to} {
			delete(l.open[name], in)
			delete(l.open[name], out)
		}
	}
}

// wait returns once the way is open; ok is false when the test has ended.
func (l *links) wait(from, to string) (ok bool) {
	for {
		l.mu.Lock()
		cut, healed := l.cuts[[2]string{from, to}], l.healed
		held := max(l.delays[from], l.delays[to])
		l.mu.Unlock()
		if !cut {
			pass(held)
			return true
		}
		select {
		case <-healed:
		case <-l.closed:
			return false
		}
	}
}

// forward makes an address lead to the named process's own.
func (l *links) forward(name, address, target string) {
	l.t.Helper()
	listener, err := net.Listen("tcp", address)
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
	defer l.hold(from, name, in.(*net.TCPConn), out.(*net.TCPConn))()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-l.closed:
			in.Close()
			out.Close()
		case <-ended:
		}
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
	if c.RemoteAddr().(*net.TCPAddr).IP.Equal(standin.Local) {
		return outside
	}
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr))
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.processes {
		if holds(p.pid.Load(), inode) {
			return name
		}
	}
	return outside
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
	address := freeAddress(t)
	l.forward("echo", address, echo.Addr().String())
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
	eventually(t, "it is carried", exchange)
	l.cut([]string{"echo"}, []string{outside})
	write()
	if exchange() {
		t.Fatal("a cut way carried")
	}
	l.heal()
	eventually(t, "it arrives late", exchange)
	l.delay("echo", 300*time.Millisecond)
	write()
	if exchange() {
		t.Fatal("it was not held back")
	}
	l.delay("echo", 0)
	eventually(t, "it arrives after the delay", exchange)
	l.reset("echo")
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err = c.Read(make([]byte, 2))
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Error("not reset: ", err)
	}
}
