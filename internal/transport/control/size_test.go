package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// sizeSeen is that of a configuration's text as it was seen, in bytes.
	sizeSeen = 825_000
	// linkRate is that of the link towards a replica, in bytes a second: 10 Mbit/s.
	linkRate = 10_000_000 / 8
	// linkBurst is the largest piece that a link carries at a time, in bytes.
	linkBurst = 16 << 10
	// sparse is what a link may carry beside the texts themselves, in bytes.
	sparse = 200_000
)

// link leads to a replica's listener at linkRate, and counts what it carries.
type link struct {
	listener net.Listener
	target   string
	limit    *rate.Limiter
	carried  atomic.Int64
	// gate is held while the link is cut; bytes wait meanwhile.
	gate sync.RWMutex
}

func newLink(t *testing.T) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &link{listener: listener, limit: rate.NewLimiter(linkRate, linkBurst)}
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// serve carries connections until the test ends.
func (l *link) serve(ctx context.Context) {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(ctx, caller)
	}
}

func (l *link) join(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
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
		l.gate.RLock()
		l.carried.Add(int64(n))
		_, err = target.Write(buffer[:n])
		l.gate.RUnlock()
		if err != nil {
			return
		}
	}
}

// node is one replica of a group, which can be stopped and started again.
type node struct {
	t       *testing.T
	id      uint64
	path    string
	link    *link
	replica *control.Replica
	// snapshots counts those that the replica has written.
	snapshots lineCounter
	stop      func()
}

// lineCounter counts the lines of a log that hold a word.
type lineCounter struct {
	word string
	n    atomic.Int64
}

func (c *lineCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), c.word) {
		c.n.Add(1)
	}
	return len(line), nil
}

// group is a control log whose replicas reach each other over slow links.
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
	t.Cleanup(func() { g.each((*node).halt) })
	return g
}

