package ends

import (
	"maps"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// noteRefusal notes that the address of an incarnation has refused connections.
func (t *Tracker) noteRefusal(of registry.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(t.refusedAt, func(_ registry.Incarnation, at time.Time) bool { return now.Sub(at) >= refusedRetention })
	if t.refusedAt == nil {
		t.refusedAt = map[registry.Incarnation]time.Time{}
	}
	t.refusedAt[of] = now
}

// HasRefused reports whether the address of an incarnation has refused connections to this entry lately. What answers
// there since is a later process, even if its first heartbeat has not come yet.
func (t *Tracker) HasRefused(of registry.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.refusedAt[of]
	return ok && clock.Since(at) < refusedRetention
}
