package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/testlogs"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

// link is a proxy to a replica's listener that limits the rate and counts the bytes towards it.
type link struct {
	listener    net.Listener
	target      string
	limit       *rate.Limiter
	transferred atomic.Int64
	// pauseMu is locked for writing while the link is cut. Bytes are held back meanwhile.
	pauseMu sync.RWMutex

	mu sync.Mutex
	// callers holds the open connections from callers; it is guarded by mu.
	callers map[net.Conn]bool
}

func newLink(t *testing.T) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &link{listener: listener, limit: rate.NewLimiter(linkRate, linkBurst), callers: map[net.Conn]bool{}}
	return l
}

// breakConnections closes all open connections.
func (l *link) breakConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for caller := range l.callers {
		_ = caller.Close()
	}
}

func (l *link) address() string { return l.listener.Addr().String() }

// serve forwards connections until the listener is closed.
func (l *link) serve(ctx context.Context) {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, caller)
	}
}

func (l *link) forward(ctx context.Context, caller net.Conn) {
	l.mu.Lock()
	l.callers[caller] = true
	l.mu.Unlock()
	defer func() {
		_ = caller.Close()
		l.mu.Lock()
		delete(l.callers, caller)
		l.mu.Unlock()
	}()
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = target.Close() })
	defer stop()
	go func() {
		_, _ = io.Copy(caller, target)
		_ = caller.Close()
	}()
	buffer := make([]byte, linkBurst)
	for {
		n, err := caller.Read(buffer)
		if err != nil || l.limit.WaitN(ctx, n) != nil {
			return
		}
		l.pauseMu.RLock()
		l.transferred.Add(int64(n))
		_, err = target.Write(buffer[:n])
		l.pauseMu.RUnlock()
		if err != nil {
			return
		}
	}
}

// node is one replica of a group. It can be stopped and restarted.
type node struct {
	t       *testing.T
	id      uint64
	path    string
	link    *link
	replica *control.Replica
	// snapshots counts the snapshots that the replica has written, and keeps its log.
	snapshots lineCounter
	// beforeWrite, when set, is called before each write to the disk.
	beforeWrite atomic.Pointer[func()]
	stop        func()
}

// lineCounter counts the log lines that contain a substring, and keeps all lines.
type lineCounter struct {
	word string
	n    atomic.Int64

	mu sync.Mutex
	// text holds all lines; it is guarded by mu.
	text strings.Builder
}

func (c *lineCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), c.word) {
		c.n.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(line)
}

// count returns how many lines contain all words.
func (c *lineCounter) count(words ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range strings.Lines(c.text.String()) {
		if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
			n++
		}
	}
	return n
}

// keepLog keeps the node's log and what its link has transferred, if the test has failed.
func (n *node) keepLog() {
	if !n.t.Failed() {
		return
	}
	n.snapshots.mu.Lock()
	defer n.snapshots.mu.Unlock()
	testlogs.Keep(n.t, fmt.Sprint("replica", n.id), fmt.Sprintf("%slink transferred=%d\n", n.snapshots.text.String(), n.link.transferred.Load()))
}

// group is a group of replicas that are connected over slow links.
type group struct {
	t     *testing.T
	nodes []*node
}

func newSlowGroup(t *testing.T, n int) *group {
	t.Helper()
	g := &group{t: t}
	for i := range n {
		g.nodes = append(g.nodes, &node{t: t, id: uint64(i + 1), path: t.TempDir(), link: newLink(t), snapshots: lineCounter{word: `"event":"snapshot"`}})
	}
	for _, n := range g.nodes {
		listener := n.listen("127.0.0.1:0")
		n.link.target = listener.Addr().String()
		go n.link.serve(t.Context())
		n.start(listener, g.peers())
	}
	t.Cleanup(func() {
		g.each((*node).stopReplica)
		g.each((*node).keepLog)
	})
	return g
}

// each calls f for all nodes concurrently.
func (g *group) each(f func(*node)) {
	var wg sync.WaitGroup
	for _, n := range g.nodes {
		wg.Go(func() { f(n) })
	}
	wg.Wait()
}

