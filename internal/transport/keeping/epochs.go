package keeping

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// recordInterval is how often the published epochs are compared with the committed ones.
const recordInterval = time.Second

// EpochRecorder commits to the control log in which epochs the stores are open for saves, while some
// service is tiered. Leaders publish that as well, but what they publish is lost when all control
// instances are, and the next leader would keep the stores closed for the time of a lease. Only epochs
// that were published as open are committed: one that is committed earlier would open a store while parts
// of its earlier epochs may still be fetched. Set the exported fields, then call Run.
type EpochRecorder struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this replica leads in it.
	Leading func() (term uint64, ok bool)
	// Committed reads what was committed, and CommitOpen commits that a store is open in an epoch, or, with
	// epoch 0, that it is no longer in the configuration.
	Committed  func(context.Context) (keeping.Committed, error)
	CommitOpen func(ctx context.Context, address string, epoch uint64) error
	// Log receives one line per event.
	Log *log.Logger

	// term is the term in which committed was read.
	term      uint64
	committed map[string]uint64
}

// Run commits epochs until ctx ends.
func (r *EpochRecorder) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.commitDue(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// commitDue commits the differences between the published and the committed epochs, if this replica leads.
// A call that fails is made again at the next check.
func (r *EpochRecorder) commitDue(ctx context.Context) {
	term, leads := r.Leading()
	view := r.View()
	if !leads || view.Config == nil || !view.Config.AnyTiered() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if term != r.term {
		committed, err := r.Committed(ctx)
		if err != nil {
			r.Log.Info().Str("event", "store_epochs_unread").Str("error", err.Error()).Msg("")
			return
		}
		r.term = term
		r.committed = map[string]uint64{}
		maps.Copy(r.committed, committed.OpenEpochs)
	}
	due := dueEpochs(view.Stores, view.Config.Stores(), r.committed)
	for _, address := range slices.Sorted(maps.Keys(due)) {
		err := r.CommitOpen(ctx, address, due[address])
		if err != nil {
			r.Log.Info().Str("event", "store_epoch_uncommitted").Str("address", address).Uint64("epoch", due[address]).Str("error", err.Error()).Msg("")
			return
		}
		r.committed[address] = due[address]
	}
}

// dueEpochs returns the epochs to commit by the stores' addresses, 0 for stores that are no longer declared.
func dueEpochs(published map[string]keeping.StoreContents, declared map[string]deployment.Store, committed map[string]uint64) map[string]uint64 {
	due := map[string]uint64{}
	for address := range declared {
		if epoch := published[address].OpenEpoch; epoch != 0 && epoch != committed[address] {
			due[address] = epoch
		}
	}
	for address, epoch := range committed {
		if _, ok := declared[address]; !ok && epoch != 0 {
			due[address] = 0
		}
	}
	return due
}
