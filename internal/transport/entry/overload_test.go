package entry_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/shedrock/shedrock/internal/transport/entry"
)

// TestGreedyTeamDoesNotDelayOthers keeps hundreds of requests of one team queued while
// another team sends one request at a time. Between the arrival of such a request and
// its response, only a few requests of the greedy team may run, however many are
// queued. The result does not depend on the speed of the machine.
func TestGreedyTeamDoesNotDelayOthers(t *testing.T) {
	few := engineOptions()
	few.Slots, few.Queue = 4, 4
	s := newDeployment(t, few)
	s.declare()
	e := s.start(func(e *entry.Entry) { e.MaxWaiting = 40 })
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for range 200 {
		callers.Go(func() {
			for ctx.Err() == nil {
				res, err := client.Do(e.request(chat("greedy", false, 20)).WithContext(ctx))
				if err == nil {
					_ = res.Body.Close()
				}
			}
		})
	}
	eventually(t, "the greedy team's requests fill the queue", func() bool {
		a := e.send(t, "POST", "/v1/chat/completions", chat("greedy", false, 1))
		return a.status == http.StatusTooManyRequests
	})
	var runsStarted []int
	for range 20 {
		before := s.engines[0].RunsStarted()
		a := e.send(t, "POST", "/v1/chat/completions", chat("polite", false, 1), "Authorization", "Bearer "+otherKey)
		if a.status != http.StatusOK {
			t.Errorf("status %d: %s", a.status, a.body)
		}
		runsStarted = append(runsStarted, s.engines[0].RunsStarted()-before)
	}
	stop()
	callers.Wait()
	slices.Sort(runsStarted)
	// Use the median, because a request may be delayed before it arrives at the entry.
	median := runsStarted[len(runsStarted)/2]
	t.Logf("runs started while another team's request waited and ran: median %d, maximum %d; 4 slots, 200 greedy callers", median, runsStarted[len(runsStarted)-1])
	if median > 4*few.Slots {
		t.Fatalf("%d runs started before another team's request was answered", median)
	}
}

// TestRequestsDuringShutdownAreAnsweredOrRefused repeatedly stops an idle entry just as
// requests arrive. Each must be answered or refused. A request that begins unnoticed by
// the wait for requests in flight shows up as a data race.
func TestRequestsDuringShutdownAreAnsweredOrRefused(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	for range 15 {
		e := s.start()
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for {
					res, err := client.Get(e.url + "/v1/models")
					if err != nil {
						return
					}
					_ = res.Body.Close()
				}
			})
		}
		e.stop()
		<-e.ended
		callers.Wait()
	}
}
