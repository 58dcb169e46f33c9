package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/replication"
)

const (
	// maxQueuedMessages and maxQueuedBytes are the levels at which a queue drops further
	// messages, which the protocol allows; below both, it accepts a message of any size. The
	// bytes are limited because messages to an unreachable peer stay in memory.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 4 << 20
	// maxBatchBytes limits one delivery, unless its first message is larger. All messages of a
	// failed delivery have to be sent again.
	maxBatchBytes = 1 << 20
	// maxStoreGrace limits how long delivered entries count as in flight after the last delivery or
	// acknowledgement. Up to this limit, it is as long as their deliveries took, because sending
	// them again takes no less. A sync of 8 MB takes about 100 ms; the limit is for a peer that
	// stopped before it stored them.
	maxStoreGrace = time.Second
	// messageOverheadBytes is the approximate encoded size of a message without entries.
	messageOverheadBytes = 64
)

// sendQueue delivers messages to one peer in order. One delivery is in flight at a time; messages
// queued meanwhile are sent together in the next. Create one with newSendQueue. It is safe for
// concurrent use.
type sendQueue struct {
	mu sync.Mutex
	// messages holds the undelivered messages. The first inFlight of them are being delivered.
	messages []replication.Message
	inFlight int
	// bytes is the size of messages.
	bytes int
	// began is when the delivery in flight began.
	began time.Time
	// delivered holds the large deliveries that the peer has accepted and not acknowledged, in order.
	// They count as in flight until graceUntil, because the peer stores entries before it
	// acknowledges them, and may accept further deliveries meanwhile. deliveryTime is how long
	// they took.
	delivered    []replication.Message
	deliveryTime time.Duration
	graceUntil   time.Time
	// lost holds the entries that were queued and did not arrive. The peer would reject entries after them, so
	// none are queued until these are queued again.
	lost entryRange
	// reported is the last range that takeLost returned.
	reported entryRange
	// wake holds a token if messages may be queued.
	wake chan struct{}
}

// entryRange is the entries from first to last, as a leader sent them in a term. It is empty if first > last or
// last is 0.
type entryRange struct{ term, first, last uint64 }

func (e entryRange) empty() bool { return e.last == 0 || e.first > e.last }

// newSendQueue starts the goroutine that delivers messages until ctx ends. It calls undelivered
// with the messages of a failed delivery after their removal from the queue.
func newSendQueue(ctx context.Context, deliver func([]replication.Message) error, undelivered func(*sendQueue, []replication.Message)) *sendQueue {
	q := &sendQueue{wake: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-q.wake:
			}
			for batch := q.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = q.nextBatch() {
				// The error needs no handling, because the protocol repeats lost messages.
				ok := deliver(batch) == nil
				q.finishBatch(ok)
				if !ok {
					undelivered(q, batch)
				}
			}
		}
	}()
	return q
}

