package serving

import (
	"sync"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/buffering"
)

// buffers holds the budget of a server for undelivered answers, and the deliveries that share it.
type buffers struct {
	metrics *Metrics
	log     *log.Logger

	// mu is locked after the mutex of a delivery, never before.
	mu sync.Mutex
	// The fields below are guarded by mu.
	budget *buffering.Budget
	// deliveries holds the deliveries that have not finished, and lastID the id of the newest.
	deliveries map[buffering.ID]*delivery
	lastID     buffering.ID
}

// newBuffers returns a budget of the given number of bytes, with no deliveries.
func newBuffers(bytes int, metrics *Metrics, logger *log.Logger) *buffers {
	return &buffers{metrics: metrics, log: logger, budget: buffering.New(bytes), deliveries: map[buffering.ID]*delivery{}}
}

// add registers a delivery and returns its id.
func (b *buffers) add(d *delivery) buffering.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	b.deliveries[b.lastID] = d
	return b.lastID
}

// remove forgets a delivery.
func (b *buffers) remove(id buffering.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.deliveries, id)
}

func (b *buffers) take(id buffering.ID, urgency, bytes int) buffering.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.report()
	return b.budget.Take(id, urgency, bytes, clock.Now())
}

func (b *buffers) delivered(id buffering.ID, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Delivered(id, bytes, clock.Now())
	b.report()
}

// end releases what an answer holds, and returns how much that was.
func (b *buffers) end(id buffering.ID) (held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.budget.Used()
	b.budget.End(id)
	b.report()
	return before - b.budget.Used()
}

// report sets the gauges. mu must be held.
func (b *buffers) report() {
	b.metrics.bufferedBytes.Set(float64(b.budget.Used()))
	b.metrics.bufferedAnswers.Set(float64(b.budget.Answers()))
}

// breakOff ends deliveries whose callers have stopped reading.
func (b *buffers) breakOff(ids []buffering.ID) {
	for _, id := range ids {
		b.mu.Lock()
		d := b.deliveries[id]
		b.mu.Unlock()
		if d == nil {
			continue
		}
		if held, ok := d.fail(errNotTaken); ok {
			d.logBreakOff(held, errNotTaken)
		}
	}
}
