// Package keeping watches the stores of kept context, the KV cache of prompt parts, while this
// replica leads the control log. It publishes to entries what the stores hold, and frees the parts
// that are no longer needed.
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
	// pollWait is how long a store holds a request for changes when there are none (long polling).
	// It is well below keeping.FetchLease, and above 200 ms: a wait of 200 ms or less would be
	// counted by stores as a probe.
	pollWait = 400 * time.Millisecond
	// callTimeout limits a round of calls to a store, in addition to pollWait.
	callTimeout = time.Second
	// retryWait is the pause after a failed round.
	retryWait = 250 * time.Millisecond
	// checkInterval is how often the configuration is looked at for other stores, and while another replica
	// leads, the leadership. After a loss of all processes, entries place prompts without the stores until a
	// leader has read them.
	checkInterval = 50 * time.Millisecond
	// relistInterval is how often the complete list of a store is read: about 1% of the changes
	// are never reported.
	relistInterval = 20 * time.Second
	// maxFreeParts limits the parts in one Free call.
	maxFreeParts = 200
)

// Stores is the client for stores.
type Stores interface {
	// Changes returns the changes after the position since. If there are none, it waits for them
	// for at most wait.
	Changes(ctx context.Context, address string, since uint64, wait time.Duration) (keeping.Batch, error)
	// List returns all complete parts, the store's epoch and the position for the next Changes call.
	List(ctx context.Context, address string) (epoch, next uint64, held []keeping.StoredPart, err error)
	// Free frees parts, unless the store has restarted since epoch or its clock is past until.
	Free(ctx context.Context, address string, epoch uint64, until time.Duration, parts []keeping.Part) error
}

// Publisher publishes the contents of stores to entries.
type Publisher interface {
	PublishStore(address string, contents keeping.StoreContents)
	ForgetStore(address string)
}

// StoreWatcher watches the stores. Set the exported fields, then call Run.
type StoreWatcher struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this replica leads in it. ConfirmLeadership
	// returns nil once a majority has confirmed that it still leads.
	Leading           func() (term uint64, ok bool)
	ConfirmLeadership func(context.Context) error
	// Committed reads what earlier leaders have committed to the control log. It is read at the beginning
	// of each term while some service is tiered.
	Committed func(context.Context) (keeping.Committed, error)
	// CommitSaves commits saves to the control log and returns which of them it holds now. CommitEnds commits that
	// nothing of saves can be written any more, and CommitRecorded that all saves that may be are recorded.
	CommitSaves    func(context.Context, []keeping.Save) ([]bool, error)
	CommitEnds     func(context.Context, []keeping.Save) error
	CommitRecorded func(context.Context) error
	// FirstStart is true if the whole system started for the first time with this process, so that no saves were ordered
	// before.
	FirstStart bool
	// Source publishes the contents of the stores to entries.
	Source  Publisher
	Stores  Stores
	Engines Engines
	// Metrics, when set, receives the counts.
	Metrics *Metrics
	// OnFreed, when set, is called with the number of parts that were freed.
	OnFreed func(reason keeping.FreeReason, parts int)
	// Log receives one line per event.
	Log *log.Logger

	mu sync.Mutex
	// term is the state of the current term, or nil; it is guarded by mu.
	term *termSaves
}

