package fleet

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// instanceLog is a numbered log of instance reports, as a registry.Registry or a registry.Table.
type instanceLog interface {
	Change() uint64
	After(change uint64) iter.Seq2[uint64, registry.Report]
	UpTo(change uint64) iter.Seq2[uint64, registry.Report]
}

// publication is one body of state that a Source sends to its pollers. A Source has two of them: what
// this control instance learned itself, and what all control instances learned.
type publication struct {
	// epoch is new at each start, and differs between publications: the cursors of a poller are valid
	// in one epoch only.
	epoch uint64
	// relaying is true for what all control instances learned.
	relaying  bool
	instances instanceLog
	// weightHistories holds when the weight versions of each model were announced.
	weightHistories map[string]weights.History
	// stores holds the contents of the stores, as the leader reads them.
	stores storesFeed
	// busy holds the instances that are loading weights, or are next to do so.
	busy []registry.Incarnation
	// loads holds the loads that engines reported to the leader.
	loads loadsFeed
	// facts holds the facts about instance ends that entries reported.
	facts *quarantine.FactSet

	// pending is true if there are changes since the last notification, which was sent at
	// notifiedAt, and urgentPending if one of them is urgent. notified holds the cursors of that
	// notification: a poll that is not behind them waits for the next one.
	pending, urgentPending bool
	notifiedAt             time.Time
	notified               cursors
	// urgentChange is the newest change of an instance that may not be used any more. The polls of
	// followers for which this source is a standby are answered for these only.
	urgentChange uint64
	// routineInterval is the minimum time between two notifications without an urgent change.
	routineInterval time.Duration
	// changed is closed and replaced at each notification.
	changed chan struct{}
}

func newPublication(instances instanceLog) *publication {
	return &publication{
		epoch: rand.Uint64() | 1, instances: instances, weightHistories: map[string]weights.History{}, facts: quarantine.New(0), changed: make(chan struct{}),
	}
}

// notify answers polls at once, or, if the last notification is too recent, with the next batch of
// changes.
func (p *publication) notify(urgent bool) {
	p.pending = true
	p.urgentPending = p.urgentPending || urgent
	if clock.Since(p.notifiedAt) >= p.interval() {
		p.notifyNow()
	}
}

// interval returns the minimum time between the last notification and the next.
func (p *publication) interval() time.Duration {
	if p.urgentPending {
		return notifyInterval
	}
	return max(notifyInterval, p.routineInterval)
}

// notifyPending answers polls if there are changes since the last notification and it is not too
// recent. tick is the time until the next call.
func (p *publication) notifyPending(tick time.Duration) {
	if p.pending && clock.Since(p.notifiedAt) > p.interval()-tick {
		p.notifyNow()
	}
}

// notifyNow answers all polls.
func (p *publication) notifyNow() {
	p.pending, p.urgentPending = false, false
	p.notifiedAt = clock.Now()
	p.notified = cursors{
		instances: cursor{change: p.instances.Change()}, stores: cursor{change: p.stores.log.Last()}, storesUntil: p.stores.newestUntil,
		loads: p.loads.log.Last(), facts: p.facts.Change(), urgent: p.urgentChange,
	}
	close(p.changed)
	p.changed = make(chan struct{})
}
