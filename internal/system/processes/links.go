package processes

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

// Links forwards connections between processes, and can cut one process off from
// another, in one direction or both. A cut is silent: bytes wait as they do in a
// network, and arrive late after the heal.
type Links struct {
	t *testing.T

	mu sync.Mutex
	// processes are known by name, to tell who opened a connection.
	processes map[string]*Process
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

// Outside is the name of who is no process of the deployment.
const Outside = "outside"

// OutsideIP is where connections may come from that are known to be of no process, so that
// nobody has to look for who opened them.
var OutsideIP = net.IPv4(127, 255, 255, 1)

// NewLinks returns links that carry everything, until the test ends.
func NewLinks(t *testing.T) *Links {
	l := &Links{
		t: t, processes: map[string]*Process{}, cuts: map[[2]string]bool{}, delays: map[string]time.Duration{},
		open: map[string]map[*net.TCPConn]bool{}, healed: make(chan struct{}), closed: make(chan struct{}),
	}
	t.Cleanup(func() { close(l.closed) })
	return l
}

// Attach names a process. Without links it does nothing.
func (l *Links) Attach(name string, p *Process) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[name] = p
}

// Cut cuts the way from each of some processes to each of others.
func (l *Links) Cut(from, to []string) {
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

// Heal ends every cut.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
	close(l.healed)
	l.healed = make(chan struct{})
}

// Delay holds back what a process sends and gets; 0 ends it.
func (l *Links) Delay(name string, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[name] = by
}

// Reset resets the connections of a process, both those it opened and those it took.
func (l *Links) Reset(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open[name] {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// hold keeps both ends of a joined connection for reset, until they are released.
func (l *Links) hold(from, to string, in, out *net.TCPConn) (release func()) {
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
func (l *Links) wait(from, to string) (ok bool) {
	for {
		l.mu.Lock()
		cut, healed := l.cuts[[2]string{from, to}], l.healed
		held := max(l.delays[from], l.delays[to])
		l.mu.Unlock()
		if !cut {
			<-time.After(held)
			return true
		}
		select {
		case <-healed:
		case <-l.closed:
			return false
		}
	}
}

// Forward makes an address lead to the named process's own.
func (l *Links) Forward(name, address, target string) {
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

func (l *Links) join(name, target string, in net.Conn) {
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
func (l *Links) carry(w io.Writer, r io.Reader, from, to string) {
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
func (l *Links) opener(c net.Conn) string {
	if c.RemoteAddr().(*net.TCPAddr).IP.Equal(OutsideIP) {
		return Outside
	}
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr))
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.processes {
		if holds(p.pid.Load(), inode) {
			return name
		}
	}
	return Outside
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