// enqueue queues a message, or drops it if the queue is full. Entries that follow lost ones are left out of it; the
// peer's rejection of the rest makes the leader send again from the first lost entry.
func (q *sendQueue) enqueue(m replication.Message) {
	q.mu.Lock()
	if q.followsLost(m) {
		m.Entries = nil
	}
	if len(q.messages) < maxQueuedMessages && q.bytes < maxQueuedBytes {
		q.messages = append(q.messages, m)
		q.bytes += sizeOf(m)
		q.restore(m)
	} else {
		q.lose(m)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// nextBatch returns the messages of the next delivery and marks them as in flight.
func (q *sendQueue) nextBatch() []replication.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for i, m := range q.messages {
		size += sizeOf(m)
		if i > 0 && size > maxBatchBytes {
			break
		}
		q.inFlight = i + 1
	}
	q.began = clock.Now()
	return slices.Clone(q.messages[:q.inFlight])
}

// finishBatch removes the messages of the delivery in flight. After a failure it also drops the
// append requests queued behind them: the peer would reject them without the lost entries. The
// leader then resends from the first lost entry.
func (q *sendQueue) finishBatch(ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	done, rest := q.messages[:q.inFlight], slices.Clone(q.messages[q.inFlight:])
	now := clock.Now()
	if !ok || !q.inGrace(now) {
		q.loseDelivered()
	}
	if ok && sizeOf(done...) > overtakeBytes {
		q.delivered = append(q.delivered, done...)
		q.deliveryTime += now.Sub(q.began)
		q.extendGrace(now)
	}
	if !ok {
		q.lose(q.messages...)
		rest = slices.DeleteFunc(rest, func(m replication.Message) bool { return m.Kind == replication.AppendRequest })
	}
	q.messages = rest
	q.bytes = sizeOf(rest...)
	q.inFlight = 0
}

// inGrace reports whether delivered entries count as in flight. While a delivery is under way that began in time,
// they do: whether it succeeds shows whether the peer is still running. The caller must hold mu.
func (q *sendQueue) inGrace(now time.Time) bool {
	return now.Before(q.graceUntil) || q.inFlight > 0 && q.began.Before(q.graceUntil)
}

// extendGrace restarts the time for which delivered entries count as in flight. The caller must hold mu.
func (q *sendQueue) extendGrace(now time.Time) {
	q.graceUntil = now.Add(min(q.deliveryTime, maxStoreGrace))
}

// lose records that the entries of messages will not arrive. The caller must hold mu.
func (q *sendQueue) lose(messages ...replication.Message) {
	for _, m := range messages {
		if m.Kind != replication.AppendRequest || len(m.Entries) == 0 {
			continue
		}
		first, last := m.Entries[0].Index, m.Entries[len(m.Entries)-1].Index
		if q.lost.empty() || q.lost.term != m.Term {
			q.lost = entryRange{term: m.Term, first: first, last: last}
			continue
		}
		q.lost.first, q.lost.last = min(q.lost.first, first), max(q.lost.last, last)
	}
}

// loseDelivered records that the peer does not store what was delivered. The caller must hold mu.
func (q *sendQueue) loseDelivered() {
	q.lose(q.delivered...)
	q.delivered, q.deliveryTime = nil, 0
}

// takeLost returns the entries that have not arrived, unless there are none or they are the same as in the last call.
func (q *sendQueue) takeLost() (lost entryRange, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lost.empty() || q.lost == q.reported {
		return entryRange{}, false
	}
	q.reported = q.lost
	return q.lost, true
}

// followsLost reports whether a message has entries of which the first follows a lost one. The caller must hold mu.
func (q *sendQueue) followsLost(m replication.Message) bool {
	return len(m.Entries) > 0 && !q.lost.empty() && q.lost.term == m.Term && m.LogIndex >= q.lost.first
}

// restore records that the entries of a message are queued. The caller must hold mu.
func (q *sendQueue) restore(m replication.Message) {
	if len(m.Entries) == 0 {
		return
	}
	if q.lost.term != m.Term {
		q.lost = entryRange{}
	}
	q.lost.first = max(q.lost.first, m.Entries[len(m.Entries)-1].Index+1)
}

// acknowledged records that the peer has stored the entries up to an index.
func (q *sendQueue) acknowledged(index uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost.first = max(q.lost.first, index+1)
	before := len(q.delivered)
	q.delivered = slices.DeleteFunc(q.delivered, func(m replication.Message) bool {
		return m.Kind == replication.AppendRequest && m.LogIndex+uint64(len(m.Entries)) <= index
	})
	switch {
	case len(q.delivered) == 0:
		q.deliveryTime = 0
	case len(q.delivered) < before && q.inGrace(clock.Now()):
		q.extendGrace(clock.Now())
	}
}

// pending returns, in order, the undelivered messages and those that the peer may still have to
// store. The caller must hold mu.
func (q *sendQueue) pending() []replication.Message {
	if !q.inGrace(clock.Now()) {
		q.loseDelivered()
	}
	return slices.Concat(q.delivered, q.messages)
}

// queuedBytes returns the approximate size of the undelivered messages.
func (q *sendQueue) queuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

func (q *sendQueue) holdsSnapshot() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.pending(), func(m replication.Message) bool { return m.Kind == replication.SnapshotRequest })
}

// pendingEntries returns the number of an append request's entries, counted from the first, that
// are already pending.
func (q *sendQueue) pendingEntries(m replication.Message) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Within a term there is only one entry at each index.
	next := m.LogIndex
	for _, queued := range q.pending() {
		last := queued.LogIndex + uint64(len(queued.Entries))
		if queued.Kind == replication.AppendRequest && queued.Term == m.Term && queued.LogIndex <= next && last > next {
			next = last
		}
	}
	return int(min(next-m.LogIndex, uint64(len(m.Entries))))
}

// precedes reports whether the entry at index comes before all entries in the queue. An append
// request that follows this entry then depends on none of them.
func (q *sendQueue) precedes(index uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !slices.ContainsFunc(q.messages, func(queued replication.Message) bool {
		return len(queued.Entries) > 0 && queued.LogIndex < index
	})
}

// sizeOf returns the approximate encoded size of messages.
func sizeOf(messages ...replication.Message) int {
	size := messageOverheadBytes * len(messages)
	for _, m := range messages {
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if m.Snapshot != nil {
			size += len(m.Snapshot.Data)
		}
	}
	return size
}
