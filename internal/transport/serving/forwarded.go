package serving

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// errLeaving reports that an instance has announced its shutdown to this entry.
var errLeaving = errors.New("the instance is leaving")

// Forward sends an attempt of another entry, which has lost its direct path. To the instance this entry is the
// sender, so the attempt obeys what the instance asked of this entry, and counts as load from it. send sends the
// attempt directly.
func (s *Server) Forward(ctx context.Context, a *exchange.Attempt, send func(context.Context, *exchange.Attempt) exchange.Reply) exchange.Reply {
	s.init()
	sent := clock.Now()
	if held := s.beginForwarded(a.Instance, sent); held != nil {
		return held
	}
	reply := send(ctx, a)
	now := clock.Now()
	latency := now.Sub(sent)
	if a.Delayed {
		latency = 0
	}
	end := sync.OnceFunc(func() { s.endForwarded(a.Instance, reply, latency) })
	s.mu.Lock()
	s.recordCondition(a.Instance, a.ID, exchange.ConditionOf(reply), sent, now)
	if fromInstance(reply) {
		s.balancer.RecordResponse(a.Instance.Incarnation(), now)
	}
	s.mu.Unlock()
	stream, ok := reply.(exchange.Stream)
	if !ok {
		end()
		return reply
	}
	stream.Events = &endedEvents{Events: stream.Events, end: end}
	return stream
}

// beginForwarded records that an attempt is sent, or returns the reply to one that the instance does not want.
func (s *Server) beginForwarded(in registry.Instance, now time.Time) exchange.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := in.Incarnation()
	if s.balancer.Leaving(of) {
		return exchange.Unreached{Err: errLeaving}
	}
	if rest := s.balancer.RestRemaining(of, now); rest > 0 {
		return exchange.NotRun{Status: http.StatusServiceUnavailable, Condition: exchange.Condition{RestFor: rest}}
	}
	s.balancer.BeginForwarded(in, now)
	return nil
}

func (s *Server) endForwarded(in registry.Instance, reply exchange.Reply, latency time.Duration) {
	result := balance.Result{Latency: latency}
	switch reply := reply.(type) {
	case exchange.Unreached:
		result = balance.Result{Failed: true, Unreachable: true, TimedOut: timedOut(reply, reply.Err)}
	case exchange.Broken:
		// The sender may have ended the attempt; what follows is decided there.
		result = balance.Result{Aborted: true}
	case exchange.NotRun:
		result = balance.Result{Refused: !reply.Misdirected, Failed: reply.Misdirected, Unreachable: reply.Misdirected}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.EndForwarded(in.Incarnation(), result, clock.Now())
}

// endedEvents calls end when a stream has been read or is abandoned.
type endedEvents struct {
	exchange.Events
	end func()
}

// Close ends the stream.
func (e *endedEvents) Close() {
	e.Events.Close()
	e.end()
}
