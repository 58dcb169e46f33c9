package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// deliverTimeout limits a small delivery, so that a peer that does not respond is given up.
	// A delivery gets in addition the time that its bytes take at minBytesPerSecond.
	deliverTimeout = 2 * time.Second
	// minBytesPerSecond is 1 Mbit/s: a tenth of the slowest link in deployments. A peer that
	// accepts no bytes at all is detected sooner, by netdial.UserTimeout on the connection.
	minBytesPerSecond = 125_000
	// overtakeBytes is the size of the ordered queue above which messages that leadership depends
	// on overtake it. The slowest link in deployments, 10 Mbit/s, carries that much in 50 ms,
	// which is little compared with the 450 ms after which a follower that receives nothing
	// starts an election.
	overtakeBytes = 64 << 10
)

// peerAddress is the address at which a node receives messages.
type peerAddress struct {
	node    replication.Node
	address string
}

// peerSender sends messages to one peer, normally in order. While entries or a snapshot cross a
// slow link, heartbeats, votes and responses use a second queue. Otherwise followers would start
// elections, and the leader would consider itself isolated, before a large entry has reached any
// of them.
type peerSender struct {
	address atomic.Value
	ordered *sendQueue
	urgent  *sendQueue
	cancel  context.CancelFunc
}

// transmit queues a message for its peer, or drops it.
func (r *Replica) transmit(m replication.Message) {
	address := r.addressOf(m.To)
	if address == "" {
		return
	}
	s, ok := r.senders[m.To]
	if !ok {
		s = r.newPeerSender()
		r.senders[m.To] = s
	}
	s.address.Store(address)
	switch m.Kind {
	case replication.SnapshotRequest:
		// A snapshot in flight may take longer than the machine waits before it sends another.
		if !s.ordered.holdsSnapshot() && r.fillSnapshot(&m) {
			s.ordered.enqueue(m)
		}
	case replication.AppendRequest:
		matched := r.machine.MatchIndex(m.To)
		s.ordered.acknowledged(matched)
		s.sendAppend(m, m.LogIndex <= matched)
	default:
		s.sendWithoutEntries(m, true)
	}
}

// sendAppend sends the entries that are not pending yet. The leader repeats entries at each
// heartbeat until they are acknowledged, which takes many heartbeats for large entries on a slow
// link. prevMatched reports whether the peer is known to hold the entry before them.
func (s *peerSender) sendAppend(m replication.Message, prevMatched bool) {
	pending := s.ordered.pendingEntries(m)
	withoutEntries := m
	withoutEntries.Entries = nil
	backlogged := pending > 0 || s.ordered.queuedBytes() > overtakeBytes
	mayOvertake := prevMatched || s.ordered.precedes(m.LogIndex)
	if len(m.Entries) == 0 || backlogged && mayOvertake {
		s.sendWithoutEntries(withoutEntries, mayOvertake)
	}
	if pending == len(m.Entries) {
		return
	}
	if pending > 0 {
		m.LogIndex = m.Entries[pending-1].Index
		m.LogTerm = m.Entries[pending-1].Term
		m.Entries = m.Entries[pending:]
	}
	s.ordered.enqueue(m)
}

// sendWithoutEntries sends a message that has no entries. If mayOvertake is set, which requires
// that the peer can process the message before the queued ones, it overtakes a large ordered queue.
func (s *peerSender) sendWithoutEntries(m replication.Message, mayOvertake bool) {
	if mayOvertake && s.ordered.queuedBytes() > overtakeBytes {
		s.urgent.enqueue(m)
		return
	}
	s.ordered.enqueue(m)
}

// fillSnapshot sets the message's snapshot to the current state. The snapshot may cover more
// entries than the machine asked for.
func (r *Replica) fillSnapshot(m *replication.Message) bool {
	data, err := r.Ledger.Marshal()
	if err != nil {
		return false
	}
	index := r.appliedIndex
	term, ok := r.machine.TermOf(index)
	if !ok {
		return false
	}
	m.Snapshot = &replication.Snapshot{Index: index, Term: term, Members: r.machine.MembersAt(index), Data: data}
	return true
}

