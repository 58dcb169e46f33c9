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

// slowSource is a source that answers polls but no reports, as one that lacks CPU time.
type slowSource struct {
	address string
	// inFlight counts the reports in progress, and maxInFlight is its maximum.
	inFlight, maxInFlight, total atomic.Int64
}

func newSlowSource(t *testing.T) *slowSource {
	t.Helper()
	s := &slowSource{}
	source := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/Tell") {
			wire.NewFleetServer(source).ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.total.Add(1)
		n := s.inFlight.Add(1)
		for most := s.maxInFlight.Load(); n > most && !s.maxInFlight.CompareAndSwap(most, n); most = s.maxInFlight.Load() {
		}
		<-r.Context().Done()
		s.inFlight.Add(-1)
	}))
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

// An entry must send a source only one report of each kind at a time. Entries used to report
// failures, and ends, to each control instance up to ten times per second each, whether or not it
// had answered the previous reports. Each of 294 entries had up to 14 connections to an instance that
// was slow, which made it slower. In a large run, all control instances hung for seconds at a time
// once a network partition had healed, one had 4,096 open file descriptors, and there was no majority
// until the end.
func TestSlowSourceGetsOneReportOfAKindAtATime(t *testing.T) {
	const kinds = 2
	s := newSlowSource(t)
	tracker := &ends.Tracker{Entries: func() int { return 1 }, Metrics: ends.NewMetrics(), Log: discardLogger}
	failed := make(chan struct{}, 1)
	f := &fleet.Follower{
		Name: "e", Entry: true, Heartbeat: heartbeat, Ends: tracker, Log: discardLogger, FailuresPending: failed,
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
		recordEnd(tracker, fmt.Sprint("i-", i))
		<-time.After(100 * time.Millisecond)
	}
	if s.maxInFlight.Load() > kinds || s.total.Load() < kinds {
		t.Errorf("%d reports in progress at once of %d, must be at most %d", s.maxInFlight.Load(), s.total.Load(), kinds)
	}
}
