package fleet_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// publishWeights announces a version of model m as the newest.
func (c *controlServer) publishWeights(version uint64) {
	c.source.Load().Publish(ledger.Installed{}, map[string]uint64{"m": version})
}

// newestAnnouncedAt waits until a follower knows a version, and returns when that was announced.
func newestAnnouncedAt(t *testing.T, f *fleet.Follower, version uint64) time.Time {
	t.Helper()
	waitFor(t, "the version is known", func() bool { return f.View().Weights["m"] == version })
	at, _ := f.View().WeightHistories["m"].NewestAnnouncedAt()
	return at
}

// A process that starts late must learn when a version was announced, even while a source that has
// restarted takes it for a new one. Once a version is enforced, that must outlive the sources'
// state.
func TestAnnouncementsKeepTheirAge(t *testing.T) {
	const late = 700 * time.Millisecond
	a, b := newControl(t), newControl(t)
	a.publishWeights(2)
	announcedAt := time.Now()
	time.Sleep(late)
	b.publishWeights(2)
	at := newestAnnouncedAt(t, follow(t, a, b), 2)
	waitFor(t, "the earlier announcement is known", func() bool {
		at = newestAnnouncedAt(t, follow(t, a, b), 2)
		return at.Sub(announcedAt) < late/2
	})
	a.restart()
	a.publishWeights(2)
	b.restart()
	b.publishWeights(2)
	f := follow(t, a, b)
	if again := newestAnnouncedAt(t, f, 2); again.Sub(announcedAt) < late {
		t.Errorf("announced %s ago according to the follower, although no source can know that any more", time.Since(again))
	}
	b.source.Load().RequireWeights(map[string]uint64{"m": 2})
	waitFor(t, "the version is enforced", func() bool { return f.View().WeightHistories["m"].Enforced() == 2 })
}

// The control log is unreachable for a process while no source answers that knows a leader.
// Afterwards the process must know when it was last unreachable.
func TestControlLogUnreachable(t *testing.T) {
	var leaderless, unavailable atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wire.NewFleetServer(stubSource{&leaderless}).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c := &controlServer{t: t, server: server}
	c.restart()
	f := follow(t, c)
	out := func() bool { return f.View().Contact.Unreachable(time.Now()) }
	waitFor(t, "the control log is reachable", func() bool { return !f.View().Contact.LastAnswer.IsZero() })
	if diff := cmp.Diff(true, f.View().Contact.LastUnreachable.IsZero()); diff != "" || out() {
		t.Error("unreachable before it was lost: ", diff)
	}
	for name, outage := range map[string]*atomic.Bool{"without a leader": &leaderless, "silent": &unavailable} {
		began := time.Now()
		outage.Store(true)
		waitFor(t, name+": the control log is unreachable", out)
		back := time.Now()
		outage.Store(false)
		waitFor(t, "the control log is reachable again", func() bool { return !out() })
		lost := f.View().Contact.LastUnreachable
		if lost.Before(began) || lost.After(back.Add(time.Second)) {
			t.Errorf("%s: last unreachable %s after the loss, which lasted %s", name, lost.Sub(began), back.Sub(began))
		}
	}
}

// stubSource is a source that publishes nothing but whether it knows a leader.
type stubSource struct{ leaderless *atomic.Bool }

func (l stubSource) Watch(context.Context, *wire.FleetRequest) (*wire.FleetResponse, error) {
	time.Sleep(20 * time.Millisecond)
	return &wire.FleetResponse{Epoch: 1, Leaderless: l.leaderless.Load()}, nil
}

func (l stubSource) Tell(context.Context, *wire.TellRequest) (*wire.TellResponse, error) {
	return &wire.TellResponse{}, nil
}

func (l stubSource) ConfigurationPieces(context.Context, *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	return &wire.ConfigurationResponse{}, nil
}