// each calls f for all nodes at the same time.
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
	folder, restart, ledger, err := control.Open(n.path)
	if err != nil {
		n.t.Fatal(err)
	}
	n.replica = &control.Replica{
		ID: n.id, Address: n.link.address(), Peers: peers, Folder: folder, RecoveredState: restart, Ledger: ledger,
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

// halt stops the node's replica, if it runs.
func (n *node) halt() {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// again starts a node that was stopped.
func (g *group) again(n *node) { n.start(n.listen(n.link.target), g.peers()) }

// leader waits until one replica leads and a majority follows it.
func (g *group) leader() *node {
	g.t.Helper()
	var leader *node
	await.Until(g.t, patience, "a leader that has committed", func() bool {
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

// install commits a configuration by one call to a node, which nothing but patience bounds.
func (n *node) install(version uint64, text []byte) {
	n.t.Helper()
	client := rpc.NewClient()
	defer client.CloseIdleConnections()
	n.installBy(client, version, text)
}

func (n *node) installBy(client *http.Client, version uint64, text []byte) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
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

// mustHold waits until all replicas have what one has committed.
func (g *group) mustHold(leader *node, within time.Duration) {
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

// mustCarryOnce fails when a link has carried a text more than once since before.
func (g *group) mustCarryOnce(before map[uint64]int64, size int) {
	g.t.Helper()
	for _, n := range g.nodes {
		carried := n.link.carried.Load() - before[n.id]
		if carried > int64(size)+int64(size)/2+sparse {
			g.t.Errorf("the link of replica %d carried %d bytes for texts of %d", n.id, carried, size)
		}
	}
}

// setRate sets the rate of all links.
func (g *group) setRate(r rate.Limit) {
	for _, n := range g.nodes {
		n.link.limit.SetLimit(r)
	}
}

func (g *group) carried() map[uint64]int64 {
	out := map[uint64]int64{}
	for _, n := range g.nodes {
		out[n.id] = n.link.carried.Load()
	}
	return out
}

// text returns bytes that don't pack.
func text(size int, seed uint64) []byte {
	var key [32]byte
	key[0] = byte(seed)
	out := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(out)
	return out
}

// transfer is how long a link takes for so many bytes.
func transfer(size int) time.Duration {
	return time.Duration(float64(size) / linkRate * float64(time.Second))
}

// slack is for elections, syncs and round trips beside a transfer.
const slack = slowdown * 3 * time.Second

// An entry of any size is committed under the leader that took it, and crosses each link
// once.
func TestLargeEntryCrossesSlowLinksOnce(t *testing.T) {
	for _, times := range []int{1, 2, 10} {
		t.Run(fmt.Sprintf("%d times the size seen", times), func(t *testing.T) {
			g := newSlowGroup(t, 3)
			leader := g.leader()
			leader.install(1, []byte("small"))
			g.mustHold(leader, slack)
			term, before := leader.replica.Status().Term, g.carried()
			size, began := times*sizeSeen, time.Now()
			leader.install(2, text(size, 1))
			g.mustHold(leader, transfer(size)+slack)
			t.Logf("held by all after %s; the link alone takes %s", time.Since(began), transfer(size))
			if diff := cmp.Diff(term, leader.replica.Status().Term); diff != "" {
				t.Errorf("the leader was deposed meanwhile: %s", diff)
			}
			g.mustCarryOnce(before, size)
		})
	}
}

// Many large changes in a row, during which one replica is cut off: it catches up after
// the heal, and is not sent more than it lacks.
func TestManyLargeChangesPastACutReplica(t *testing.T) {
	const changes = 6
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, []byte("small"))
	g.mustHold(leader, slack)
	cut := g.nodes[int(leader.id)%3]
	term, before := leader.replica.Status().Term, g.carried()
	cut.link.gate.Lock()
	for i := range changes {
		leader.install(uint64(2+i), text(sizeSeen, uint64(i)))
	}
	cut.link.gate.Unlock()
	g.mustHold(leader, transfer(2*changes*sizeSeen)+slack)
	if diff := cmp.Diff(term, leader.replica.Status().Term); diff != "" {
		t.Errorf("the leader was deposed meanwhile: %s", diff)
	}
	g.mustCarryOnce(before, changes*sizeSeen)
}

// All replicas stop and start at once and go on from large entries. One that was away for
// longer than the log is kept for gets a large snapshot over its slow link.
func TestRestartsWithLargeEntries(t *testing.T) {
	const size = 10 * sizeSeen
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, text(size, 1))
	g.mustHold(leader, transfer(size)+slack)
	g.each((*node).halt)
	for _, n := range g.nodes {
		g.again(n)
	}
	leader = g.leader()
	leader.install(2, text(sizeSeen, 2))
	g.mustHold(leader, transfer(sizeSeen)+slack)
	away := g.nodes[int(leader.id)%3]
	away.halt()
	g.setRate(rate.Inf)
	for version := uint64(3); version < 8; version++ {
		leader.install(version, text(size, version))
	}
	g.setRate(linkRate)
	g.again(away)
	began := time.Now()
	g.mustHold(leader, transfer(size)+slack)
	t.Logf("the one that was away holds all after %s; the link alone takes %s", time.Since(began), transfer(size))
}

// While large entries are on their way, and the log file is longer than it should grow, no
// snapshot is written that would not shorten it.
func TestEntriesOnTheirWayCauseNoSnapshots(t *testing.T) {
	const size, changes = 10 * sizeSeen, 2
	g := newSlowGroup(t, 3)
	leader := g.leader()
	var wg sync.WaitGroup
	for version := uint64(1); version <= changes; version++ {
		wg.Go(func() {
			client := rpc.NewClient()
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
			defer cancel()
			in := &wire.InstallRequest{Version: version, Text: text(size, version)}
			_, err := wire.NewControlProtobufClient("http://"+leader.link.target, client).Install(ctx, in)
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := leader.snapshots.n.Load(); n > changes+1 {
		t.Errorf("%d snapshots were written for %d changes", n, changes)
	}
}
