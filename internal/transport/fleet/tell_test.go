package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// stuck is a source that answers polls and no tellings, as one whose processor is too busy.
type stuck struct {
	address string
	// now counts the tellings under way, and most is the highest that it was.
	now, most, all atomic.Int64
}

func newStuck(t *testing.T) *stuck {
	t.Helper()
	s := &stuck{}
	source := fleet.NewSource(t.Context(), heartbeat, quiet)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/Tell") {
			wire.NewFleetServer(source).ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.all.Add(1)
		n := s.now.Add(1)
		for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
		}
		<-r.Context().Done()
		s.now.Add(-1)
	}))
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

// What was seen: on a large day all control instances stood still for seconds at a time from the end
// of a cut on, one had 4,096 file descriptors open, and there was no majority until the end.
//
// How it came about: entries told each control instance of failures, and of ends, up to ten times a
// second each, whether or not it had answered the last ones: up to 14 connections of each of 294
// entries at an instance that is slow, which made it slower.
//
// An entry tells a source one thing of a kind at a time.
func TestSlowSourcesAreToldOneThingAtATime(t *testing.T) {
	const kinds = 2
	s := newStuck(t)
	tracker := &ends.Tracker{Entries: func() int { return 1 }, Metrics: ends.NewMetrics(), Log: quiet}
	failed := make(chan struct{}, 1)
	f := &fleet.Follower{
		Name: "e", Entry: true, Heartbeat: heartbeat, Ends: tracker, Log: quiet, FailuresPending: failed,
		TakeFailures: func() []suspects.Failures {
			return []suspects.Failures{{Target: registry.Incarnation{ID: "x"}, Service: "s", Count: 1, Teams: 1, Expected: 1, Instances: 1, AllTeams: 1}}
		},
		Seeds: func() []string { return []string{s.address} }, Decode: decodeRoutes,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for i := range 15 {
		select {
		case failed <- struct{}{}:
		default:
		}
		see(tracker, fmt.Sprint("i-", i))
		<-time.After(100 * time.Millisecond)
	}
	if s.most.Load() > kinds || s.all.Load() < kinds {
		t.Errorf("%d tellings at once of %d, must be at most %d", s.most.Load(), s.all.Load(), kinds)
	}
}
