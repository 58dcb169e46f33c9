package connpool_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/transport/connpool"
)

// After a machine was suspended, its peers may have dropped its idle connections without any sign
// on its side: what is sent on one is lost, or is answered with a reset.
func TestIdleConnectionsExpireDuringSuspension(t *testing.T) {
	machine := clocktest.New(t)
	var p connpool.Pool
	ours, _, peer := newConnPair(t, &p)
	p.Put(ours, 0)
	machine.Suspend(10 * time.Second)
	again, err := p.Get(context.Background(), peer)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(2), p.Opened()); diff != "" || again == ours {
		t.Error("connections opened: " + diff)
	}
}
