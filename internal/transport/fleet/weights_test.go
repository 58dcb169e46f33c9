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

// name publishes that a version of model m is the newest.
func (c *control) name(version uint64) {
	c.source.Load().Publish(ledger.Installed{}, map[string]uint64{"m": version})
}

// namedAt waits until a follower knows a version, and returns when that was named.
func namedAt(t *testing.T, f *fleet.Follower, version uint64) time.Time {
	t.Helper()
	wait(t, "the version is known", func() bool { return f.View().Weights["m"] == version })
	at, _ := f.View().WeightHistories["m"].NewestAnnouncedAt()
	return at
}

// Who starts late learns when a version was named, also while a source that has begun anew
// takes it for a new one; and once it is due, that outlives the sources' memory.
func TestNamingsKeepTheirAge(t *testing.T) {
	const late = 700 * time.Millisecond
	a, b := newControl(t), newControl(t)
	a.name(2)
	named := time.Now()
	time.Sleep(late)
	b.name(2)
	at := namedAt(t, follow(t, a, b), 2)
	wait(t, "the earlier of both holds", func() bool {
		at = namedAt(t, follow(t, a, b), 2)
		return at.Sub(named) < late/2
	})
	a.restart()
	a.name(2)
	b.restart()
	b.name(2)
	f := follow(t, a, b)
	if anew := namedAt(t, f, 2); anew.Sub(named) < late {
		t.Errorf("nobody can know any more that it was named %s ago", time.Since(anew))
	}
	b.source.Load().RequireWeights(map[string]uint64{"m": 2})
	wait(t, "the version is due", func() bool { return f.View().WeightHistories["m"].Enforced() == 2 })
}

// A process is out of reach of the control log while no source answers that knows a leader,
// and then knows since when it is in reach again.
func TestOutOfReach(t *testing.T) {
	var leaderless, mute atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if mute.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wire.NewFleetServer(lonely{&leaderless}).ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c := &control{t: t, server: server}
	c.restart()
	f := follow(t, c)
	out := func() bool { return f.View().Contact.Unreachable(time.Now()) }
	wait(t, "it is in reach", func() bool { return !f.View().Contact.LastAnswer.IsZero() })
	if diff := cmp.Diff(true, f.View().Contact.LastUnreachable.IsZero()); diff != "" || out() {
		t.Error("it was out of reach before: ", diff)
	}
	for name, lose := range map[string]*atomic.Bool{"without a leader": &leaderless, "silent": &mute} {
		began := time.Now()
		lose.Store(true)
		wait(t, name+", it is out of reach", out)
		back := time.Now()
		lose.Store(false)
		wait(t, "it is in reach again", func() bool { return !out() })
		lost := f.View().Contact.LastUnreachable
		if lost.Before(began) || lost.After(back.Add(time.Second)) {
			t.Errorf("%s: it was last out of reach %s after it began, for %s", name, lost.Sub(began), back.Sub(began))
		}
	}
}

// lonely is a source that tells nothing but whether it knows a leader.
type lonely struct{ leaderless *atomic.Bool }

func (l lonely) Watch(context.Context, *wire.FleetRequest) (*wire.FleetResponse, error) {
	time.Sleep(20 * time.Millisecond)
	return &wire.FleetResponse{Epoch: 1, Leaderless: l.leaderless.Load()}, nil
}

func (l lonely) Tell(context.Context, *wire.TellRequest) (*wire.TellResponse, error) {
	return &wire.TellResponse{}, nil
}

func (l lonely) ConfigurationPieces(context.Context, *wire.ConfigurationRequest) (*wire.ConfigurationResponse, error) {
	return &wire.ConfigurationResponse{}, nil
}
