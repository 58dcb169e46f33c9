package fleet_test

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// departingSource returns a source whose departures need copies at other control instances; it is in domain-0.
func departingSource(ctx context.Context, copies int) *fleet.Source {
	s := fleet.NewSource(ctx, time.Hour, discardLogger)
	s.Name, s.FailureDomain, s.Copies = "own", "domain-0", copies
	s.PublishControl([]fleet.ControlInstance{
		{Address: "own", FailureDomain: "domain-0"}, {Address: "near", FailureDomain: "domain-0"}, {Address: "far", FailureDomain: "domain-1"},
	})
	return s
}

// relay polls a source as another control instance does, until ctx ends; it reports nothing back while it is held.
func relay(ctx context.Context, s *fleet.Source, name, domain string, held *atomic.Bool) {
	in := &wire.FleetRequest{Name: name, FailureDomain: domain, Relays: true, Paged: true, WaitMilliseconds: 500}
	for ctx.Err() == nil {
		out, err := s.Watch(ctx, in)
		if err != nil {
			return
		}
		in.Epoch, in.Change, in.Backlog, in.ControlChange, in.FactsChange = out.Epoch, out.Change, out.Backlog, out.ControlChange, out.FactsChange
		if held != nil && held.Load() {
			<-ctx.Done()
		}
	}
}

// inBubble runs a test in a synctest bubble with the clock of package clock.
func inBubble(t *testing.T, test func(ctx context.Context)) {
	t.Helper()
	clocktest.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		test(ctx)
	})
}

// Guards against departures that are acknowledged while nobody else holds them: a departure must be held by as many other
// control instances as may be lost, one of them in another failure domain, and be refused in time otherwise.
func TestDepartureIsConfirmedByOthers(t *testing.T) {
	const inTime = 900 * time.Millisecond
	for name, c := range map[string]struct {
		copies    int
		relays    map[string]string
		held      bool
		confirmed bool
	}{
		"no copies are needed":               {copies: 0, confirmed: true},
		"nobody polls":                       {copies: 1},
		"another domain holds it":            {copies: 1, relays: map[string]string{"far": "domain-1"}, confirmed: true},
		"only the own domain holds it":       {copies: 1, relays: map[string]string{"near": "domain-0"}},
		"one of two":                         {copies: 2, relays: map[string]string{"far": "domain-1"}},
		"both":                               {copies: 2, relays: map[string]string{"near": "domain-0", "far": "domain-1"}, confirmed: true},
		"it was sent, but is not confirmed":  {copies: 1, relays: map[string]string{"far": "domain-1"}, held: true},
		"more copies than control instances": {copies: 5, relays: map[string]string{"near": "domain-0", "far": "domain-1"}, confirmed: true},
		"its own polls do not count":         {copies: 1, relays: map[string]string{"own": "domain-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				s := departingSource(ctx, c.copies)
				s.RecordHeartbeat(instance("x", 1))
				var held atomic.Bool
				for relayName, domain := range c.relays {
					go relay(ctx, s, relayName, domain, &held)
				}
				time.Sleep(time.Second)
				held.Store(c.held)
				s.RecordDeparture(registry.Incarnation{ID: "x"})
				began := time.Now()
				err := s.ConfirmDeparture(ctx, "x")
				if diff := cmp.Diff(c.confirmed, err == nil); diff != "" {
					t.Error(err, diff)
				}
				var unconfirmed *fleet.UnconfirmedError
				if err != nil && !errors.As(err, &unconfirmed) {
					t.Error(err)
				}
				if took := time.Since(began); took > inTime {
					t.Errorf("took %s", took)
				}
			})
		})
	}
}

// Departures that come in quick succession must be sent in batches, and all be confirmed in time.
func TestDeparturesInQuickSuccessionAreBatched(t *testing.T) {
	const n = 1000
	inBubble(t, func(ctx context.Context) {
		s := departingSource(ctx, 1)
		for i := range n {
			s.RecordHeartbeat(fleetInstance(i))
		}
		var polls atomic.Int64
		go func() {
			in := &wire.FleetRequest{Name: "far", FailureDomain: "domain-1", Relays: true, Paged: true, WaitMilliseconds: 500}
			for {
				out, err := s.Watch(ctx, in)
				if err != nil {
					return
				}
				polls.Add(1)
				in.Epoch, in.Change, in.Backlog, in.ControlChange = out.Epoch, out.Change, out.Backlog, out.ControlChange
			}
		}()
		time.Sleep(time.Second)
		polls.Store(0)
		failed := make(chan error, n)
		for i := range n {
			in := fleetInstance(i)
			s.RecordDeparture(in.Incarnation())
			go func() { failed <- s.ConfirmDeparture(ctx, in.ID) }()
			time.Sleep(time.Millisecond)
		}
		for range n {
			if err := <-failed; err != nil {
				t.Fatal(err)
			}
		}
		// One answer in 20 ms for 1 s, and those of the backlog.
		if got := polls.Load(); got > 60 {
			t.Errorf("%d answers for %d departures", got, n)
		}
	})
}

// A departure must be in the file before it is acknowledged, as all control instances may be killed at the same time.
func TestConfirmedDepartureIsPersisted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	s := fleet.NewSource(life, heartbeat, discardLogger)
	s.Persist(life, path)
	s.RecordHeartbeat(instance("x", 1))
	s.RecordDeparture(registry.Incarnation{ID: "x"})
	if err := s.ConfirmDeparture(t.Context(), "x"); err != nil {
		t.Fatal(err)
	}
	end()
	next := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	next.Persist(t.Context(), path)
	out, err := next.Watch(t.Context(), &wire.FleetRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Instances) != 1 || !out.Instances[0].Left {
		t.Errorf("restored %v", out.Instances)
	}
}

// The size of an adopted departure bounds what a release costs: each control instance sends it to each other one.
func TestDepartureSize(t *testing.T) {
	source := fleet.NewSource(t.Context(), time.Hour, discardLogger)
	in := fleetInstance(1)
	source.RecordHeartbeat(in)
	source.RecordDeparture(in.Incarnation())
	out, err := source.Watch(t.Context(), &wire.FleetRequest{Name: "far", Relays: true})
	if err != nil {
		t.Fatal(err)
	}
	size := proto.Size(out.Instances[0])
	t.Logf("%d bytes", size)
	if size > reportBytes+20 {
		t.Errorf("%d bytes", size)
	}
}
