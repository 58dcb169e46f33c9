package streams

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// recordInterval is how often the software versions in the view are compared with the recorded ones.
	recordInterval = 50 * time.Millisecond
	// recordTimeout bounds a round of commits.
	recordTimeout = time.Second
)

// VersionRecorder commits to the control log which software versions each service has, while this control instance
// leads. A version is recorded before streams begin there, and removed once none of them can go on any more: so the log
// shows also after a loss of all processes whether streams have begun at one version only. Set the exported fields, then
// call Run.
type VersionRecorder struct {
	// View returns the current state of the fleet.
	View func() *fleet.View
	// Leading returns the current term, and whether this control instance leads in it.
	Leading func() (term uint64, ok bool)
	// Recorded reads what was committed, and Record commits the versions of a service, or with none of them that it is
	// no longer in the configuration.
	Recorded func(context.Context) (map[string][]string, error)
	Record   func(ctx context.Context, service string, versions []string) error
	// FirstStart is true if the whole system started for the first time with this process, so that no streams have
	// begun before.
	FirstStart bool
	// Log receives one line per event.
	Log *log.Logger

	startedAt time.Time
	// term is the term in which recorded was read.
	term     uint64
	recorded map[string][]string
}

// Run commits versions until ctx ends.
func (r *VersionRecorder) Run(ctx context.Context) {
	r.startedAt = clock.Now()
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.recordDue(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// recordDue commits the differences between the view and the recorded versions, if this control instance leads. A call
// that fails is made again at the next check.
func (r *VersionRecorder) recordDue(ctx context.Context) {
	term, leads := r.Leading()
	view := r.View()
	if !leads || view.Config == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if term != r.term {
		recorded, err := r.Recorded(ctx)
		if err != nil {
			r.Log.Info().Str("event", "software_unread").Str("error", err.Error()).Msg("")
			return
		}
		r.term, r.recorded = term, recorded
	}
	due := streamorigin.DueRecords(r.recorded, r.known(view), r.watched(view))
	for _, service := range slices.Sorted(maps.Keys(due)) {
		err := r.Record(ctx, service, due[service])
		if err != nil {
			r.Log.Info().Str("event", "software_unrecorded").Str("service", service).Strs("versions", due[service]).Str("error", err.Error()).Msg("")
			return
		}
		r.recorded[service] = due[service]
		if len(due[service]) == 0 {
			delete(r.recorded, service)
		}
	}
}

// known returns the software versions of the declared services, in order.
func (r *VersionRecorder) known(view *fleet.View) map[string][]string {
	out := map[string][]string{}
	for service, declared := range view.Config.Services {
		if declared.Store == nil {
			out[service] = slices.Sorted(maps.Keys(view.SoftwareVersions[service]))
		}
	}
	return out
}

// watched returns for how long this control instance has known of every software version.
func (r *VersionRecorder) watched(view *fleet.View) streamorigin.Watched {
	since := r.startedAt
	if unreachable := view.Contact.LastUnreachable; unreachable.After(since) {
		since = unreachable
	}
	return streamorigin.Watched{For: clock.Since(since), FromStart: r.FirstStart}
}
