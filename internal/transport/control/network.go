package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// deliverTimeout bounds a small delivery, so that a frozen peer is given up; a
	// large one has the time on top that its bytes take at slowestRate.
	deliverTimeout = 2 * time.Second
	// slowestRate, in bytes a second, is 1 Mbit/s: a tenth of the slowest link that
	// deployments have. A peer that takes nothing at all is noticed sooner, by
	// netdial.UserTimeout on the connection.
	slowestRate = 125_000
	// urgentBytes is how much may be on its way in order before what decides on
	// leadership overtakes it. The slowest link of deployments, of 10 Mbit/s, carries
	// that much in 50 ms, which is little beside the 450 ms after which a follower
	// that hears nothing calls for an election.
	urgentBytes = 64 << 10
)

// sighting says where a node takes messages.
type sighting struct {
	node    replication.Node
	address string
}

// outgoing sends messages to one peer. The usual ones go in order. While entries or a
// snapshot take their time on a slow link, heartbeats, votes and answers go by the side:
// without them followers would call for elections, and the leader would believe that
// it is alone, before a large entry has arrived anywhere.
type outgoing struct {
	address atomic.Value
	ordered *lane
	urgent  *lane
	cancel  context.CancelFunc
}

// transmit queues a message, or loses it.
func (r *Replica) transmit(m replication.Message) {
	address := r.addressOf(m.To)
	if address == "" {
		return
	}
	o, ok := r.outgoing[m.To]
	if !ok {
		o = r.newOutgoing()
		r.outgoing[m.To] = o
	}
	o.address.Store(address)
	switch m.Kind {
	case replication.SnapshotRequest:
		// The one that is on its way may take longer than the machine waits for it.
		if !o.ordered.holdsSnapshot() && r.fillSnapshot(&m) {
			o.ordered.put(m)
		}
	case replication.AppendRequest:
		o.sendAppend(m, m.LogIndex <= r.machine.MatchIndex(m.To))
	default:
		o.sendBare(m, true)
	}
}

// sendAppend sends those entries that are not on their way yet. The leader repeats
// entries at each heartbeat until it hears that they have arrived, which on a slow link
// takes large ones many heartbeats. follows says that the peer is known to hold the entry
// before them.
func (o *outgoing) sendAppend(m replication.Message, follows bool) {
	held := o.ordered.heldFrom(m)
	bare := m
	bare.Entries = nil
	busy := held > 0 || o.ordered.size() > urgentBytes
	sensible := follows || o.ordered.precedes(m.LogIndex)
	if len(m.Entries) == 0 || busy && sensible {
		o.sendBare(bare, sensible)
	}
	if held == len(m.Entries) {
		return
	}
	if held > 0 {
		m.LogIndex = m.Entries[held-1].Index
		m.LogTerm = m.Entries[held-1].Term
		m.Entries = m.Entries[held:]
	}
	o.ordered.put(m)
}

// sendBare sends a message without entries. It overtakes a large delivery if it is
// sensible to the peer before that.
func (o *outgoing) sendBare(m replication.Message, sensible bool) {
	if sensible && o.ordered.size() > urgentBytes {
		o.urgent.put(m)
		return
	}
	o.ordered.put(m)
}

// fillSnapshot puts the present state into a snapshot that is to be sent; it may
// stand for more entries than the machine asked.
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

// newOutgoing starts the goroutines that deliver one peer's messages.
func (r *Replica) newOutgoing() *outgoing {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outgoing{cancel: cancel}
	deliver := func(client *http.Client) func([]replication.Message) error {
		return func(messages []replication.Message) error {
			return r.deliver(ctx, client, o.address.Load().(string), messages)
		}
	}
	undelivered := func(messages []replication.Message) { r.noteUndelivered(ctx, messages) }
	o.ordered = newLane(ctx, deliver(r.client), undelivered)
	o.urgent = newLane(ctx, deliver(r.urgent), undelivered)
	return o
}

func (r *Replica) deliver(ctx context.Context, client *http.Client, address string, messages []replication.Message) error {
	batch := &wire.MessageBatch{Address: r.Address}
	for _, m := range messages {
		batch.Messages = append(batch.Messages, wire.FromMessage(m))
	}
	transfer := time.Duration(sizeOf(messages...)) * time.Second / slowestRate
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout+transfer)
	defer cancel()
	_, err := wire.NewReplicationProtobufClient("http://"+address, client).Deliver(ctx, batch)
	return err
}

// noteUndelivered tells the machine of a snapshot that was lost: it would wait for the time in
// which one crosses a slow link before it sends the next.
func (r *Replica) noteUndelivered(ctx context.Context, messages []replication.Message) {
	for _, m := range messages {
		if m.Kind == replication.SnapshotRequest {
			r.push(ctx, replication.SnapshotFailed{To: m.To})
		}
	}
}

func (r *Replica) stopOutgoing() {
	for _, o := range r.outgoing {
		o.cancel()
	}
	r.client.CloseIdleConnections()
	r.urgent.CloseIdleConnections()
}

// replicationService takes the messages of other replicas.
type replicationService struct{ r *Replica }

// Deliver queues messages for the loop.
func (s replicationService) Deliver(ctx context.Context, batch *wire.MessageBatch) (*wire.DeliverResponse, error) {
	for _, m := range batch.Messages {
		msg := wire.ToMessage(m)
		if batch.Address != "" {
			s.r.push(ctx, sighting{msg.From, batch.Address})
		}
		s.r.push(ctx, replication.Receive{Message: msg})
	}
	return &wire.DeliverResponse{}, nil
}

// push hands an input to the loop, unless the caller has gone.
func (r *Replica) push(ctx context.Context, in any) bool {
	select {
	case r.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}
