// Package control runs one replica of the control log: the loop that drives the
// pure replication machine, its disk and its network, and the services that
// entries and operators call.
//
// One goroutine owns the machine, the ledger and the folder. It takes all inputs
// that wait, steps the machine through them, and writes what they need with one
// sync; so a busier log needs fewer syncs for each command. Messages that
// promise durability leave only after that sync.
package control

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/disk"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/orders"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// DefaultTick is the unit of time of the replication machine. Heartbeats go
	// out every 2 ticks, and elections begin after 6 to 12.
	DefaultTick = 75 * time.Millisecond
	// DefaultSnapshotBytes is how long the log file grows before a snapshot.
	DefaultSnapshotBytes = 8 << 20
	// keptEntries and keptBytes bound the entries that stay in memory behind a
	// snapshot, for followers that are only a little behind. Entries of usual
	// commands have some hundred bytes, but one that installs a configuration has
	// its whole text, up to megabytes: the bound in bytes keeps hundreds of those
	// from filling the memory of all replicas at the same time. The last entry stays
	// whatever its size. A follower that lacks more gets the snapshot, which holds
	// only the last text.
	keptEntries = 1024
	keptBytes   = 4 << 20
	// maxInputs is how many inputs one round of the loop takes.
	maxInputs = 4096
	// handOverTime bounds how long a leader that is stopped waits for another.
	handOverTime = time.Second
	// inputQueue bounds the inputs that wait.
	inputQueue = 8192
)

// Peer is one founding replica, as the settings name it.
type Peer struct {
	ID      uint64
	Address string
}

// Replica is one replica of the control log. Set the exported fields, then Run.
type Replica struct {
	// ID is this replica's number, from 1.
	ID uint64
	// Address is where other processes reach this replica.
	Address string
	// Peers are the founding replicas, this one included.
	Peers []Peer
	// Folder is the open data folder. Run closes it.
	Folder *disk.Folder
	// RecoveredState is what Open read from the folder.
	RecoveredState replication.StoredState
	// Ledger is the state that the folder's snapshot holds.
	Ledger *ledger.Ledger
	// Listener takes connections. Run closes it.
	Listener net.Listener
	// FailureDomain is that of this instance.
	FailureDomain string
	// MembershipPolicy, when set, has the leader choose the replicas itself, from those that ask to
	// join, in place of the declared ones.
	MembershipPolicy *membership.Policy
	// Source, when set, tells others what was applied of the log.
	Source *fleet.Source
	// Fleet, when set, is what this replica orders weight versions on while it leads, in
	// place of the declared engines.
	Fleet orders.Fleet
	// OrderPredecessorTimeout and OrderInterval are passed on to the orders.Controller.
	OrderPredecessorTimeout, OrderInterval time.Duration
	// Log receives one line for each event.
	Log *log.Logger
	// Tick and SnapshotBytes have defaults when zero.
	Tick          time.Duration
	SnapshotBytes int64

	once   sync.Once
	inputs chan any
	client *http.Client
	// urgent has connections of its own, so that what overtakes a large delivery does
	// not wait for what the other connection has taken of it already.
	urgent *http.Client

	// The fields below belong to the loop's goroutine.
	machine  *replication.Machine
	outgoing map[replication.Node]*outgoing
	// addresses holds where a node was last said to be.
	addresses map[replication.Node]string
	waiting   map[uint64]waiter
	proposals map[uint64]chan<- reply
	readers   map[uint64]readRequest
	reading   []readWait
	nextID    uint64
	// appliedIndex is the last entry that the ledger holds.
	appliedIndex uint64
	// unsynced holds what a failing disk has not taken yet, in order.
	unsynced []durable
	diskErr  error
	// rewritten is the length of the log file after it was last rewritten.
	rewritten int64
	// repair says what change of the replicas is under way.
	repair string
	// joiners holds those that asked to join, by incarnation.
	joiners map[replication.Node]membership.Joiner

	// view is what the services read.
	view view
}

type waiter struct {
	term uint64
	ch   chan<- reply
}

type readWait struct {
	index   uint64
	request readRequest
}

// proposal asks the loop to commit a command.
type proposal struct {
	command *command.Command
	ch      chan<- reply
}

// readRequest asks the loop to run look as a linearizable read.
type readRequest struct {
	look func(*ledger.Ledger)
	ch   chan<- reply
}

// reply is one of done, refused or lost.
type reply interface{ reply() }

// done carries the result of a committed command; it is nil after a read.
type done struct{ result ledger.Result }

// refused says that nothing was appended; leader may be empty.
type refused struct{ leader string }

// lost says that an appended command was replaced, and will never commit.
type lost struct{}

