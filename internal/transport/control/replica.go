// Package control runs one replica of the control log: the loop that drives the replication
// state machine, which does no I/O itself, with its disk and network, and the services that
// entries and operators call.
//
// One goroutine owns the machine, the ledger and the data folder. In each round it takes all
// queued inputs, steps the machine through them, and persists the result with one sync, so a
// busier log needs fewer syncs per command. Messages that promise durability are sent only after
// that sync.
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
	"github.com/shedrock/shedrock/internal/state/isolation"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/orders"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// DefaultTick is the default time unit of the replication machine. Heartbeats are sent every
	// 2 ticks, and elections start after 6 to 12 ticks without one.
	DefaultTick = 75 * time.Millisecond
	// DefaultSnapshotBytes is the default growth of the log file after which a snapshot is written.
	DefaultSnapshotBytes = 8 << 20
	// retainedEntries and retainedBytes limit the entries that stay in memory after a snapshot,
	// for followers that are only slightly behind. Most entries have some hundred bytes, but an
	// entry that installs a configuration contains its whole text, up to megabytes: the limit
	// in bytes keeps hundreds of those from filling the memory of all replicas at the same time.
	// The last entry stays whatever its size. A follower that lacks more gets the snapshot,
	// which contains only the last text.
	retainedEntries = 1024
	retainedBytes   = 4 << 20
	// maxInputsPerRound is the maximum number of inputs in one round of the loop.
	maxInputsPerRound = 4096
	// handOverTimeout limits how long a leader that is being stopped waits for a successor.
	handOverTimeout = time.Second
	// inputQueueLength is the maximum number of queued inputs.
	inputQueueLength = 8192
)

// Peer is one of the initial replicas, as given in the settings.
type Peer struct {
	ID      uint64
	Address string
}

// Replica is one replica of the control log. Set the exported fields, then Run.
type Replica struct {
	// ID is this replica's number. Replicas are numbered from 1.
	ID uint64
	// Address is the address at which other processes reach this replica.
	Address string
	// Peers are the initial replicas, this one included. If empty, Run starts no new group.
	Peers []Peer
	// Folder is the open data folder. Run closes it.
	Folder *disk.Folder
	// RecoveredState is the state that Open read from the folder.
	RecoveredState replication.StoredState
	// Ledger is the replicated state in the folder's snapshot.
	Ledger *ledger.Ledger
	// Listener accepts connections. Run closes it.
	Listener net.Listener
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// MembershipPolicy, if set, makes the leader choose the group's members from the replicas that
	// request to join, instead of the declared replicas.
	MembershipPolicy *membership.Policy
	// Source, if set, publishes the applied state of the log to other processes.
	Source *fleet.Source
	// Arbiter, if set, is served to entries.
	Arbiter wire.Arbiter
	// Streams, if set, keeps where streams began for entries.
	Streams wire.Streams
	// Saves, if set, records the saves of prompt parts to stores.
	Saves wire.Saves
	// Fleet, if set, is the set of engines to which this replica sends orders for weight versions
	// while it leads, instead of the declared engines.
	Fleet orders.Fleet
	// OrderPredecessorTimeout and OrderInterval set PredecessorTimeout and Interval of the
	// orders.Controller.
	OrderPredecessorTimeout, OrderInterval time.Duration
	// OnSeparation, when set, is called when shared context is separated. It must not block.
	OnSeparation func(isolation.Reason)
	// Log receives one line per event.
	Log *log.Logger
	// Tick and SnapshotBytes default to DefaultTick and DefaultSnapshotBytes.
	Tick          time.Duration
	SnapshotBytes int64

	once   sync.Once
	inputs chan any
	client *http.Client
	// urgentClient has separate connections, so that urgent messages do not wait for the part of
	// a large delivery that is already written to the other connection.
	urgentClient *http.Client

	// The fields below belong to the loop's goroutine.
	machine *replication.Machine
	senders map[replication.Node]*peerSender
	// addresses holds the last known address of each node that has sent messages.
	addresses map[replication.Node]string
	// waiters holds the proposers of appended commands, by log index.
	waiters map[uint64]waiter
	// proposals and pendingReads hold, by ID, the requests that the machine has not answered yet.
	proposals    map[uint64]chan<- reply
	pendingReads map[uint64]readRequest
	// confirmedReads holds the reads that wait until their index is applied.
	confirmedReads []confirmedRead
	// nextID is the last ID given to a proposal or a read.
	nextID uint64
	// appliedIndex is the index of the last entry applied to the ledger.
	appliedIndex uint64
	// unsynced holds, in order, the writes that are not durable yet.
	unsynced []pendingWrite
	diskErr  error
	// rewrittenLogSize is the size of the log file after its last rewrite.
	rewrittenLogSize int64
	// membershipStep describes the change of members in progress.
	membershipStep string
	// joiners holds the replicas that requested to join, by incarnation.
	joiners map[replication.Node]membership.Joiner

	// view is the loop's published state for the services.
	view view
}

