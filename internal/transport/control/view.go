package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// appliedLifetime is how long after a process's last message the status includes its report of
// the state that it has applied.
const appliedLifetime = 5 * time.Minute

// view holds the copy of the loop's state that the services read. It is safe for concurrent use.
type view struct {
	// feed distributes the declared state.
	feed *feed.Feed
	// source is nil if instances do not register themselves.
	source *fleet.Source

	mu     sync.Mutex
	status *wire.StatusResponse
}

func (v *view) init(source *fleet.Source) {
	v.feed = feed.New()
	v.source = source
	v.status = &wire.StatusResponse{}
}

func (v *view) publishDeclared(s *declared.State) { v.feed.Publish(s) }

func (v *view) set(s *wire.StatusResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = s
}

// get returns the status as of the last round, with the states that watchers reported as applied.
func (v *view) get() *wire.StatusResponse {
	v.mu.Lock()
	out := proto.CloneOf(v.status)
	v.mu.Unlock()
	out.Applied = v.feed.Applied(appliedLifetime)
	if v.source != nil {
		out.Evacuations, out.Entries = v.source.EvacuationStatus()
	}
	return out
}

// leading reports whether this replica leads, and the current term.
func (v *view) leading() (term uint64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status.Term, v.status.Leader == v.status.Incarnation && v.status.Incarnation != ""
}

// publish updates the services' view to the loop's current state.
func (r *Replica) publish() {
	m := r.machine
	s := &wire.StatusResponse{
		Id:            r.ID,
		Address:       r.Address,
		FailureDomain: r.FailureDomain,
		Incarnation:   r.Folder.Incarnation(),
		Leader:        string(m.Leader()),
		Term:          m.Term(),
		Committed:     m.Commit(),
		AppliedIndex:  m.Commit(),
		Revision:      r.Ledger.Declared().Revision(),
		Records:       uint64(r.Ledger.RecordCount()),
		Repair:        r.membershipStep,
		Blank:         m.LastIndex() == 0 && m.Term() == 0,
	}
	for _, d := range r.Ledger.Evacuations().All() {
		s.Evacuations = append(s.Evacuations, &wire.EvacuationState{Domain: d.Name, Evacuated: d.Evacuated, Revision: d.Revision})
	}
	if r.diskErr != nil {
		s.Refusing = r.diskErr.Error()
	}
	for _, member := range m.Members() {
		status := &wire.ReplicaStatus{Id: member.ID, Address: member.Address, Incarnation: string(member.Node), Voter: member.Voter}
		if m.Leading() {
			status.Matched = m.MatchIndex(member.Node)
		}
		s.Replicas = append(s.Replicas, status)
	}
	r.view.set(s)
	if r.Source != nil {
		r.Source.PublishLeader(s.Leader != "", r.leaderAddress())
	}
	r.publishAddresses()
}

// leaderAddress returns the leader's address, or nothing if it is not known.
func (r *Replica) leaderAddress() string {
	switch {
	case r.machine.Leading():
		return r.Address
	case r.machine.Leader() == "":
		return ""
	}
	return r.addressOf(r.machine.Leader())
}

// Status returns this replica's own view of the group. It may be called once Run has started.
func (r *Replica) Status() *wire.StatusResponse {
	r.init()
	return r.view.get()
}

// Leading reports whether this replica leads, and the current term. It may be called once Run
// has started.
func (r *Replica) Leading() (term uint64, ok bool) {
	r.init()
	return r.view.leading()
}

// publishAddresses publishes the replicas' addresses through the fleet source.
func (r *Replica) publishAddresses() {
	if r.Source == nil {
		return
	}
	var instances []fleet.ControlInstance
	for _, m := range r.machine.Members() {
		instances = append(instances, fleet.ControlInstance{Address: m.Address, FailureDomain: m.FailureDomain})
	}
	slices.SortFunc(instances, func(a, b fleet.ControlInstance) int { return cmp.Compare(a.Address, b.Address) })
	r.Source.PublishControl(slices.CompactFunc(instances, func(a, b fleet.ControlInstance) bool { return a.Address == b.Address }))
}

// publishInstalled publishes the applied state of the log through the fleet source.
func (r *Replica) publishInstalled() {
	if r.Source != nil {
		// Publish answers polls, so the required versions must be set before.
		r.Source.RequireWeights(r.Ledger.RequiredWeights())
		r.Source.Publish(r.Ledger.Installed(), r.Ledger.Weights())
		r.Source.PublishEvacuations(r.Ledger.Evacuations().All())
		r.Source.PublishRecordedVersions(r.Ledger.Software())
	}
}