func (r *Replica) addressOf(n replication.Node) string {
	for _, m := range r.machine.Members() {
		if m.Node == n {
			return m.Address
		}
	}
	return r.addresses[n]
}

// newPeerSender starts the goroutines that deliver messages to one peer.
func (r *Replica) newPeerSender() *peerSender {
	ctx, cancel := context.WithCancel(context.Background())
	s := &peerSender{cancel: cancel}
	deliver := func(client *http.Client) func([]replication.Message) error {
		return func(messages []replication.Message) error {
			return r.deliver(ctx, client, s.address.Load().(string), messages)
		}
	}
	undelivered := func(q *sendQueue, messages []replication.Message) {
		if lost, ok := q.takeLost(); ok {
			r.Log.Info().Str("event", "entries_lost").Str("peer", s.address.Load().(string)).
				Uint64("term", lost.term).Uint64("first_index", lost.first).Uint64("last_index", lost.last).Msg("")
		}
		r.reportFailedSnapshots(ctx, messages)
	}
	s.ordered = newSendQueue(ctx, deliver(r.client), undelivered)
	s.urgent = newSendQueue(ctx, deliver(r.urgentClient), undelivered)
	return s
}

func (r *Replica) deliver(ctx context.Context, client *http.Client, address string, messages []replication.Message) error {
	batch := &wire.MessageBatch{Address: r.Address}
	for _, m := range messages {
		batch.Messages = append(batch.Messages, wire.FromMessage(m))
	}
	transfer := time.Duration(sizeOf(messages...)) * time.Second / minBytesPerSecond
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout+transfer)
	defer cancel()
	began := clock.Now()
	_, err := wire.NewReplicationProtobufClient("http://"+address, client).Deliver(ctx, batch)
	r.logDelivery(address, messages, clock.Since(began), err)
	return err
}

// logDelivery logs a delivery that is large enough to occupy a slow link.
func (r *Replica) logDelivery(address string, messages []replication.Message, took time.Duration, err error) {
	bytes := sizeOf(messages...)
	if bytes <= overtakeBytes {
		return
	}
	var first, last uint64
	snapshot := false
	for _, m := range messages {
		snapshot = snapshot || m.Snapshot != nil
		if len(m.Entries) == 0 {
			continue
		}
		if first == 0 {
			first = m.Entries[0].Index
		}
		last = m.Entries[len(m.Entries)-1].Index
	}
	r.Log.Info().Str("event", "delivery").Str("peer", address).Uint64("first_index", first).Uint64("last_index", last).
		Bool("snapshot", snapshot).Int("bytes", bytes).Int64("took_ms", took.Milliseconds()).AnErr("error", err).Msg("")
}

// reportFailedSnapshots reports undelivered snapshots to the machine. Otherwise the machine would
// wait for as long as a snapshot takes on a slow link before it sends the next one.
func (r *Replica) reportFailedSnapshots(ctx context.Context, messages []replication.Message) {
	for _, m := range messages {
		if m.Kind == replication.SnapshotRequest {
			r.push(ctx, replication.SnapshotFailed{To: m.To})
		}
	}
}

func (r *Replica) stopSenders() {
	for _, s := range r.senders {
		s.cancel()
	}
	r.client.CloseIdleConnections()
	r.urgentClient.CloseIdleConnections()
}

// replicationService receives messages from other replicas.
type replicationService struct{ r *Replica }

// Deliver queues messages for the loop.
func (s replicationService) Deliver(ctx context.Context, batch *wire.MessageBatch) (*wire.DeliverResponse, error) {
	for _, m := range batch.Messages {
		msg := wire.ToMessage(m)
		if batch.Address != "" {
			s.r.push(ctx, peerAddress{msg.From, batch.Address})
		}
		s.r.push(ctx, replication.Receive{Message: msg})
	}
	return &wire.DeliverResponse{}, nil
}

// push queues an input for the loop. It reports false if ctx ends first.
func (r *Replica) push(ctx context.Context, in any) bool {
	select {
	case r.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}
