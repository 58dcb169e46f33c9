// Package entry implements the entry process, the front end that receives callers'
// requests. It authenticates the team by its API key, applies admission control, places
// and dispatches each request, streams the response back, and decides whether a failed
// attempt is retried.
//
// The decisions are made by the side-effect-free packages below internal/coordination;
// this package guards their state with one mutex and performs the I/O around them.
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
	"github.com/shedrock/shedrock/internal/transport/detour"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/httpserve"
	"github.com/shedrock/shedrock/internal/transport/peers"
	"github.com/shedrock/shedrock/internal/transport/upstream"
)

const (
	// DefaultMaxBody is the maximum size of a request body in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultBodyTimeout is how long a request's body may go without a byte.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultContexts is the maximum number of contexts in the directory.
	DefaultContexts = 200_000
	// DefaultMaxWaiting is the maximum number of requests queued at one entry.
	DefaultMaxWaiting = 1024
	// DefaultShutdownDelay is how long an entry keeps accepting requests after it
	// starts to report itself as not ready, so that the load balancer has time to
	// notice.
	DefaultShutdownDelay = time.Second

	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes includes what net/http allows beyond its limit.
	maxHeaderBytes = 16<<10 + 4<<10
)

// Entry is one entry process. Set the exported fields, then Run.
type Entry struct {
	// Name and FailureDomain identify the entry; both come from the configuration.
	Name          string
	FailureDomain string
	// Callers and Operators are the listeners for callers' requests and for health
	// checks and metrics. Run closes them.
	Callers   net.Listener
	Operators net.Listener
	// Secrets seal stream cursors and salt the keys of cached context. The first one is
	// used for both; cursors sealed with any of them are accepted. All entries of a
	// deployment must have the same secrets.
	Secrets [][]byte
	// Control is the client of the control log.
	Control *controlclient.Client
	// Instances, when not empty, is the URL of the platform's list of live and leaving
	// instances.
	Instances string
	// ControlReachable, when set, reports whether the control log is reachable.
	ControlReachable func() bool
	// Peers, when set, connects this entry with the other entries. Whoever starts the
	// entry must also run Peers, with its Find, Apply and Lend set to FindHints,
	// ApplyNotes and LendTokens.
	Peers *peers.Peers
	// Ends tracks which instances ended while they were running which requests. Init
	// creates it when nil.
	Ends *ends.Tracker
	// MaxBody, BodyTimeout, Contexts, MaxWaiting, ShutdownDelay and RelearnInterval use the
	// defaults above, or DefaultRelearnInterval, when zero.
	MaxBody         int64
	BodyTimeout     time.Duration
	Contexts        int
	MaxWaiting      int
	ShutdownDelay   time.Duration
	RelearnInterval time.Duration
	// Log receives one line per event.
	Log *log.Logger

	once sync.Once
	// baseCtx is the parent context of all requests. It is cancelled only after the
	// last request in flight has finished, so that a graceful shutdown interrupts none.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	upstreams  *upstream.Client
	// detours sends attempts, directly or through other entries.
	detours *detour.Upstreams
	sealer  *cursor.Sealer
	metrics *metrics
	// fetches deduplicates concurrent fetches of the same context to the same upstream.
	fetches singleflight.Group
	// state is the declared state that this entry currently applies.
	state atomic.Pointer[declared.State]
	// notReady makes the readiness check fail. It is set before new requests are
	// refused.
	notReady atomic.Bool
	// inFlight counts callers' requests, and background counts work that continues
	// without a caller. Shutdown drains inFlight first and background after it.
	inFlight, background drainGroup
	nextID               atomic.Uint64

	mu sync.Mutex
	// The fields below are guarded by mu.
	queue   *admission.Queue
	waiters map[uint64]chan admission.Effect
	planner *placement.Planner
	budget  *retry.Budget
	// lender lends tokens of the team rate limits that this entry owns; borrower holds
	// the tokens that this entry has borrowed.
	lender        *limits.Lender
	borrower      *limits.Borrower
	pollerCancels map[string]context.CancelFunc
	backoffs      backoffs
	// activeAttempts holds the cancel functions of the attempts in progress, by
	// upstream.
	activeAttempts map[int]map[*job]context.CancelFunc
}

// Run serves until ctx ends, and then returns once every request in flight has been
// answered.
func (e *Entry) Run(ctx context.Context) error {
	err := e.Init()
	if err != nil {
		return err
	}
	defer e.cancelBase()
	callers := &http.Server{
		Handler:     e.callersHandler(),
		BaseContext: func(net.Listener) context.Context { return e.baseCtx },
		ErrorLog:    httpserve.NewErrorLog(e.Log),
	}
	limiter := e.newCallerLimiter()
	limiter.Configure(callers)
	operators := &http.Server{Handler: e.operatorsHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: httpserve.NewErrorLog(e.Log)}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreServerClosed(callers.Serve(limiter.Listener(e.Callers))) })
	group.Go(func() error { return ignoreServerClosed(operators.Serve(e.Operators)) })
	group.Go(func() error { e.resizePeriodically(groupCtx); return nil })
	group.Go(func() error { e.relearnPeriodically(groupCtx); return nil })
	group.Go(func() error { e.Ends.Run(groupCtx); return nil })
	group.Go(func() error { e.detours.Run(e.baseCtx); return nil })
	if e.Instances != "" {
		group.Go(func() error { e.pollInstances(groupCtx); return nil })
	}
	group.Go(func() error {
		<-groupCtx.Done()
		e.shutdown(callers)
		e.cancelBase()
		e.background.drain()
		return operators.Close()
	})
	e.Log.Info().Str("event", "entry_serves").Str("callers", e.Callers.Addr().String()).Str("operators", e.Operators.Addr().String()).Msg("")
	return group.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Init prepares the entry, so that Enforce may be called. Run calls it too.
