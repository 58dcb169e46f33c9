package control_test

import (
	"runtime"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/rpc"
)

// A replica's memory does not grow with the number of large changes, neither while it runs nor
// after a restart.
func TestMemoryAfterManyLargeChanges(t *testing.T) {
	const (
		changes = 300
		// maxGrowth, in bytes, is several times the size of the retained log, and far below the
		// 250 MB of all changes.
		maxGrowth = 48 << 20
	)
	g := newSlowGroup(t, 1)
	leader := g.leader()
	before := heapInUse()
	client := rpc.NewClient()
	for version := uint64(1); version <= changes; version++ {
		leader.installWith(client, version, randomText(configurationSize, version))
	}
	client.CloseIdleConnections()
	grown := heapInUse() - before
	t.Logf("%d changes of %d bytes: the heap grew by %d MB", changes, configurationSize, grown>>20)
	if grown > maxGrowth {
		t.Errorf("the heap grew by %d bytes, must be at most %d", grown, maxGrowth)
	}
	g.each((*node).stopReplica)
	g.restart(leader)
	if grown := heapInUse() - before; grown > maxGrowth {
		t.Errorf("after a restart the heap is %d bytes above the start, must be at most %d", grown, maxGrowth)
	}
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