func (g *group) peers() []control.Peer {
	var peers []control.Peer
	for _, n := range g.nodes {
		peers = append(peers, control.Peer{ID: n.id, Address: n.link.address()})
	}
	return peers
}

func (n *node) listen(address string) net.Listener {
	n.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		n.t.Fatal(err)
	}
	return listener
}

func (n *node) start(listener net.Listener, peers []control.Peer) {
	n.t.Helper()
	folder, recovered, ledger, err := control.Open(n.path)
	if err != nil {
		n.t.Fatal(err)
	}
	folder.BeforeWrite = func() error {
		if f := n.beforeWrite.Load(); f != nil {
			(*f)()
		}
		return nil
	}
	n.replica = &control.Replica{
		ID: n.id, Address: n.link.address(), Peers: peers, Folder: folder, RecoveredState: recovered, Ledger: ledger,
		Listener: listener, Log: &log.Logger{Writer: log.IOWriter{Writer: &n.snapshots}}, Tick: slowdown * control.DefaultTick,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	r := n.replica
	go func() { done <- r.Run(ctx) }()
	n.stop = func() {
		cancel()
		if err := <-done; err != nil {
			n.t.Error(err)
		}
	}
	_ = r.Status()
}

// stopReplica stops the node's replica if it is running.
func (n *node) stopReplica() {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// restart starts a stopped node.
func (g *group) restart(n *node) { n.start(n.listen(n.link.target), g.peers()) }

// leader waits until a replica leads and has committed an entry in the group, and returns it.
func (g *group) leader() *node {
	g.t.Helper()
	var leader *node
	await.Until(g.t, callTimeout, "a leader that has committed", func() bool {
		for _, n := range g.nodes {
			s := n.replica.Status()
			if _, ok := n.replica.Leading(); n.stop != nil && ok && s.Committed > 1 {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// install commits a configuration by one call to a node, without retries.
func (n *node) install(version uint64, text []byte) {
	n.t.Helper()
	client := rpc.NewClient()
	defer client.CloseIdleConnections()
	n.installWith(client, version, text)
}

func (n *node) installWith(client *http.Client, version uint64, text []byte) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	in := &wire.InstallRequest{Version: version, Text: text}
	out, err := wire.NewControlProtobufClient("http://"+n.link.target, client).Install(ctx, in)
	if err != nil {
		n.t.Fatalf("version %d: %v", version, err)
	}
	if diff := cmp.Diff(version, out.Held); diff != "" {
		n.t.Fatal(diff)
	}
}

// mustReplicate waits until all replicas have committed what the leader has committed.
func (g *group) mustReplicate(leader *node, within time.Duration) {
	g.t.Helper()
	index := leader.replica.Status().Committed
	await.Until(g.t, within, fmt.Sprintf("all hold entry %d", index), func() bool {
		for _, n := range g.nodes {
			if n.replica.Status().Committed < index {
				return false
			}
		}
		return true
	})
}

// mustTransferOnce fails the test if a link has transferred texts of the given total size more than
// once since before.
func (g *group) mustTransferOnce(before map[uint64]int64, size int) {
	g.t.Helper()
	for _, n := range g.nodes {
		transferred := n.link.transferred.Load() - before[n.id]
		g.t.Logf("the link to replica %d transferred %d bytes", n.id, transferred)
		if transferred > int64(size)+int64(size)/2+linkOverhead {
			g.t.Errorf("the link to replica %d transferred %d bytes for texts of %d bytes", n.id, transferred, size)
		}
	}
}

// setRate sets the rate of all links.
func (g *group) setRate(r rate.Limit) {
	for _, n := range g.nodes {
		n.link.limit.SetLimit(r)
	}
}

func (g *group) transferred() map[uint64]int64 {
	out := map[uint64]int64{}
	for _, n := range g.nodes {
		out[n.id] = n.link.transferred.Load()
	}
	return out
}

// randomText returns bytes that cannot be compressed.
func randomText(size int, seed uint64) []byte {
	var key [32]byte
	key[0] = byte(seed)
	out := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(out)
	return out
}

// transferTime returns how long a link takes to transfer size bytes.
func transferTime(size int) time.Duration {
	return time.Duration(float64(size) / linkRate * float64(time.Second))
}
