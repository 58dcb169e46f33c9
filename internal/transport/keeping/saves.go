package keeping

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/orders"
)

const (
	// resolveInterval is how often saves are looked for of which only their engines know whether they have ended.
	resolveInterval = 500 * time.Millisecond
	// maxConcurrentChecks limits the engines that are asked at the same time.
	maxConcurrentChecks = 8
)

// Engines is the client for the engines that save parts.
type Engines interface {
	// Report queries an engine. The error is a registry.RestartedError or orders.ErrOtherInstance when another
	// incarnation answers.
	Report(ctx context.Context, in registry.Instance) (orders.EngineReport, error)
}

// termSaves is the state of all stores during one term of leadership.
type termSaves struct {
	watcher *StoreWatcher
	term    uint64
	// settling is held while ends are committed.
	settling sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu.

	table   *keeping.SaveTable
	watches map[string]*termWatch
}

// beginTerm reads what the control log holds at the beginning of a term, whether or not any store is known yet.
func (k *StoreWatcher) beginTerm(ctx context.Context) {
	term, leads := k.Leading()
	if !leads || k.currentSaves() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	committed, err := k.Committed(ctx)
	if err == nil {
		k.savesOf(term, committed).settle(ctx)
	}
}

// savesOf returns the state of a term, with what the control log held at its beginning: in a term, the saves that it
// holds are changed by the leader only.
func (k *StoreWatcher) savesOf(term uint64, committed keeping.Committed) *termSaves {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term == nil || k.term.term < term {
		k.term = &termSaves{watcher: k, term: term, table: keeping.NewSaveTable(committed, clock.Now()), watches: map[string]*termWatch{}}
	}
	return k.term
}

// currentSaves returns the state of the term in which this replica leads, or nil if it does not lead or knows no store.
func (k *StoreWatcher) currentSaves() *termSaves {
	term, leads := k.Leading()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !leads || k.term == nil || k.term.term != term {
		return nil
	}
	return k.term
}

func (s *termSaves) addWatch(w *termWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[w.store.Address] = w
}

func (s *termSaves) removeWatch(w *termWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[w.store.Address] == w {
		delete(s.watches, w.store.Address)
	}
}

// isRecorded reports whether every save that may be under way is in the table; mu must be held.
func (s *termSaves) isRecorded() bool {
	if s.watcher.FirstStart {
		return true
	}
	longest := time.Duration(0)
	if config := s.watcher.View().Config; config != nil {
		for _, r := range config.Routes {
			longest = max(longest, r.Timeout)
		}
	}
	return s.table.IsRecorded(longest, clock.Now())
}

// Begin records saves of prompt parts to stores, before they are ordered.
func (k *StoreWatcher) Begin(ctx context.Context, in *wire.BeginSavesRequest) (*wire.BeginSavesResponse, error) {
	saves, ok := wire.ToSaves(in.Saves)
	if !ok {
		return nil, twirp.InvalidArgumentError("saves", "a save needs a store, a part, a holder and an engine")
	}
	s := k.currentSaves()
	if s == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this replica does not lead")
	}
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Canceled, "the entry does not wait any more")
	}
	results := s.begin(context.WithoutCancel(ctx), saves)
	return &wire.BeginSavesResponse{Results: wire.FromSaveResults(results)}, nil
}

// begin reserves and commits saves.
func (s *termSaves) begin(ctx context.Context, saves []keeping.Save) []keeping.SaveResult {
	results := s.reserve(saves)
	var reserved []keeping.Save
	for i, save := range saves {
		if results[i] == keeping.SaveGranted {
			reserved = append(reserved, save)
		}
	}
	if len(reserved) > 0 {
		recorded := s.commitSaves(ctx, reserved)
		for i, save := range saves {
			if results[i] == keeping.SaveGranted && !recorded[save.Part] {
				results[i] = keeping.SaveClosed
			}
		}
	}
	for _, result := range results {
		s.watcher.Metrics.countSave(result)
	}
	return results
}

// reserve adds the saves to the table that their stores take. Nothing is published as fetchable from then on that
// they may write.
func (s *termSaves) reserve(saves []keeping.Save) []keeping.SaveResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	results := make([]keeping.SaveResult, len(saves))
	for i, save := range saves {
		w := s.watches[save.Store]
		if w == nil {
			continue
		}
		if s.table.IsPending(save.Store, save.Part) || w.state.Takes(save.Part, save.Tokens, w.clock) {
			results[i] = s.table.Reserve(save, now)
		}
	}
	return results
}

// commitSaves commits reserved saves, and returns of which parts the control log holds them.
func (s *termSaves) commitSaves(ctx context.Context, saves []keeping.Save) map[keeping.Part]bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	recorded, err := s.watcher.CommitSaves(ctx, saves)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.watcher.Log.Info().Str("event", "saves_uncommitted").Int("saves", len(saves)).Str("holder", saves[0].Holder).Str("error", err.Error()).Msg("")
		// They may be committed later, but before their ends.
		for _, save := range saves {
			s.table.Commit(save, true)
		}
		s.table.End(saves[0].Holder, keeping.SaveNotOrdered, clock.Now())
		return nil
	}
	out := map[keeping.Part]bool{}
	for i, save := range saves {
		s.table.Commit(save, recorded[i])
		out[save.Part] = recorded[i]
		s.watcher.Log.Info().Str("event", "save_begins").Str("address", save.Store).Str("salt", save.Salt).Str("part", save.ID).Int("tokens", save.Tokens).
			Str("holder", save.Holder).Str("instance", save.Engine.ID).Int64("start", int64(save.Engine.Start)).Bool("recorded", recorded[i]).Dur("remaining_ms", save.Remaining).Msg("")
	}
	return out
}

