package orders

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// requireInterval is how often the grace period of old weights is checked.
	requireInterval = time.Second
	// requireTimeout limits the commit of one required version.
	requireTimeout = time.Second
)

// Requirer commits to the control log which weight version has become required, that is, when the
// grace period has ended in which requests may begin on older ones. Entries determine this by
// themselves as long as any process has been running since the version was announced. The committed
// version covers a restart of all processes, which would otherwise begin the grace period of old
// weights again. Set the exported fields, then call Run.
type Requirer struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this replica leads in it.
	Leading func() (term uint64, ok bool)
	// CommitRequired commits that a version of a model is required.
	CommitRequired func(ctx context.Context, model string, version uint64) error
	// OldWeightsGrace is how long after the announcement of newer weights requests may begin on older
	// ones; 0 means without limit.
	OldWeightsGrace time.Duration
	// Log receives one line per event.
	Log *log.Logger
}

// Run commits required versions until ctx ends.
func (r *Requirer) Run(ctx context.Context) {
	if r.OldWeightsGrace == 0 {
		return
	}
	ticker := time.NewTicker(requireInterval)
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

// commitDue commits the versions that have become required, if this replica leads. A commit that fails
// is tried again at the next check.
func (r *Requirer) commitDue(ctx context.Context) {
	if _, leads := r.Leading(); !leads {
		return
	}
	view, now := r.View(), clock.Now()
	allowance := view.OldWeightsGrace(r.OldWeightsGrace, now)
	for model, h := range view.WeightHistories {
		version := h.Required(now, allowance)
		if version <= h.Enforced() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, requireTimeout)
		err := r.CommitRequired(ctx, model, version)
		cancel()
		line := r.Log.Info().Str("event", "weights_due").Str("model", model).Uint64("version", version)
		if err != nil {
			line = line.Str("error", err.Error())
		}
		line.Msg("")
	}
}