func (e *Entry) Init() error {
	var err error
	e.once.Do(func() {
		e.baseCtx, e.cancelBase = context.WithCancel(context.Background())
		if e.MaxBody == 0 {
			e.MaxBody = DefaultMaxBody
		}
		if e.BodyTimeout == 0 {
			e.BodyTimeout = DefaultBodyTimeout
		}
		if e.Contexts == 0 {
			e.Contexts = DefaultContexts
		}
		if e.MaxWaiting == 0 {
			e.MaxWaiting = DefaultMaxWaiting
		}
		if e.ShutdownDelay == 0 {
			e.ShutdownDelay = DefaultShutdownDelay
		}
		if e.RelearnInterval == 0 {
			e.RelearnInterval = DefaultRelearnInterval
		}
		e.sealer, err = cursor.NewSealer(e.Secrets...)
		e.upstreams = upstream.New()
		e.metrics = newMetrics()
		e.initEndTracker()
		e.queue = admission.New(0, e.MaxWaiting)
		e.waiters = map[uint64]chan admission.Effect{}
		e.planner = placement.New(e.FailureDomain, e.Contexts, newSeed())
		e.budget = retry.NewBudget()
		e.lender = limits.NewLender()
		e.borrower = limits.NewBorrower()
		e.pollerCancels = map[string]context.CancelFunc{}
		e.backoffs = backoffs{}
		e.activeAttempts = map[int]map[*job]context.CancelFunc{}
		e.state.Store(declared.New())
		e.initDetours()
	})
	return err
}

// shutdown stops the entry gracefully: it fails the readiness check, then refuses new
// requests, then waits for every request in flight.
func (e *Entry) shutdown(callers *http.Server) {
	e.notReady.Store(true)
	if e.Peers != nil {
		e.Peers.Leave()
	}
	e.Log.Info().Str("event", "stopping").Int("in_flight", e.runningRequests()).Msg("")
	time.Sleep(e.ShutdownDelay)
	e.inFlight.drain()
	// Shutdown waits for connections to become idle; by now only refusals can be in
	// progress.
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
	defer cancel()
	line := e.Log.Info().Str("event", "stopped")
	err := callers.Shutdown(ctx)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

func (e *Entry) runningRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Running()
}

// Enforce applies a declared state at this entry, unless it is not newer than the
// current one. It returns once the state is in force.
func (e *Entry) Enforce(state *declared.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state.Revision() <= e.state.Load().Revision() {
		return
	}
	e.state.Store(state)
	e.planner.ApplyDeclared(state)
	e.resizeQueue()
	e.syncPollers(e.baseCtx, state)
}

// resizeInterval is how often this entry recomputes its share of the slots, as entries
// join and leave.
const resizeInterval = time.Second

func (e *Entry) resizePeriodically(ctx context.Context) {
	ticker := time.NewTicker(resizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.mu.Lock()
			e.resizeQueue()
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// overcommitFactor lets an entry run more requests than its share of the slots: the
// excess waits in the upstream's own queue, and an entry with more callers than the
// others is not limited to an equal share.
const overcommitFactor = 1.5

// resizeQueue sets how many requests may run at once from the slots of the upstreams
// that are not leaving; mu must be held.
func (e *Entry) resizeQueue() {
	slots := 0
	for n := range e.planner.UpstreamCount() {
		u := e.planner.Upstream(n)
		if !u.Leaving() {
			slots += u.Slots
		}
	}
	live := e.liveEntries()
	running := slots
	if live > 1 {
		running = min(slots, int(float64(slots)*overcommitFactor)/live+1)
	}
	e.deliver(e.queue.Step(admission.Resize{Running: running, Waiting: e.MaxWaiting, Closed: slots == 0 && e.planner.UpstreamCount() > 0}, clock.Now()))
}

// deliver sends admission effects to the requests that wait for them; mu must be held.
func (e *Entry) deliver(effects []admission.Effect) {
	for _, effect := range effects {
		var id uint64
		switch effect := effect.(type) {
		case admission.Start:
			id = effect.ID
		case admission.Refuse:
			id = effect.ID
		default:
			panic("entry: unexpected admission effect")
		}
		// The channel of each request has room for its only effect, so this does not
		// block.
		e.waiters[id] <- effect
		delete(e.waiters, id)
	}
}

// InRegion reports whether a failure domain is in this entry's region. It must not be
// called before Init.
func (e *Entry) InRegion(failureDomain string) bool {
	return e.state.Load().SameRegion(failureDomain, e.FailureDomain)
}

// Applied returns the revision in force at this entry, for the acknowledgement tree. It
// must not be called before Init.
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
	// rand.Read never returns an error; the runtime aborts the process instead.
	_, _ = rand.Read(b[:])
	var seed uint64
	for _, v := range b {
		seed = seed<<8 | uint64(v)
	}
	return seed
}

// newRunID returns a unique random request ID.
func newRunID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return "run-" + hex.EncodeToString(b[:])
}