// End takes saves that have ended, or were never ordered.
func (k *StoreWatcher) End(ctx context.Context, in *wire.EndSavesRequest) (*wire.EndSavesResponse, error) {
	s := k.currentSaves()
	if s == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this replica does not lead")
	}
	s.mu.Lock()
	now := clock.Now()
	for i, holder := range in.Holders {
		if i < len(in.Ends) {
			s.table.End(holder, wire.ToSaveEnd(in.Ends[i]), now)
		}
	}
	s.mu.Unlock()
	s.settle(context.WithoutCancel(ctx))
	return &wire.EndSavesResponse{}, nil
}

// settle commits the end of the saves after which nothing can be written any more, and publishes what they have held
// back.
func (s *termSaves) settle(ctx context.Context) {
	s.settling.Lock()
	defer s.settling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.commitRecorded(ctx)
	s.mu.Lock()
	due := s.table.Settled(s.isHeld, clock.Now())
	s.mu.Unlock()
	if len(due) == 0 {
		return
	}
	err := s.watcher.CommitEnds(ctx, due)
	if err != nil {
		s.watcher.Log.Info().Str("event", "saves_not_ended").Int("saves", len(due)).Str("error", err.Error()).Msg("")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, save := range due {
		s.watcher.Log.Info().Str("event", "save_ends").Str("address", save.Store).Str("salt", save.Salt).Str("part", save.ID).Str("holder", save.Holder).
			Str("instance", save.Engine.ID).Bool("held", s.isHeld(save.Store, save.Part)).Msg("")
	}
	s.table.Remove(due)
	for _, w := range s.watches {
		isConcerned := slices.ContainsFunc(due, func(save keeping.Save) bool { return save.Store == w.store.Address })
		// The commit confirms the leadership only for what was read before it.
		if isConcerned && !w.isAhead {
			w.publish()
		}
	}
}

// commitRecorded commits that every save that may be under way is recorded, once that is so.
func (s *termSaves) commitRecorded(ctx context.Context) {
	s.mu.Lock()
	isDue := s.isRecorded() && !s.table.IsCommittedRecorded()
	s.mu.Unlock()
	if !isDue {
		return
	}
	err := s.watcher.CommitRecorded(ctx)
	s.watcher.Log.Info().Str("event", "saves_recorded").Bool("committed", err == nil).Msg("")
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRecorded()
}

// isHeld reports whether a store has a complete part; mu must be held.
func (s *termSaves) isHeld(store string, part keeping.Part) bool {
	w := s.watches[store]
	return w != nil && w.state.Holds(part)
}

// resolveSaves finds out from engines, until ctx ends, whether they have ended requests whose end no entry has
// reported.
func (k *StoreWatcher) resolveSaves(ctx context.Context) {
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		k.beginTerm(ctx)
		if s := k.currentSaves(); s != nil {
			s.resolve(ctx)
		}
	}
}

func (s *termSaves) resolve(ctx context.Context) {
	s.mu.Lock()
	unresolved := s.table.TakeUnresolved(clock.Now())
	s.watcher.Metrics.setPending(s.table.Len())
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentChecks)
	for _, save := range unresolved {
		group.Go(func() error {
			proof := s.proofOfEnd(ctx, save)
			if proof == "" {
				return nil
			}
			s.watcher.Log.Info().Str("event", "save_resolved").Str("address", save.Store).Str("part", save.ID).Str("holder", save.Holder).Str("instance", save.Engine.ID).Str("proof", proof).Msg("")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.table.End(save.Holder, keeping.SaveEnded, clock.Now())
			return nil
		})
	}
	// The checks return no error.
	_ = group.Wait()
	if len(unresolved) > 0 {
		s.settle(ctx)
	}
}

// proofOfEnd returns why it is certain that an engine has ended a request, or an empty text. Silence is no proof: an
// engine that cannot be reached, or is suspended, may still write to a store.
func (s *termSaves) proofOfEnd(ctx context.Context, save keeping.UnresolvedSave) string {
	in := registry.Instance{ID: save.Engine.ID, Start: save.Engine.Start, Address: save.EngineAddress}
	if s.watcher.View().Superseded(in) {
		return "superseded"
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.watcher.Engines.Report(ctx, in)
	var restarted *registry.RestartedError
	switch {
	case err == nil && save.IsOverdue:
		return "deadline"
	case err == nil && report.HasEnded(save.Request):
		return "not_running"
	case errors.As(err, &restarted), errors.Is(err, orders.ErrOtherInstance):
		return "restarted"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "no_process"
	}
	return ""
}
