package serving

import (
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/readspeed"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// loadedDivisor defines loaded engines: those of whose memory less than 1/loadedDivisor is free.
const loadedDivisor = 2

// keptMinimum returns the number of shared tokens from which the parts of the prompt are kept in any
// store, and the function that returns that of one store.
func (j *job) keptMinimum(view *fleet.View) (lowest int, minimum func(address string) int) {
	speed := 0.0
	if view.Config.Tiered(j.service) {
		speed = j.server.readingSpeed(j.service)
	}
	if speed == 0 {
		return readspeed.DefaultMinTokens, func(string) int { return readspeed.DefaultMinTokens }
	}
	declared, tokenBytes := view.Config.Stores(), view.Config.Services[j.service].Engine.TokenBytes
	return readspeed.LowestMinTokens, func(address string) int {
		return readspeed.MinTokens(speed, declared[address], tokenBytes, j.instance.FailureDomain)
	}
}

// readingSpeed returns the reading speed of a service's engines in tokens per second, or 0 if it is
// not known.
func (s *Server) readingSpeed(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.reading[service]; e != nil {
		return e.Speed()
	}
	return 0
}

// computedTokens returns the number of tokens that the engine computes before the first piece: those of
// the parts that it is not told to fetch. What it has in its own memory is not known here, and is counted
// as computed.
func computedTokens(p *exchange.Prompt, fetch []exchange.PartLocation) int {
	n := 0
	for i, part := range p.Parts {
		if fetch == nil || fetch[i].Address == "" {
			n += part.Tokens
		}
	}
	return n
}

// recordEvent records that an event of the current attempt was read; ok is false if it must not be forwarded because a
// successor has taken over.
func (j *job) recordEvent() (ok bool) {
	if j.firstEventAt.IsZero() {
		j.firstEventAt = clock.Now()
		j.server.Ends.RecordBegun(j.parts)
	}
	return j.progress.count()
}

// recordReading counts the current attempt for the reading speed of the service's engines, if it began
// a stream. Only first attempts to engines that are not known to be loaded count:
//   - An attempt before may have left the prompt in the memory of the same engine, and a resumed run
//     computes the answer so far as well.
//   - At a loaded engine, the time to the first piece is mostly the wait for others. Under a load that
//     lasts, the speed would fall to that of the queue, and prompts so short would be kept that fetches
//     delay each other.
func (j *job) recordReading(sent time.Time) {
	view := j.server.View()
	if j.firstEventAt.IsZero() || j.attemptNumber != 1 || j.request.Resumes || j.request.Prompt == nil || !view.Config.Tiered(j.service) {
		return
	}
	if j.onLoadedEngine(view.Config.Services[j.service].Engine) {
		return
	}
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.reading[j.service]
	if e == nil {
		e = &readspeed.Estimator{}
		s.reading[j.service] = e
	}
	e.Record(j.computed, j.firstEventAt.Sub(sent))
	if speed := e.Speed(); speed > 0 {
		s.Metrics.readingSpeed.WithLabelValues(j.service).Set(speed)
	}
}

// onLoadedEngine reports whether the engine of the current attempt was known to be loaded when the
// attempt was sent.
func (j *job) onLoadedEngine(engine *deployment.Engine) bool {
	return j.waiting > 0 || j.memory.ok && j.memory.tokens*loadedDivisor < engine.MemoryTokens
}
