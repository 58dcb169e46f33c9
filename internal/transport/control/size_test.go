package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// configurationSize is the size of a configuration text observed in practice, in bytes.
	configurationSize = 825_000
	// linkRate is the rate of the link to a replica, in bytes per second: 10 Mbit/s.
	linkRate = 10_000_000 / 8
	// linkBurst is the maximum size of one transfer on a link, in bytes.
	linkBurst = 16 << 10
	// linkOverhead is the maximum traffic on a link besides the texts, in bytes.
	linkOverhead = 200_000
)

// slack is the time allowed for elections, syncs and round trips besides a transfer.
const slack = slowdown * 3 * time.Second

// An entry of any size is committed in the term in which it was proposed, and is sent over each
// link only once.
func TestLargeEntryCrossesSlowLinksOnce(t *testing.T) {
	for _, times := range []int{1, 2, 10} {
		t.Run(fmt.Sprintf("%d times the configuration size", times), func(t *testing.T) {
			g := newSlowGroup(t, 3)
			leader := g.leader()
			leader.install(1, []byte("small"))
			g.mustReplicate(leader, slack)
			term, before := leader.replica.Status().Term, g.transferred()
			size, began := times*configurationSize, time.Now()
			leader.install(2, randomText(size, 1))
			g.mustReplicate(leader, transferTime(size)+slack)
			t.Logf("committed on all replicas after %s; the transfer alone takes %s", time.Since(began), transferTime(size))
			if diff := cmp.Diff(term, leader.replica.Status().Term); diff != "" {
				t.Errorf("the leader was deposed meanwhile: %s", diff)
			}
			g.mustTransferOnce(before, size)
		})
	}
}

// A replica that is cut off during many large changes catches up once the link is restored, and
// is not sent more than it lacks.
func TestManyLargeChangesPastACutReplica(t *testing.T) {
	const changes = 6
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, []byte("small"))
	g.mustReplicate(leader, slack)
	cut := g.nodes[int(leader.id)%3]
	term, before := leader.replica.Status().Term, g.transferred()
	cut.link.pauseMu.Lock()
	for i := range changes {
		leader.install(uint64(2+i), randomText(configurationSize, uint64(i)))
	}
	cut.link.pauseMu.Unlock()
	g.mustReplicate(leader, transferTime(2*changes*configurationSize)+slack)
	if diff := cmp.Diff(term, leader.replica.Status().Term); diff != "" {
		t.Errorf("the leader was deposed meanwhile: %s", diff)
	}
	g.mustTransferOnce(before, changes*configurationSize)
}

// Guards against entries that are sent to a replica while it lacks the ones before them: after the connection broke
// under a text, the next one was sent first, and both had to be sent again.
func TestBrokenDeliveryIsResentBeforeLaterEntries(t *testing.T) {
	const changes = 2
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, []byte("small"))
	await.Until(t, slack, "the entry of the orderer", func() bool { return leader.snapshots.count(`"event":"orderer"`) > 0 })
	g.mustReplicate(leader, slack)
	cut, other := g.nodes[int(leader.id)%3], g.nodes[int(leader.id+1)%3]
	before := g.transferred()
	cut.link.pauseMu.Lock()
	for i := range changes {
		leader.install(uint64(2+i), randomText(configurationSize, uint64(i)))
	}
	// By the second heartbeat from here on, the leader has repeated what was not acknowledged.
	for range 2 {
		heartbeats := other.link.transferred.Load()
		await.Until(t, slack, "a heartbeat", func() bool { return other.link.transferred.Load() > heartbeats })
	}
	cut.link.breakConnections()
	await.Until(t, slack, "the loss of the delivery", func() bool { return leader.snapshots.count(`"event":"entries_lost"`) > 0 })
	leader.install(2+changes, []byte("small again"))
	cut.link.pauseMu.Unlock()
	g.mustReplicate(leader, transferTime(4*changes*configurationSize)+slack)
	// What a broken connection had buffered may still arrive; it is less than half a text.
	transferred, limit := cut.link.transferred.Load()-before[cut.id], int64(changes*configurationSize+configurationSize/2+linkOverhead)
	if transferred > limit {
		t.Errorf("the link to replica %d transferred %d bytes, allowed %d", cut.id, transferred, limit)
	}
}

// Guards against texts that are sent again to a replica which has received them and is still storing them: its disk
// takes twice as long for each as the link does.
func TestTextsAreSentOnceToAReplicaThatStoresSlowly(t *testing.T) {
	const changes = 6
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, []byte("small"))
	g.mustReplicate(leader, slack)
	slow := g.nodes[int(leader.id)%3]
	before := g.transferred()
	disk := rate.NewLimiter(linkRate/2, linkBurst)
	stored := 0
	store := func() {
		if slow.link.transferred.Load()-before[slow.id] < int64((stored+1)*configurationSize) {
			return
		}
		stored++
		for written := 0; written < configurationSize; written += linkBurst {
			_ = disk.WaitN(t.Context(), linkBurst)
		}
	}
	slow.beforeWrite.Store(&store)
	for i := range changes {
		leader.install(uint64(2+i), randomText(configurationSize, uint64(i)))
	}
	g.mustReplicate(leader, transferTime(4*changes*configurationSize)+slack)
	g.mustTransferOnce(before, changes*configurationSize)
}

// After all replicas restart at once, the group continues from large entries. A replica that was
// stopped until the entries that it lacks were compacted gets a large snapshot over its slow link.
func TestRestartsWithLargeEntries(t *testing.T) {
	const size = 10 * configurationSize
	g := newSlowGroup(t, 3)
	leader := g.leader()
	leader.install(1, randomText(size, 1))
	g.mustReplicate(leader, transferTime(size)+slack)
	g.each((*node).stopReplica)
	for _, n := range g.nodes {
		g.restart(n)
	}
	leader = g.leader()
	leader.install(2, randomText(configurationSize, 2))
	g.mustReplicate(leader, transferTime(configurationSize)+slack)
	stopped := g.nodes[int(leader.id)%3]
	stopped.stopReplica()
	g.setRate(rate.Inf)
	for version := uint64(3); version < 8; version++ {
		leader.install(version, randomText(size, version))
	}
	g.setRate(linkRate)
	g.restart(stopped)
	began := time.Now()
	g.mustReplicate(leader, transferTime(size)+slack)
	t.Logf("the restarted replica caught up after %s; the transfer alone takes %s", time.Since(began), transferTime(size))
}

// While large entries are in flight and the log file exceeds the limit for a snapshot, no snapshot
// is written that would not shorten the log file.
func TestEntriesInFlightCauseNoSnapshots(t *testing.T) {
	const size, changes = 10 * configurationSize, 2
	g := newSlowGroup(t, 3)
	leader := g.leader()
	var wg sync.WaitGroup
	for version := uint64(1); version <= changes; version++ {
		wg.Go(func() {
			client := rpc.NewClient()
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
			defer cancel()
			in := &wire.InstallRequest{Version: version, Text: randomText(size, version)}
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
