package control

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// foundInterval is how often a blank replica asks whether the rest is blank too.
const foundInterval = 200 * time.Millisecond

// founding asks the loop to begin a new group.
type founding struct {
	members []replication.Member
	done    chan<- struct{}
}

// found begins a new group when every founding replica is blank. Only the one
// with the lowest number decides, so there is never a second founding
// configuration; and a replica that is not blank any more never agrees to one.
// A folder that was lost therefore waits until the control document names it.
func (r *Replica) found(ctx context.Context) {
	if !r.mayFound() {
		return
	}
	for {
		members, ok := r.allBlank(ctx)
		if ok {
			begun := make(chan struct{})
			r.push(ctx, founding{members, begun})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(foundInterval):
		}
	}
}

func (r *Replica) mayFound() bool {
	if len(r.Peers) == 0 {
		return false
	}
	for _, p := range r.Peers {
		if p.ID < r.ID {
			return false
		}
	}
	return r.view.get().Blank
}

// allBlank asks every founding replica, this one included.
func (r *Replica) allBlank(ctx context.Context) ([]replication.Member, bool) {
	var members []replication.Member
	for _, p := range r.Peers {
		status := r.view.get()
		if p.ID != r.ID {
			var err error
			status, err = r.ask(ctx, p.Address)
			if err != nil {
				return nil, false
			}
		}
		if !status.Blank || status.Id != p.ID {
			return nil, false
		}
		members = append(members, replication.Member{ID: p.ID, Node: replication.Node(status.Incarnation), Address: p.Address, FailureDomain: status.FailureDomain, Voter: true})
	}
	return members, len(members) > 0
}

func (r *Replica) ask(ctx context.Context, address string) (*wire.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return wire.NewControlProtobufClient("http://"+address, r.client).Status(ctx, &wire.StatusRequest{})
}

// takeFounding stores the founding configuration as a snapshot, and starts the
// machine from it.
func (r *Replica) takeFounding(in founding) {
	if r.machine.LastIndex() > 0 || r.machine.Term() > 0 {
		return
	}
	empty := ledger.New()
	data, err := empty.Marshal()
	if err != nil {
		panic("control: an empty ledger failed to encode: " + err.Error())
	}
	s := replication.Snapshot{Index: 1, Term: 1, Members: in.members, Data: data}
	err = r.Folder.SaveSnapshot(toImage(s))
	if err != nil {
		r.noteDisk(err)
		return
	}
	r.Ledger = empty
	r.start(replication.StoredState{Term: 1, Snapshot: s})
	r.Log.Info().Str("event", "founded").Int("replicas", len(in.members)).Msg("")
}
