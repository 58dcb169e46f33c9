package cli

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

const (
	// noticeTime is how long a process that stops still accepts new connections: the balancer asks each second and
	// believes the second refusal.
	noticeTime = 2500 * time.Millisecond
	// mostNoticeShare limits noticeTime where the process may take little time to end.
	mostNoticeShare = 0.4
	// servingShare is the part of that time after which the requests in progress are ended, and closingShare that after
	// which the connections are closed whether their callers have read their answers or not.
	servingShare, closingShare = 7.0 / 8, 15.0 / 16
	// drainInterval is how often it is checked whether anything is in progress.
	drainInterval = 20 * time.Millisecond
)

// drain stops the entry in order. First it is not ready, while new connections are still accepted. Then it answers the
// requests on the connections that exist, and refuses those that it cannot end in time. At the end it ends what is still in
// progress, so that callers know what became of their requests, and closes all connections.
func (e *platformEntry) drain() {
	began := clock.Now()
	at := func(share float64) time.Time { return began.Add(time.Duration(share * float64(e.grace))) }
	servingEnd, closingEnd := at(servingShare), at(closingShare)
	e.server.Stop(servingEnd)
	e.log.Info().Str("event", "entry_stops").Dur("serves_ms", servingEnd.Sub(began)).Int("serving", e.server.Serving()).Msg("")
	noticeEnd := began.Add(noticeTime)
	if latest := at(mostNoticeShare); latest.Before(noticeEnd) {
		noticeEnd = latest
	}
	time.Sleep(clock.Until(noticeEnd))
	e.limiter.StopAccepting()
	completed := e.awaitQuiet(servingEnd)
	ended := 0
	if !completed {
		e.limiter.EndReads()
		ended = e.server.EndAll()
		completed = e.awaitQuiet(closingEnd)
	}
	line := e.log.Info().Str("event", "entry_stopped").Dur("took_ms", clock.Since(began)).Int("ended", ended)
	if !completed {
		line = line.Int("cut", e.server.Cut()).Int64("cut_forwarded", e.forwarder.InFlight()).Int("cut_connections", e.limiter.Awaited())
	}
	line.Msg("")
	ctx, cancel := context.WithDeadline(context.Background(), clock.Deadline(closingEnd))
	defer cancel()
	// Errors mean that connections are still in use; they are closed below.
	_ = e.peers.Shutdown(ctx)
	_ = e.callers.Close()
	_ = e.peers.Close()
}

// awaitQuiet waits until no request is in progress and no connection is about to carry one, those of other entries
// included. It returns false if that is not so at the given time.
func (e *platformEntry) awaitQuiet(until time.Time) bool {
	for {
		if e.server.Serving() == 0 && e.forwarder.InFlight() == 0 && e.limiter.Awaited() == 0 {
			return true
		}
		if clock.Until(until) <= 0 {
			return false
		}
		time.Sleep(min(drainInterval, clock.Until(until)))
	}
}
