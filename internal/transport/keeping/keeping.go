// Package keeping watches stores of kept context while this replica leads the control log,
// tells entries what they hold, and frees the room of what is no longer wanted.
package keeping

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// pollWait is how long a store holds a question for changes; it is well below
	// keeping.FetchLease, and above what stores charge for as a probe (200 ms).
	pollWait = 400 * time.Millisecond
	// callTimeout bounds one call on top of its wait.
	callTimeout = time.Second
	// retryWait is the pause after a failed call, and while another replica leads.
	retryWait = 250 * time.Millisecond
	// watchInterval is how often the list of stores is looked at.
	watchInterval = 500 * time.Millisecond
	// relistAfter is how often a store's whole list is read: about one change in a hundred
	// is never told.
	relistAfter = 20 * time.Second
	// freeAtOnce bounds the parts of one call.
	freeAtOnce = 200
)

// Stores speaks to stores.
type Stores interface {
	// Changes waits until there are changes behind a mark, for wait at most.
	Changes(ctx context.Context, address string, since uint64, wait time.Duration) (keeping.Batch, error)
	// List returns everything that is whole.
	List(ctx context.Context, address string) (epoch, next uint64, held []keeping.StoredPart, err error)
	// Free frees parts, unless the store has restarted since epoch or its clock has passed
	// until.
	Free(ctx context.Context, address string, epoch uint64, until time.Duration, parts []keeping.Part) error
}

// StoreWatcher watches the stores. Set the exported fields, then Run.
type StoreWatcher struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Leading says whether this replica leads, and in which term; Confirm returns nil once
	// a majority has answered that it still does.
	Leading           func() (term uint64, ok bool)
	ConfirmLeadership func(context.Context) error
	// Source tells entries.
	Source *fleet.Source
	Stores Stores
	// Log receives one line for each event.
	Log *log.Logger
}

// Run watches until ctx ends.
func (k *StoreWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	watched := map[string]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		k.rewatch(ctx, watched, &group)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// rewatch starts and ends watches as the configuration and the leader change.
func (k *StoreWatcher) rewatch(ctx context.Context, watched map[string]context.CancelFunc, group *sync.WaitGroup) {
	wanted := map[string]deployment.Service{}
	if config := k.View().Config; config != nil {
		for _, s := range config.Services {
			if s.Store != nil {
				wanted[s.Store.Address] = s
			}
		}
	}
	for address, cancel := range watched {
		if _, ok := wanted[address]; !ok {
			cancel()
			delete(watched, address)
			k.Source.ForgetStore(address)
		}
	}
	for address, s := range wanted {
		if watched[address] != nil {
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		watched[address] = cancel
		group.Go(func() { k.watch(watch, *s.Store) })
	}
}

// watch follows one store, with a new book in each term.
func (k *StoreWatcher) watch(ctx context.Context, store deployment.Store) {
	for ctx.Err() == nil {
		term, ok := k.Leading()
		if ok {
			w := &watch{keeper: k, store: store, term: term, book: k.newBook(store)}
			w.run(ctx)
		}
		pause(ctx, retryWait)
	}
}

func (k *StoreWatcher) newBook(store deployment.Store) *keeping.StoreState {
	return &keeping.StoreState{
		Capacity: store.MemoryTokens, NewestVersion: func(model string) uint64 { return k.View().Weights[model] },
		OpenEpoch: k.View().Stores[store.Address].OpenEpoch,
	}
}

// watch is one store in one term of leadership.
type watch struct {
	keeper *StoreWatcher
	store  deployment.Store
	term   uint64
	book   *keeping.StoreState
	listed time.Time
	lost   bool
}

// run follows the store while this replica leads in the term.
func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		term, ok := w.keeper.Leading()
		if !ok || term != w.term {
			return
		}
		err := w.round(ctx)
		w.note(err)
		if err != nil {
			pause(ctx, retryWait)
		}
	}
}

// note logs when the store is lost and found.
func (w *watch) note(err error) {
	if (err != nil) == w.lost {
		return
	}
	w.lost = err != nil
	if w.lost {
		w.keeper.Log.Info().Str("event", "store_lost").Str("address", w.store.Address).Str("error", err.Error()).Msg("")
		return
	}
	w.keeper.Log.Info().Str("event", "store_reached").Str("address", w.store.Address).Uint64("epoch", w.book.Epoch()).Msg("")
}

// round reads the changes, makes sure that this replica still leads, and only then tells
// entries: whoever leads after it has not begun to free anything before.
func (w *watch) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	batch, err := w.keeper.Stores.Changes(ctx, w.store.Address, w.book.Next(), pollWait)
	if err != nil {
		return err
	}
	if w.book.ApplyBatch(batch) || clock.Since(w.listed) > relistAfter {
		epoch, next, held, err := w.keeper.Stores.List(ctx, w.store.Address)
		if err != nil {
			return err
		}
		w.book.ApplyList(epoch, next, held, batch.Clock)
		w.listed = clock.Now()
	}
	err = w.keeper.ConfirmLeadership(ctx)
	if err != nil {
		return err
	}
	w.keeper.Source.PublishStore(w.store.Address, keeping.StoreContents{
		Until: batch.Clock + keeping.FetchLease, Parts: w.book.Fetchable(batch.Clock),
		FreeTokens: w.book.FreeTokens(batch.Clock), OpenEpoch: w.book.CurrentOpenEpoch(batch.Clock),
	})
	return w.free(ctx, batch.Clock)
}

// free frees what may be freed.
func (w *watch) free(ctx context.Context, clock time.Duration) error {
	parts := w.book.Freeable(clock)
	if len(parts) == 0 {
		return nil
	}
	parts = parts[:min(len(parts), freeAtOnce)]
	err := w.keeper.Stores.Free(ctx, w.store.Address, w.book.Epoch(), clock+callTimeout, parts)
	line := w.keeper.Log.Info().Str("event", "parts_freed").Str("address", w.store.Address).Int("parts", len(parts))
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
	return err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
