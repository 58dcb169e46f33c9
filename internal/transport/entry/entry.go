// Package entry is the process that takes callers' requests: it knows the team by
// its key, admits, places and dispatches each request, streams the answer back,
// and decides what follows when an attempt fails.
//
// The decisions are made by the pure packages below coordination; this package
// holds their state behind one mutex and does the input and output around them.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/admission"
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/cursor"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/peers"
	"github.com/shedrock/shedrock/internal/transport/upstream"
)

const (
	// DefaultMaxBody bounds a request body in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultContexts bounds the directory.
	DefaultContexts = 200_000
	// DefaultMaxWaiting bounds the requests that wait at one entry.
	DefaultMaxWaiting = 1024
	// DefaultNotice is how long an entry that stops still takes new work, so that
	// the balancer can notice that it is not ready.
	DefaultNotice = time.Second

	headerTimeout  = 5 * time.Second
	keepAlive      = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Entry is one entry process. Set the exported fields, then Run.
type Entry struct {
	// Name and FailureDomain come from the settings.
	Name          string
	FailureDomain string
	// Callers and Operators take connections. Run closes them.
	Callers   net.Listener
	Operators net.Listener
	// Secrets seal cursors and salt the keys of kept context. The first is used;
	// all are accepted in cursors. Every entry of a deployment has the same.
	Secrets [][]byte
	// Control calls the control log.
	Control *controlclient.Client
	// Instances, when not empty, is the URL of the platform's list of live and leaving
	// instances.
	Instances string
	// ControlReachable, when set, says whether the control log is within reach.
	ControlReachable func() bool
	// Peers, when set, joins this entry with others; somebody else runs it, with
	// this entry's Find and Apply.
	Peers *peers.Peers
	// Ends knows which instances ended under which requests; Init makes it when it is nil.
	Ends *ends.Tracker
	// MaxBody, Contexts, MaxWaiting, Notice and Relearn have defaults when zero.
	MaxBody    int64
	Contexts   int
	MaxWaiting int
	Notice     time.Duration
	Relearn    time.Duration
	// Log receives one line for each event.
	Log *log.Logger

	once sync.Once
	// work ends after the last request in flight: a planned stop cuts none off.
	work      context.Context
	endWork   context.CancelFunc
	upstreams *upstream.Client
	sealer    *cursor.Sealer
	metrics   *metrics
	// fetches joins the fetches of one context to one upstream.
	fetches singleflight.Group
	// state is the declared state in force here.
	state atomic.Pointer[declared.State]
	// unready is true before new work is refused.
	unready atomic.Bool
	// inFlight counts callers' requests, and background what goes on without them; a
	// planned stop closes one after the other.
	inFlight, background tally
	nextID               atomic.Uint64

	mu sync.Mutex
	// The fields below are guarded by mu.
	queue   *admission.Queue
	waiting map[uint64]chan admission.Effect
	board   *placement.Planner
	budget  *retry.Budget
	// lender and borrower hold what this entry lends and has of teams' token rates.
	lender   *limits.Lender
	borrower *limits.Borrower
	polls    map[string]context.CancelFunc
	rests    rests
	// active holds, by upstream, what ends the attempts under way there.
	active map[int]map[*job]context.CancelFunc
}

// Run serves until ctx ends, and then until every request in flight has had its
// answer.
func (e *Entry) Run(ctx context.Context) error {
	err := e.Init()
	if err != nil {
		return err
	}
	defer e.endWork()
	callers := &http.Server{
		Handler:           e.callersHandler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       keepAlive,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return e.work },
	}
	operators := &http.Server{Handler: e.operatorsHandler(), ReadHeaderTimeout: headerTimeout}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return served(callers.Serve(e.Callers)) })
	group.Go(func() error { return served(operators.Serve(e.Operators)) })
	group.Go(func() error { e.keepResizing(groupCtx); return nil })
	group.Go(func() error { e.keepRelearning(groupCtx); return nil })
	group.Go(func() error { e.Ends.Run(groupCtx); return nil })
	if e.Instances != "" {
		group.Go(func() error { e.followInstances(groupCtx); return nil })
	}
	group.Go(func() error {
		<-groupCtx.Done()
		e.stop(callers)
		e.endWork()
		e.background.close()
		return operators.Close()
	})
	e.Log.Info().Str("event", "entry_serves").Str("callers", e.Callers.Addr().String()).Str("operators", e.Operators.Addr().String()).Msg("")
	return group.Wait()
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Init prepares the entry, so that Enforce may be called. Run does it as well.
func (e *Entry) Init() error {
	var err error
	e.once.Do(func() {
		e.work, e.endWork = context.WithCancel(context.Background())
		if e.MaxBody == 0 {
			e.MaxBody = DefaultMaxBody
		}
		if e.Contexts == 0 {
			e.Contexts = DefaultContexts
		}
		if e.MaxWaiting == 0 {
			e.MaxWaiting = DefaultMaxWaiting
		}
		if e.Notice == 0 {
			e.Notice = DefaultNotice
		}
		if e.Relearn == 0 {
			e.Relearn = DefaultRelearn
		}
		e.sealer, err = cursor.NewSealer(e.Secrets...)
		e.upstreams = upstream.New()
		e.metrics = newMetrics()
		e.initEnds()
		e.queue = admission.New(0, e.MaxWaiting)
		e.waiting = map[uint64]chan admission.Effect{}
		e.board = placement.New(e.FailureDomain, e.Contexts, newSeed())
		e.budget = retry.NewBudget()
		e.lender = limits.NewLender()
		e.borrower = limits.NewBorrower()
		e.polls = map[string]context.CancelFunc{}
		e.rests = rests{}
		e.active = map[int]map[*job]context.CancelFunc{}
		e.state.Store(declared.New())
	})
	return err
}

