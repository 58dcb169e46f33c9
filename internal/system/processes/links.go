package processes

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
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
	// refused holds pairs of names, from and to, between which new connections are reset.
	refused map[[2]string]bool
	// delays holds how long each piece that a process sends or gets is held back.
	delays map[string]time.Duration
	// pairDelays holds the same for pairs of names, from and to.
	pairDelays map[[2]string]time.Duration
	// open holds the connections from and to each process.
	open map[string]map[*net.TCPConn]bool
	// silent holds the connections that carry nothing any more.
	silent map[*net.TCPConn]bool
	// healed is closed and replaced whenever a cut ends.
	healed   chan struct{}
	closed   chan struct{}
	searcher searcher
}

// Outside is the name of who is no process of the deployment.
const Outside = "outside"

// OutsideIP is where connections may come from that are known to be of no process, so that
// nobody has to look for who opened them.
var OutsideIP = net.IPv4(127, 255, 255, 1)

// OutsideDialer returns a dialer of connections from OutsideIP. Their ports are chosen when they connect: one that is chosen when
// a socket is bound to its address is nobody else's, whatever the destination, until a minute after the connection has ended, and
// with all ports taken every connect on the machine fails.
func OutsideDialer() *net.Dialer {
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: OutsideIP}, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1) })
		if controlErr != nil {
			return errors.Wrap(controlErr, "use the socket")
		}
		return errors.Wrap(err, "have connect choose the port")
	}}
}

// ipBindAddressNoPort is IP_BIND_ADDRESS_NO_PORT (ip(7)), which package syscall lacks.
const ipBindAddressNoPort = 24

// NewLinks returns links that carry everything, until the test ends.
func NewLinks(t *testing.T) *Links {
	l := &Links{
		t: t, processes: map[string]*Process{}, cuts: map[[2]string]bool{}, refused: map[[2]string]bool{}, delays: map[string]time.Duration{}, pairDelays: map[[2]string]time.Duration{},
		open: map[string]map[*net.TCPConn]bool{}, silent: map[*net.TCPConn]bool{}, healed: make(chan struct{}), closed: make(chan struct{}),
	}
	l.searcher.pids = l.pids
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(l.closed)
		t.Log("links: ", l.searcher.summary())
	})
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

// Refuse resets each new connection from one of some processes to one of others. Those that are open live on.
func (l *Links) Refuse(from, to []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			l.refused[[2]string{a, b}] = true
		}
	}
}

func (l *Links) refuses(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused[[2]string{from, to}]
}

// Mend ends the cuts of the way from each of some processes to each of others.
func (l *Links) Mend(from, to []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			delete(l.cuts, [2]string{a, b})
		}
	}
	l.wakeWaiting()
}

// Heal ends every cut, and new connections are no longer reset.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
	clear(l.refused)
	l.wakeWaiting()
}

// wakeWaiting has whatever waits for a cut look again; mu must be held.
func (l *Links) wakeWaiting() {
	close(l.healed)
	l.healed = make(chan struct{})
}

// Delay holds back what a process sends and gets; 0 ends it.
func (l *Links) Delay(name string, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[name] = by
}

// DelayBetween holds back what one of two processes sends to the other; 0 ends it.
func (l *Links) DelayBetween(name, other string, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairDelays[[2]string{name, other}] = by
	l.pairDelays[[2]string{other, name}] = by
}

// Reset resets the connections of a process, both those it opened and those it took.
func (l *Links) Reset(name string) { l.ResetBetween(name, "") }

// ResetBetween resets the connections between two processes, or all of the first if the second is empty.
func (l *Links) ResetBetween(name, other string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open[name] {
		if other == "" || l.open[other][c] {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// Silence has the present connections of a process carry nothing any more, for good and without a
// reset, not even their end; new ones work.
func (l *Links) Silence(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open[name] {
		l.silent[c] = true
	}
}

func (l *Links) silenced(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[c]
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
		delete(l.silent, in)
		delete(l.silent, out)
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
		held := max(l.delays[from], l.delays[to], l.pairDelays[[2]string{from, to}])
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
	if l.refuses(from, name) {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	if !l.wait(from, name) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		l.logFailed(from, name, err)
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
	go func() { l.carry(out.(*net.TCPConn), in.(*net.TCPConn), from, name); done <- struct{}{} }()
	go func() { l.carry(in.(*net.TCPConn), out.(*net.TCPConn), name, from); done <- struct{}{} }()
	<-done
	if l.silenced(in.(*net.TCPConn)) {
		// The other side is not told.
		<-done
	}
}

// logFailed logs why a connection could not be carried on, whose opener then sees a reset, unless its target does not listen.
func (l *Links) logFailed(from, to string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		l.t.Logf("no connection from %s to %s: %v", from, to, err)
	}
}

// carry copies what one process sends to another.
func (l *Links) carry(w, r *net.TCPConn, from, to string) {
	b := make([]byte, 32<<10)
	for {
		n, err := r.Read(b)
		if err != nil || !l.wait(from, to) {
			return
		}
		if l.silenced(r) {
			continue
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
	}
}

const (
	// openerTries is how often it is looked for who holds a socket, openerPause apart: a
	// process that has just begun connects before its id is noted.
	openerTries = 1000
	openerPause = time.Millisecond
)

// opener finds out which process opened a connection: the one that holds the socket at its
// other end. Of a socket that is gone or that this test holds, it is nobody.
func (l *Links) opener(c net.Conn) string {
	other := c.RemoteAddr().(*net.TCPAddr)
	if other.IP.Equal(OutsideIP) {
		return Outside
	}
	inode, err := socketInode(other, c.LocalAddr().(*net.TCPAddr))
	if err != nil && !errors.Is(err, errNoSocket) {
		l.t.Errorf("nobody knows who opened a connection: %v", err)
	}
	if err != nil || inode == 0 {
		return Outside
	}
	for range openerTries {
		name, ok := l.searcher.holder(inode)
		if ok {
			return name
		}
		<-time.After(openerPause)
		// A connection attempt may have been given up meanwhile; then no process will hold the socket.
		now, err := socketInode(other, c.LocalAddr().(*net.TCPAddr))
		if err != nil || now != inode {
			return Outside
		}
	}
	l.t.Logf("nobody holds the socket at %v", other)
	return Outside
}

// pids returns the ids of the processes that run, by their names.
func (l *Links) pids() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{}
	for name, p := range l.processes {
		if pid := p.pid.Load(); pid != 0 {
			out[name] = pid
		}
	}
	return out
}