func (done) reply()    {}
func (refused) reply() {}
func (lost) reply()    {}

// Open opens a data folder and returns what a replica finds in it.
func Open(path string) (*disk.Folder, replication.StoredState, *ledger.Ledger, error) {
	var frames []*command.Frame
	folder, err := disk.Open(path, func(f *command.Frame) { frames = append(frames, f) })
	if err != nil {
		return nil, replication.StoredState{}, nil, err
	}
	restart, data, err := restore(folder.Image(), frames)
	if err != nil {
		return nil, replication.StoredState{}, nil, err
	}
	l := ledger.New()
	if data != nil {
		l, err = ledger.Unmarshal(data)
	}
	return folder, restart, l, err
}

// Run serves until ctx ends or an invariant breaks.
func (r *Replica) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Others' answers are needed until this replica has handed over.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	go func() { served <- rpc.Serve(serving, r.Listener, r.Handler()) }()
	go r.found(ctx)
	orderer := &orders.Controller{Leading: r.view.leading, CommitToken: r.takeToken, ConfirmLeadership: r.VerifyLeader, Fleet: r.Fleet, PredecessorTimeout: r.OrderPredecessorTimeout, Interval: r.OrderInterval, Log: r.Log}
	if orderer.Fleet == nil {
		orderer.Fleet = &orders.DeclaredEngines{State: r.view.feed.State}
	}
	go orderer.Run(ctx)
	r.loop(ctx)
	cancel()
	stopServing()
	err := <-served
	closeErr := r.Folder.Close()
	if err != nil {
		return err
	}
	return errors.Wrap(closeErr, "close the data folder")
}

func (r *Replica) init() {
	r.once.Do(func() {
		if r.Tick == 0 {
			r.Tick = DefaultTick
		}
		if r.SnapshotBytes == 0 {
			r.SnapshotBytes = DefaultSnapshotBytes
		}
		r.inputs = make(chan any, inputQueue)
		r.client = rpc.NewClient()
		r.urgent = rpc.NewClient()
		r.outgoing = map[replication.Node]*outgoing{}
		r.addresses = map[replication.Node]string{}
		r.waiting = map[uint64]waiter{}
		r.proposals = map[uint64]chan<- reply{}
		r.readers = map[uint64]readRequest{}
		r.joiners = map[replication.Node]membership.Joiner{}
		r.view.init(r.Source)
		r.start(r.RecoveredState)
	})
}

// start makes the machine from what the folder holds.
func (r *Replica) start(restart replication.StoredState) {
	seed := maphash.String(maphash.MakeSeed(), r.Folder.Incarnation())
	r.machine = replication.New(replication.Node(r.Folder.Incarnation()), seed, restart)
	r.appliedIndex = restart.Snapshot.Index
	r.view.publishDeclared(r.Ledger.Declared())
	r.publishInstalled()
	r.publish()
}

// Handler serves the replica's services; it may be used after Run has begun.
func (r *Replica) Handler() http.Handler {
	r.init()
	mux := http.NewServeMux()
	replicationServer := wire.NewReplicationServer(replicationService{r})
	controlServer := wire.NewControlServer(controlService{r})
	feedServer := wire.NewFeedServer(feed.Service{Feed: r.view.feed})
	mux.Handle(replicationServer.PathPrefix(), replicationServer)
	mux.Handle(controlServer.PathPrefix(), controlServer)
	mux.Handle(feedServer.PathPrefix(), feedServer)
	if r.Source != nil {
		fleetServer := wire.NewFleetServer(r.Source)
		mux.Handle(fleetServer.PathPrefix(), fleetServer)
	}
	return mux
}

func (r *Replica) loop(ctx context.Context) {
	ticker := time.NewTicker(r.Tick)
	defer ticker.Stop()
	defer r.stopOutgoing()
	for ctx.Err() == nil {
		r.next(ticker, ctx.Done())
	}
	r.handOver(ticker)
}

// next takes a round of inputs, unless stop comes first.
func (r *Replica) next(ticker *time.Ticker, stop <-chan struct{}) {
	var first any
	select {
	case <-stop:
		return
	case <-ticker.C:
		first = replication.Tick{}
	case first = <-r.inputs:
	}
	r.round(r.gather(first))
}

// handOver has a leader step down before a planned stop, and takes part until another
// leads, for a second at most.
func (r *Replica) handOver(ticker *time.Ticker) {
	if !r.machine.Leading() || len(r.machine.Members()) == 1 {
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	r.round([]any{replication.Resign{}})
	for r.machine.Leader() == "" && limit.Err() == nil {
		r.next(ticker, limit.Done())
	}
	r.Log.Info().Str("event", "handed_over").Str("leader", string(r.machine.Leader())).Msg("")
}
