package controlclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// replica is a replica of which only the read of the configuration is implemented.
type replica struct {
	wire.Control
	installed func(ctx context.Context) (*wire.InstalledResponse, error)
}

func (r replica) Installed(ctx context.Context, _ *wire.InstalledRequest) (*wire.InstalledResponse, error) {
	return r.installed(ctx)
}

// start serves a replica and returns its address.
func start(t *testing.T, installed func(ctx context.Context) (*wire.InstalledResponse, error)) string {
	t.Helper()
	server := httptest.NewUnstartedServer(wire.NewControlServer(replica{installed: installed}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = &protocols
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func notLeading(leader string) error {
	return twirp.NewError(twirp.Unavailable, "not leading").WithMeta(control.MetaLeader, leader)
}

// A leader whose machine failed does not answer, and its followers name it until they have elected another
// one. A call reaches the new leader while the attempt at the former one is still in progress.
func TestSilentLeaderDoesNotHoldCalls(t *testing.T) {
	var silent atomic.Bool
	var answered, timedOut atomic.Bool
	former := start(t, func(ctx context.Context) (*wire.InstalledResponse, error) {
		if !silent.Load() {
			return &wire.InstalledResponse{Version: 1}, nil
		}
		<-ctx.Done()
		if !answered.Load() {
			timedOut.Store(true)
		}
		return nil, ctx.Err()
	})
	const redirects = 4
	var asked atomic.Int64
	successor := start(t, func(context.Context) (*wire.InstalledResponse, error) {
		if !silent.Load() || asked.Add(1) <= redirects {
			return nil, notLeading(former)
		}
		answered.Store(true)
		return &wire.InstalledResponse{Version: 2}, nil
	})
	follower := start(t, func(context.Context) (*wire.InstalledResponse, error) {
		if answered.Load() {
			return nil, notLeading(successor)
		}
		return nil, notLeading(former)
	})
	client := controlclient.New(controlclient.StaticAddresses([]string{former, successor, follower}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, version := range []uint64{1, 2} {
		out, err := client.Installed(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if out.Version != version {
			t.Fatalf("version %d, not %d", out.Version, version)
		}
		silent.Store(true)
	}
	if timedOut.Load() {
		t.Error("the call waited until the attempt at the former leader had timed out")
	}
}

// A leader that is slow, but answers, is waited for, also while others name it.
func TestSlowLeaderIsWaitedFor(t *testing.T) {
	var attempts atomic.Int64
	followerAsked := make(chan struct{}, 1)
	leader := start(t, func(ctx context.Context) (*wire.InstalledResponse, error) {
		attempts.Add(1)
		select {
		case <-followerAsked:
		case <-ctx.Done():
		}
		return &wire.InstalledResponse{Version: 1}, nil
	})
	follower := start(t, func(context.Context) (*wire.InstalledResponse, error) {
		select {
		case followerAsked <- struct{}{}:
		default:
		}
		return nil, notLeading(leader)
	})
	client := controlclient.New(controlclient.StaticAddresses([]string{leader, follower}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Installed(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts at the leader", n)
	}
}