// waiter is the proposer of a command that was appended in a term.
type waiter struct {
	term uint64
	ch   chan<- reply
}

// confirmedRead is a read that may run once index is applied.
type confirmedRead struct {
	index   uint64
	request readRequest
}

// proposal asks the loop to commit a command.
type proposal struct {
	command *command.Command
	ch      chan<- reply
}

// readRequest asks the loop to run read as a linearizable read.
type readRequest struct {
	read func(*ledger.Ledger)
	ch   chan<- reply
}

// reply is one of done, refused or lost.
type reply interface{ reply() }

// done carries the result of a committed command; it is nil after a read.
type done struct{ result ledger.Result }

// refused reports that nothing was appended. leader may be empty.
type refused struct{ leader string }

// lost reports that an appended command was replaced and will never commit.
type lost struct{}

func (done) reply()    {}
func (refused) reply() {}
func (lost) reply()    {}

// Open opens a data folder and returns the state stored in it.
func Open(path string) (*disk.Folder, replication.StoredState, *ledger.Ledger, error) {
	var frames []*command.Frame
	folder, err := disk.Open(path, func(f *command.Frame) { frames = append(frames, f) })
	if err != nil {
		return nil, replication.StoredState{}, nil, err
	}
	recovered, data, err := recoverState(folder.Image(), frames)
	if err != nil {
		return nil, replication.StoredState{}, nil, err
	}
	l := ledger.New()
	if data != nil {
		l, err = ledger.Unmarshal(data)
	}
	return folder, recovered, l, err
}

// Run serves until ctx ends or an invariant breaks.
func (r *Replica) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The server stays up until leadership is handed over, which needs the other replicas'
	// responses.
	serverCtx, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServer()
	served := make(chan error, 1)
	go func() { served <- rpc.Serve(serverCtx, r.Listener, r.Handler()) }()
	go r.bootstrap(ctx)
	orderer := &orders.Controller{Leading: r.view.leading, CommitToken: r.newFencingToken, ConfirmLeadership: r.VerifyLeader, Fleet: r.Fleet, PredecessorTimeout: r.OrderPredecessorTimeout, Interval: r.OrderInterval, Log: r.Log}
	if orderer.Fleet == nil {
		orderer.Fleet = &orders.DeclaredEngines{State: r.view.feed.State}
	}
	go orderer.Run(ctx)
	r.loop(ctx)
	cancel()
	stopServer()
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
		r.inputs = make(chan any, inputQueueLength)
		r.client = rpc.NewClient()
		r.urgentClient = rpc.NewClient()
		r.senders = map[replication.Node]*peerSender{}
		r.addresses = map[replication.Node]string{}
		r.waiters = map[uint64]waiter{}
		r.proposals = map[uint64]chan<- reply{}
		r.pendingReads = map[uint64]readRequest{}
		r.joiners = map[replication.Node]membership.Joiner{}
		r.view.init(r.Source)
		r.start(r.RecoveredState)
	})
}

// start creates the machine from the recovered state.
func (r *Replica) start(recovered replication.StoredState) {
	seed := maphash.String(maphash.MakeSeed(), r.Folder.Incarnation())
	r.machine = replication.New(replication.Node(r.Folder.Incarnation()), seed, recovered)
	r.appliedIndex = recovered.Snapshot.Index
	r.view.publishDeclared(r.Ledger.Declared())
	r.publishInstalled()
	r.publish()
}

// Handler returns a handler for the replica's services. It may be called once Run has started.
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
	if r.Arbiter != nil {
		arbiterServer := wire.NewArbiterServer(r.Arbiter)
		mux.Handle(arbiterServer.PathPrefix(), arbiterServer)
	}
	if r.Streams != nil {
		streamsServer := wire.NewStreamsServer(r.Streams)
		mux.Handle(streamsServer.PathPrefix(), streamsServer)
	}
	if r.Saves != nil {
		savesServer := wire.NewSavesServer(r.Saves)
		mux.Handle(savesServer.PathPrefix(), savesServer)
	}
	return mux
}

func (r *Replica) loop(ctx context.Context) {
	ticker := time.NewTicker(r.Tick)
	defer ticker.Stop()
	defer r.stopSenders()
	for ctx.Err() == nil {
		r.next(ticker, ctx.Done())
	}
	r.handOver(ticker)
}

// next runs one round with the queued inputs, unless stop is closed first.
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

// handOver makes a leader step down before a planned stop. The replica keeps participating until
// it knows a new leader, for at most handOverTimeout.
func (r *Replica) handOver(ticker *time.Ticker) {
	if !r.machine.Leading() || len(r.machine.Members()) == 1 {
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	r.round([]any{replication.Resign{}})
	for r.machine.Leader() == "" && limit.Err() == nil {
		r.next(ticker, limit.Done())
	}
	r.Log.Info().Str("event", "handed_over").Str("leader", string(r.machine.Leader())).Msg("")
}
