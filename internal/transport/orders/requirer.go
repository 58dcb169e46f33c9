package orders

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// requireInterval is how often it is looked whether the time of old weights is over.
	requireInterval = time.Second
	// requireTimeout bounds the commit of one mark.
	requireTimeout = time.Second
)

// Requirer has the control log remember that the time is over for which requests may begin on
// old weights. Entries know it by themselves while any process has been running since the
// version was named; the mark is for when none has: without it, a kill of all processes would
// give old weights the whole time once more. Set the exported fields, then Run.
type Requirer struct {
	// View returns what is known of the fleet.
	View func() *fleet.View
	// Leading says whether this replica leads.
	Leading func() (term uint64, ok bool)
	// CommitRequired commits a mark.
	CommitRequired func(ctx context.Context, model string, version uint64) error
	// OldWeightsGrace is how long requests may begin on old weights; 0 is without an end.
	OldWeightsGrace time.Duration
	// Log receives one line for each event.
	Log *log.Logger
}

// Run looks until ctx ends.
func (r *Requirer) Run(ctx context.Context) {
	if r.OldWeightsGrace == 0 {
		return
	}
	ticker := time.NewTicker(requireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// look commits the marks that are due while this replica leads. One that fails is due again.
func (r *Requirer) look(ctx context.Context) {
	if _, leads := r.Leading(); !leads {
		return
	}
	view, now := r.View(), clock.Now()
	allowance := view.OldWeights(r.OldWeightsGrace, now)
	for model, h := range view.Named {
		version := h.Required(now, allowance)
		if version <= h.Due() {
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
