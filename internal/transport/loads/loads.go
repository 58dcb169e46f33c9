// Package loads asks engines for their queues and the memory that is taken there, while this
// replica leads the control log, and tells entries.
//
// Entries choose by what they see of their own requests, and each of many entries sees one
// request at an engine now and then: a queue of two seconds at one engine is made of requests
// of different entries, and none of them knows.
package loads

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// askInterval is how often an engine is asked: a long prompt is read in 0.2 to 0.3 s, and
	// then keeps its memory for about 2 s.
	askInterval = 200 * time.Millisecond
	// mostAsked bounds the questions a second, so that more engines are asked less often: one
	// takes a control instance about 0.1 ms of processor time. With 150, 163 engines were asked
	// each 1.1 s, and 0.74 of the long prompts of a replayed burst were in time; with this each
	// 0.33 s, and 0.88 (TestLargeFleetNeedsFreshLoads in package balance).
	mostAsked = 500
	// atOnce bounds the questions under way: a quarter of 163 engines that fell dark at once are
	// waited for in a single turn.
	atOnce = 64
	// answerTime is how long a turn waits for an engine that answered before: a lost packet is sent
	// again after 0.2 s, and all entries send on to an engine that fell dark until a turn has ended
	// without it.
	answerTime = 400 * time.Millisecond
	// lostInterval is how often an engine is asked that did not answer, and lostAtOnce how many
	// of them in one turn: a question to a dark engine takes a second until it is given up.
	lostInterval = time.Second
	lostAtOnce   = 16
	// idleInterval is the pause while another replica leads.
	idleInterval = 250 * time.Millisecond
)

// Engines speaks to engines.
type Engines interface {
	// Usage returns how many requests wait at an engine, and how much of its memory is taken. The
	// error is a registry.StartedAgainError when another start of the engine answered.
	Usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error)
}

// Poller asks the engines. Set the exported fields, then Run.
type Poller struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Leading says whether this replica leads.
	Leading func() (term uint64, ok bool)
	Engines Engines
	// Source tells entries.
	Source *fleet.Source
	// Log receives one line for each event.
	Log *log.Logger

	// probes are the questions under way that no turn waits for.
	probes sync.WaitGroup

	mu sync.Mutex
	// lost holds when the engines that do not answer were last asked; it is guarded by mu.
	lost map[registry.Incarnation]time.Time
}

// Run asks until ctx ends.
func (w *Poller) Run(ctx context.Context) {
	defer w.probes.Wait()
	for ctx.Err() == nil {
		began := clock.Now()
		interval := idleInterval
		if _, leads := w.Leading(); leads {
			engines := enginesOf(w.View())
			interval = max(askInterval, time.Duration(len(engines))*time.Second/mostAsked)
			w.Source.PublishLoads(w.ask(ctx, engines), interval)
		} else {
			w.Source.PublishLoads(nil, 0)
		}
		select {
		case <-time.After(clock.Until(began.Add(interval))):
		case <-ctx.Done():
		}
	}
}

func enginesOf(view *fleet.View) []registry.Instance {
	var out []registry.Instance
	if view.Config == nil {
		return nil
	}
	for name, service := range view.Config.Services {
		if service.Engine != nil {
			out = append(out, view.Instances[name]...)
		}
	}
	return out
}

// ask asks all engines; those that do not answer are left out, as nothing is known of them. Those
// that did not answer before are asked now and then, and not waited for.
func (w *Poller) ask(ctx context.Context, engines []registry.Instance) map[registry.Incarnation]balance.EngineLoad {
	sound, lost := w.part(engines, clock.Now())
	for _, in := range lost {
		// What it answers is noted; the next turn asks it with the others.
		w.probes.Go(func() { _, _ = w.usage(ctx, in) })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, atOnce)
	out := make(map[registry.Incarnation]balance.EngineLoad, len(engines))
	for _, in := range sound {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, answerTime)
			defer cancel()
			load, err := w.usage(ctx, in)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[in.Incarnation()] = load
		})
	}
	wg.Wait()
	return out
}

// usage asks one engine, and notes whether it answers.
func (w *Poller) usage(ctx context.Context, in registry.Instance) (balance.EngineLoad, error) {
	load, err := w.Engines.Usage(ctx, in)
	var again *registry.StartedAgainError
	if errors.As(err, &again) {
		w.Source.StartedAgain(again)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(in, err)
	return load, err
}

// part parts the engines that answer from those that did not and are to be asked again, and
// forgets those that are gone.
func (w *Poller) part(engines []registry.Instance, now time.Time) (sound, again []registry.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := make(map[registry.Incarnation]time.Time, len(w.lost))
	for _, in := range engines {
		at, isLost := w.lost[in.Incarnation()]
		if !isLost {
			sound = append(sound, in)
			continue
		}
		if now.Sub(at) >= lostInterval && len(again) < lostAtOnce {
			at = now
			again = append(again, in)
		}
		lost[in.Incarnation()] = at
	}
	w.lost = lost
	return sound, again
}

// note logs when an engine's answers are lost and found; mu must be held.
func (w *Poller) note(in registry.Instance, err error) {
	if w.lost == nil {
		w.lost = map[registry.Incarnation]time.Time{}
	}
	_, lost := w.lost[in.Incarnation()]
	if (err != nil) == lost {
		return
	}
	if err != nil {
		w.lost[in.Incarnation()] = clock.Now()
		w.Log.Info().Str("event", "engine_not_heard").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("address", in.Address).Str("error", err.Error()).Msg("")
		return
	}
	delete(w.lost, in.Incarnation())
	w.Log.Info().Str("event", "engine_heard").Str("instance", in.ID).Int64("start", int64(in.Start)).Str("address", in.Address).Msg("")
}
