package control_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// Guards against decisions requested from a control instance that does not lead: all instances name the same leader,
// only that one answers, and when it ends, the next one is named and answers.
func TestEntriesReachTheDecidingLeader(t *testing.T) {
	quiet := &log.Logger{Level: log.PanicLevel}
	var listeners []net.Listener
	var peers []control.Peer
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		peers = append(peers, control.Peer{ID: uint64(i + 1), Address: listener.Addr().String()})
	}
	stops := map[string]func(){}
	for i, peer := range peers {
		folder, recovered, ledger, err := control.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		r := &control.Replica{
			ID: peer.ID, Address: peer.Address, Peers: peers, Folder: folder, RecoveredState: recovered, Ledger: ledger, Listener: listeners[i], Log: quiet,
			Source: fleet.NewSource(t.Context(), time.Hour, quiet), Tick: 25 * time.Millisecond,
		}
		r.Arbiter = &arbiter.Service{View: func() *fleet.View { return &fleet.View{} }, Leading: r.Leading, Log: quiet}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		stop := func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		stops[peer.Address] = stop
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	follower := &fleet.Follower{
		Name: "e", Entry: true, Heartbeat: time.Hour, Log: quiet, Decode: func([]byte) (*deployment.Config, error) { return &deployment.Config{}, nil },
		Seeds: func() []string { return []string{peers[0].Address, peers[1].Address, peers[2].Address} },
	}
	go follower.Run(t.Context())
	decides := func(address string) bool {
		// Each call has a client of its own, so that no failure pauses the next one.
		answer, err := arbiter.NewClient(quiet).Decide(t.Context(), address, coordination.Request{Service: "svc"})
		return err == nil && answer.Decision == coordination.Unknown{}
	}
	var first string
	await.Until(t, 20*time.Second, "the named leader decides, and no other", func() bool {
		first = follower.View().Leader
		return first != "" && !slices.ContainsFunc(peers, func(p control.Peer) bool { return decides(p.Address) != (p.Address == first) })
	})
	stops[first]()
	delete(stops, first)
	await.Until(t, 20*time.Second, "the next leader decides", func() bool {
		leader := follower.View().Leader
		return leader != "" && leader != first && decides(leader)
	})
}
