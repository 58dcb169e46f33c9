package control

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// bootstrapInterval is how often a blank replica checks whether the other initial replicas are
// blank too.
const bootstrapInterval = 200 * time.Millisecond

// bootstrapRequest asks the loop to start a new group.
type bootstrapRequest struct {
	members []replication.Member
	done    chan<- struct{}
}

// bootstrap starts a new group once all initial replicas are blank. Only the replica with the
// lowest ID does so, so there is never a second initial configuration, and a replica that is no
// longer blank never takes part in one. A replica whose data folder was lost therefore waits
// until the control document names it.
func (r *Replica) bootstrap(ctx context.Context) {
	if !r.mayBootstrap() {
		return
	}
	for {
		members, ok := r.allBlank(ctx)
		if ok {
			done := make(chan struct{})
			r.push(ctx, bootstrapRequest{members, done})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapInterval):
		}
	}
}

func (r *Replica) mayBootstrap() bool {
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

// allBlank returns all initial replicas, this one included, if all of them are blank.
func (r *Replica) allBlank(ctx context.Context) ([]replication.Member, bool) {
	var members []replication.Member
	for _, p := range r.Peers {
		status := r.view.get()
		if p.ID != r.ID {
			var err error
			status, err = r.fetchStatus(ctx, p.Address)
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

func (r *Replica) fetchStatus(ctx context.Context, address string) (*wire.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return wire.NewControlProtobufClient("http://"+address, r.client).Status(ctx, &wire.StatusRequest{})
}

// applyBootstrap stores the initial configuration as a snapshot and starts the machine from it.
func (r *Replica) applyBootstrap(in bootstrapRequest) {
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
		r.setDiskError(err)
		return
	}
	r.Ledger = empty
	r.start(replication.StoredState{Term: 1, Snapshot: s})
	r.Log.Info().Str("event", "founded").Int("replicas", len(in.members)).Msg("")
}
