package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/engine"
)

// listInterval is how often the platform's list of instances is polled.
const listInterval = time.Second

// pollInstances polls the platform's list until ctx ends. The list can stop new
// requests to an upstream. It cannot override the declared state, the upstream's own
// report or a later refusal in order to allow them again, because it lags behind all of
// these.
func (e *Entry) pollInstances(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		list, err := e.readInstances(ctx)
		if err != nil {
			e.Log.Debug().Str("event", "instances_unread").Str("error", err.Error()).Msg("")
		} else {
			e.applyInstances(list)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readInstances(ctx context.Context) (engine.Instances, error) {
	var list engine.Instances
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := sling.New().Get(e.Instances).Request()
	if err != nil {
		return list, err
	}
	res, err := sling.New().Client(e.upstreams.HTTP()).Do(req.WithContext(ctx), &list, nil)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("platform returned status %d", res.StatusCode)
	}
	return list, err
}

func (e *Entry) applyInstances(list engine.Instances) {
	leaving := map[string]bool{}
	for _, i := range list.Instances {
		leaving[i.Address] = i.State == engine.InstanceLeaving
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.planner.UpstreamCount() {
		e.planner.Upstream(n).NoteListedLeaving(leaving[e.planner.Address(n)])
	}
}
