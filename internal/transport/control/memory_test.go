package control_test

import (
	"runtime"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/rpc"
)

// A replica's memory does not grow with the number of large changes, and neither does
// what it reads at the next start.
func TestMemoryAfterManyLargeChanges(t *testing.T) {
	const (
		changes = 300
		// mostGrowth is some times the log that is kept, and far below the 250 MB of all
		// changes.
		mostGrowth = 48 << 20
	)
	g := newSlowGroup(t, 1)
	leader := g.leader()
	before := heap()
	client := rpc.NewClient()
	for version := uint64(1); version <= changes; version++ {
		leader.installBy(client, version, text(sizeSeen, version))
	}
	client.CloseIdleConnections()
	grown := heap() - before
	t.Logf("%d changes of %d bytes: the heap grew by %d MB", changes, sizeSeen, grown>>20)
	if grown > mostGrowth {
		t.Errorf("the heap grew by %d bytes, must be at most %d", grown, mostGrowth)
	}
	g.each((*node).halt)
	g.again(leader)
	if grown := heap() - before; grown > mostGrowth {
		t.Errorf("after a restart the heap is %d bytes above the start, must be at most %d", grown, mostGrowth)
	}
}

// heap returns the bytes that are in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
