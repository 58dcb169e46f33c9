package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

const (
	// outgoingQueue bounds the messages that wait for one peer; more are lost,
	// which the protocol allows.
	outgoingQueue = 1024
	// deliverTimeout bounds one delivery, so that a frozen peer is given up.
	deliverTimeout = 2 * time.Second
)

// sighting says where a node takes messages.
type sighting struct {
	node    replication.Node
	address string
}

// outgoing sends messages to one peer, in order, as many at a time as wait.
type outgoing struct {
	address atomic.Value
	queue   chan replication.Message
	cancel  context.CancelFunc
}

// transmit queues a message; a full queue loses it.
func (r *Replica) transmit(m replication.Message) {
	address := r.addressOf(m.To)
	if address == "" {
		return
	}
	if m.Kind == replication.SnapshotRequest && !r.fillSnapshot(&m) {
		return
	}
	o, ok := r.outgoing[m.To]
	if !ok {
		o = r.newOutgoing()
		r.outgoing[m.To] = o
	}
	o.address.Store(address)
	select {
	case o.queue <- m:
	default:
	}
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

// newOutgoing starts the goroutine that delivers one peer's messages. One
// delivery is under way at a time, so that they arrive in order; what waits
// meanwhile goes together in the next.
func (r *Replica) newOutgoing() *outgoing {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outgoing{queue: make(chan replication.Message, outgoingQueue), cancel: cancel}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-o.queue:
				batch := drain(o.queue, m, r.Address)
				r.deliver(ctx, o.address.Load().(string), batch)
			}
		}
	}()
	return o
}

// drain joins the messages that wait into one delivery.
func drain(queue <-chan replication.Message, first replication.Message, address string) *wire.MessageBatch {
	batch := &wire.MessageBatch{Address: address, Messages: []*wire.Message{wire.FromMessage(first)}}
	for {
		select {
		case m := <-queue:
			batch.Messages = append(batch.Messages, wire.FromMessage(m))
		default:
			return batch
		}
	}
}

func (r *Replica) deliver(ctx context.Context, address string, batch *wire.MessageBatch) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	// A lost delivery is repeated by the protocol, so the error says nothing new.
	_, _ = wire.NewReplicationProtobufClient("http://"+address, r.client).Deliver(ctx, batch)
}

func (r *Replica) stopOutgoing() {
	for _, o := range r.outgoing {
		o.cancel()
	}
	r.client.CloseIdleConnections()
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