// Run watches the stores until ctx ends.
func (k *StoreWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	watched := map[string]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { k.resolveSaves(ctx) })
	var current *deployment.Config
	for {
		if config := k.View().Config; config != current {
			current = config
			k.updateWatches(ctx, config, watched, &group)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateWatches starts and stops watches so that all stores of a configuration are watched.
func (k *StoreWatcher) updateWatches(ctx context.Context, config *deployment.Config, watched map[string]context.CancelFunc, group *sync.WaitGroup) {
	wanted := map[string]deployment.Service{}
	if config != nil {
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
		watchCtx, cancel := context.WithCancel(ctx)
		watched[address] = cancel
		group.Go(func() { k.watch(watchCtx, *s.Store) })
	}
}

// watch watches one store until ctx ends, with a new StoreState in each term in which this replica leads.
func (k *StoreWatcher) watch(ctx context.Context, store deployment.Store) {
	for ctx.Err() == nil {
		term, ok := k.Leading()
		if !ok {
			pause(ctx, checkInterval)
			continue
		}
		k.watchTerm(ctx, store, term)
		pause(ctx, retryWait)
	}
}

// watchTerm watches one store while this replica leads in a term.
func (k *StoreWatcher) watchTerm(ctx context.Context, store deployment.Store, term uint64) {
	committed, err := k.readCommitted(ctx)
	if err != nil {
		k.Log.Info().Str("event", "store_epochs_unread").Str("address", store.Address).Str("error", err.Error()).Msg("")
		return
	}
	saves := k.savesOf(term, committed)
	state := k.newState(store, committed)
	state.Saves = saves.table
	w := &termWatch{watcher: k, store: store, saves: saves, state: state}
	saves.addWatch(w)
	defer saves.removeWatch(w)
	w.run(ctx)
}

// readCommitted reads what earlier leaders have committed. Of that, epochs and weights are used only while some
// service is tiered: otherwise no epochs are committed.
func (k *StoreWatcher) readCommitted(ctx context.Context) (keeping.Committed, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	committed, err := k.Committed(ctx)
	if err != nil {
		return keeping.Committed{}, err
	}
	if config := k.View().Config; config == nil || !config.AnyTiered() {
		return keeping.Committed{SharedSince: committed.SharedSince, Saves: committed.Saves, SavesRecorded: committed.SavesRecorded}, nil
	}
	return committed, nil
}

// newState returns the state of a store at the beginning of a term. The committed weight versions are
// counted in because the view may not include them yet just after all control instances have started. An
// earlier leader may have begun to free parts of older ones, and a store that is open at once could
// receive them again while they are fetched by names that this leader published.
func (k *StoreWatcher) newState(store deployment.Store, committed keeping.Committed) *keeping.StoreState {
	// The result of SharedSince never decreases, as parts may have been freed by it.
	highest := committed.SharedSince
	return &keeping.StoreState{
		Capacity: store.MemoryTokens, Address: store.Address,
		SharedSince: func() uint64 {
			highest = max(highest, sharedSince(k.View().Config))
			return highest
		},
		NewestVersion:  func(model string) uint64 { return max(k.View().Weights[model], committed.Weights[model]) },
		OpenEpoch:      k.View().Stores[store.Address].OpenEpoch,
		CommittedEpoch: committed.OpenEpochs[store.Address],
	}
}

// sharedSince returns the version since which teams share KV cache by a configuration, or 0 if there is none.
func sharedSince(config *deployment.Config) uint64 {
	if config == nil {
		return 0
	}
	return config.SharedSince
}

// termWatch is the watch of one store during one term of leadership.
type termWatch struct {
	watcher     *StoreWatcher
	store       deployment.Store
	saves       *termSaves
	listedAt    time.Time
	unreachable bool

	// The fields below are guarded by the mu of saves.

	state *keeping.StoreState
	// clock is that of the last batch by which contents were published, and isAhead is true while state includes a
	// later batch.
	clock   time.Duration
	isAhead bool
}

// run watches the store while this replica leads in the term.
func (w *termWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		term, ok := w.watcher.Leading()
		if !ok || term != w.saves.term {
			return
		}
		err := w.round(ctx)
		w.logReachability(err)
		if err != nil {
			pause(ctx, retryWait)
		}
	}
}

// logReachability logs when the store becomes unreachable and reachable again.
func (w *termWatch) logReachability(err error) {
	if (err != nil) == w.unreachable {
		return
	}
	w.unreachable = err != nil
	if w.unreachable {
		w.watcher.Log.Info().Str("event", "store_lost").Str("address", w.store.Address).Str("error", err.Error()).Msg("")
		return
	}
	w.watcher.Log.Info().Str("event", "store_reached").Str("address", w.store.Address).Uint64("epoch", w.state.Epoch()).Msg("")
}

// round reads the changes, confirms that this replica still leads, and only then publishes the parts
// to entries. So no later leader can have begun to free any of these parts before they were read.
func (w *termWatch) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+pollWait)
	defer cancel()
	batch, err := w.watcher.Stores.Changes(ctx, w.store.Address, w.next(), pollWait)
	if err != nil {
		return err
	}
	if w.applyBatch(batch) || clock.Since(w.listedAt) > relistInterval {
		epoch, next, held, err := w.watcher.Stores.List(ctx, w.store.Address)
		if err != nil {
			return err
		}
		w.applyList(epoch, next, held, batch.Clock)
		w.listedAt = clock.Now()
	}
	err = w.watcher.ConfirmLeadership(ctx)
	if err != nil {
		return err
	}
	w.publishRead(batch.Clock)
	w.saves.settle(ctx)
	return w.free(ctx, batch.Clock)
}

func (w *termWatch) next() uint64 {
	w.saves.mu.Lock()
	defer w.saves.mu.Unlock()
	return w.state.Next()
}

func (w *termWatch) applyBatch(batch keeping.Batch) (needList bool) {
	w.saves.mu.Lock()
	defer w.saves.mu.Unlock()
	w.isAhead = true
	return w.state.ApplyBatch(batch)
}

func (w *termWatch) applyList(epoch, next uint64, held []keeping.StoredPart, clock time.Duration) {
	w.saves.mu.Lock()
	defer w.saves.mu.Unlock()
	if known := w.state.Epoch(); epoch != known {
		w.watcher.Log.Info().Str("event", "store_epoch").Str("address", w.store.Address).Uint64("epoch", epoch).Uint64("before", known).Int("parts", len(held)).Msg("")
	}
	w.state.ApplyList(epoch, next, held, clock)
}

// publishRead publishes what was read at a clock time, after a majority has confirmed that this replica still leads.
func (w *termWatch) publishRead(clock time.Duration) {
	w.saves.mu.Lock()
	defer w.saves.mu.Unlock()
	w.clock, w.isAhead = clock, false
	w.publish()
}

// publish publishes what was read at w.clock. The mu of saves must be held.
func (w *termWatch) publish() {
	contents := keeping.StoreContents{
		Until: w.clock + keeping.FetchLease, Epoch: w.state.Epoch(), Parts: w.state.Fetchable(w.clock),
		FreeTokens: w.state.FreeTokens(w.clock), OpenEpoch: w.state.CurrentOpenEpoch(w.clock),
	}
	if !w.saves.isRecorded() {
		contents.Parts = nil
	}
	w.watcher.Source.PublishStore(w.store.Address, contents)
}

// free frees the parts that are no longer needed and that no entry may still fetch.
func (w *termWatch) free(ctx context.Context, clock time.Duration) error {
	w.saves.mu.Lock()
	freeable, epoch := w.state.Freeable(clock), w.state.Epoch()
	w.saves.mu.Unlock()
	for reason, parts := range freeable {
		parts = parts[:min(len(parts), maxFreeParts)]
		err := w.watcher.Stores.Free(ctx, w.store.Address, epoch, clock+callTimeout, parts)
		line := w.watcher.Log.Info().Str("event", "parts_freed").Str("address", w.store.Address).Str("reason", string(reason)).Int("parts", len(parts))
		if err != nil {
			line.Str("error", err.Error()).Msg("")
			return err
		}
		line.Msg("")
		if w.watcher.OnFreed != nil {
			w.watcher.OnFreed(reason, len(parts))
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