// stop ends the process in order: not ready, then no new work, then the end of
// every request in flight.
func (e *Entry) stop(callers *http.Server) {
	e.unready.Store(true)
	if e.Peers != nil {
		e.Peers.Leave()
	}
	e.Log.Info().Str("event", "stopping").Int("in_flight", e.running()).Msg("")
	time.Sleep(e.Notice)
	e.inFlight.close()
	// Shutdown waits for connections to become idle; nothing is in flight now but
	// refusals.
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
	e.Log.Info().Str("event", "stopped").Msg("")
}

func (e *Entry) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Running()
}

// Enforce puts a declared state in force here; it returns when it is.
func (e *Entry) Enforce(state *declared.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state.Revision() <= e.state.Load().Revision() {
		return
	}
	e.state.Store(state)
	e.board.ApplyDeclared(state)
	e.resize()
	e.poll(e.work, state)
}

// resizeInterval is how often an entry's part of the slots is worked out again, as
// entries come and go.
const resizeInterval = time.Second

func (e *Entry) keepResizing(ctx context.Context) {
	ticker := time.NewTicker(resizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.mu.Lock()
			e.resize()
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// overcommit is how much more than its part of the slots an entry may use: an
// upstream's own queue holds the rest, and an entry that has more callers than
// the others is not held back.
const overcommit = 1.5

// resize sets how many requests run at once from the slots in use; mu must be held.
func (e *Entry) resize() {
	slots := 0
	for n := range e.board.UpstreamCount() {
		u := e.board.Upstream(n)
		if !u.Leaving() {
			slots += u.Slots
		}
	}
	live := e.live()
	running := slots
	if live > 1 {
		running = min(slots, int(float64(slots)*overcommit)/live+1)
	}
	e.carry(e.queue.Step(admission.Resize{Running: running, Waiting: e.MaxWaiting, Closed: slots == 0 && e.board.UpstreamCount() > 0}, clock.Now()))
}

// carry hands admission's effects to those who wait; mu must be held.
func (e *Entry) carry(effects []admission.Effect) {
	for _, effect := range effects {
		var id uint64
		switch effect := effect.(type) {
		case admission.Start:
			id = effect.ID
		case admission.Refuse:
			id = effect.ID
		default:
			panic("entry: admission effect outside the sealed set")
		}
		// Each request has a channel with room for its one effect.
		e.waiting[id] <- effect
		delete(e.waiting, id)
	}
}

// InRegion reports whether a failure domain is in this entry's region. It may be called
// after Init.
func (e *Entry) InRegion(failureDomain string) bool {
	return e.state.Load().SameRegion(failureDomain, e.FailureDomain)
}

// Applied says what this entry has in force, for the acknowledgement tree. It may
// be called after Init.
func (e *Entry) Applied() *wire.Applied {
	return &wire.Applied{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		Revision:      e.state.Load().Revision(),
		Unconfirmed:   e.ControlReachable != nil && !e.ControlReachable(),
	}
}

func newSeed() uint64 {
	var b [8]byte
	// rand.Read never fails: the runtime stops the process instead.
	_, _ = rand.Read(b[:])
	var seed uint64
	for _, v := range b {
		seed = seed<<8 | uint64(v)
	}
	return seed
}

// newRunID returns an id that no other request has.
func newRunID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return "run-" + hex.EncodeToString(b[:])
}
