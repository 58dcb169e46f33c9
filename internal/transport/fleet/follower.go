package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/state/chunks"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/netdial"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// sourceLostAfter is how long a source may be unreachable before instances reported only by it
	// are dropped, while another source is reachable.
	sourceLostAfter = 15 * time.Second
	// viewInterval is how often the view is rebuilt without changes, to account for expiry, and how
	// often the seeds are read again.
	viewInterval = time.Second
	// rebuildShare limits the time spent on rebuilding the list of instances to a fraction of
	// 1/rebuildShare: the more instances there are the longer it takes, and each source sends them
	// in separate answers. minRebuildPause is the minimum time between two rebuilds.
	rebuildShare    = 10
	minRebuildPause = 50 * time.Millisecond
	// longRebuildPause is that minimum while a source is still sending what it knew before, and in a
	// process that serves no requests: each rebuild copies all instances that are known by then.
	longRebuildPause = 250 * time.Millisecond
)

// Follower polls all sources and merges their answers. Set the exported fields, then call Run.
type Follower struct {
	// Name identifies this process to the sources. Entry is true if it serves requests.
	Name  string
	Entry bool
	// FailureDomain is the failure domain of this process. Sources in it are preferred.
	FailureDomain string
	// PeerAddress is where other entries reach this entry, or empty if they do not. PathLost reports whether this
	// entry does not reach the instances of some service; it must be set with PeerAddress.
	PeerAddress string
	PathLost    func() bool
	// Relay, when set, is the source of this process, a control instance, and Address its own address.
	// What the other sources report is relayed to the pollers of Relay.
	Relay   *Source
	Address string
	// Seeds returns the addresses of the sources to start with. The result may change over time.
	Seeds func() []string
	// Decode decodes a configuration's text and validates the result.
	Decode func([]byte) (*deployment.Config, error)
	// Heartbeat is the interval at which instances report.
	Heartbeat time.Duration
	// Ends, when set, is this entry's tracker of instance ends. Its facts are sent to the sources,
	// and facts received from them are merged into it.
	Ends *ends.Tracker
	// FailuresPending, when set, is signalled when there are failures to report: requests have failed
	// at instances that answered. TakeFailures returns the failures since its last call.
	FailuresPending <-chan struct{}
	TakeFailures    func() []suspects.Failures
	// Metrics may be nil.
	Metrics *Metrics
	// OnVersionAdded, when set, is called when a service has got a further software version. It must not block.
	OnVersionAdded func(service string)
	// Log receives one line per event.
	Log *log.Logger

	once   sync.Once
	client *http.Client
	// runCtx is the context of Run. It is set before the first source is polled.
	runCtx context.Context
	view   atomic.Pointer[View]
	// refreshRequested holds a token if a source's list of control instances has changed.
	refreshRequested chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	config *deployment.Config
	// fetching is true while a configuration is being fetched.
	fetching bool
	// unreadable is the newest version whose text failed to decode; it is not fetched again.
	unreadable uint64
	// text is the text of config. Only the fetch in progress reads or replaces it.
	text   *chunks.Text
	merged registry.Merged
	// weightHistories holds the announcements of weight versions merged from all sources.
	weightHistories map[string]weights.History
	// evacuations holds the evacuations of failure domains merged from all sources.
	evacuations evacuation.View
	contact     Contact
	// loggedUnreachable is whether contact was unreachable when that was last logged.
	loggedUnreachable bool
	sources           map[string]*sourceState
	// primary is the source that sends this process all state, or empty if there is none. It was chosen
	// among the sources in known.
	primary string
	known   []string
	// domains holds the failure domain of each control instance, by address, as far as it is known.
	domains map[string]string
	// ownDomainSince is since when control instances of the own failure domain have answered without a
	// gap, or zero.
	ownDomainSince time.Time
	// peers holds the entries through which this entry may send requests.
	peers []detour.Peer
	// pathLost is the last result of PathLost, and pathChangedAt when it changed last, in milliseconds since
	// 1970; it never decreases, so that newer reports are told from older ones.
	pathLost      bool
	pathChangedAt int64
	// relayedLoads identifies the loads that were last relayed.
	relayedLoads loadsVersion
	// instances holds the live instances of the last view. The list was completed at rebuiltAt,
	// which took rebuildDuration. It is rebuilt only after reports, and every viewInterval to
	// account for expiry.
	instances       map[string][]registry.Instance
	rebuiltAt       time.Time
	rebuildDuration time.Duration
	// softwareVersions holds those of each service. The map is replaced when it changes.
	softwareVersions map[string]streamorigin.Versions
	// knownAsOf is until when all that control instances knew is in the last view, or zero.
	knownAsOf time.Time
	// rebuildScheduled is true while a rebuild of instances is scheduled.
	rebuildScheduled bool
}

func (f *Follower) init() {
	f.once.Do(func() {
		// There is at most one connection per poll, and none survives a network partition: a poll
		// that times out closes its connection.
		f.client = inbound.Limit(&http.Client{Timeout: pollTimeout, Transport: &http.Transport{
			DialContext: netdial.NewAdaptiveDialer(dialTimeout).DialContext,
		}}, rpc.MaxResponseBytes)
		f.merged = registry.Merged{Grace: silentHeartbeats * f.Heartbeat, Declared: f.declared, TrackChanges: f.Relay != nil}
		f.weightHistories = map[string]weights.History{}
		f.sources = map[string]*sourceState{}
		f.domains = map[string]string{}
		f.refreshRequested = make(chan struct{}, 1)
		if f.Relay != nil {
			f.Relay.startRelaying()
		}
		f.view.Store(&View{Entries: 1})
	})
}

// declared reports whether the configuration in force has a service. Before the first configuration
// is known, it accepts all services. mu must be held.
func (f *Follower) declared(service string) bool {
	if f.config == nil {
		return true
	}
	_, ok := f.config.Services[service]
	return ok
}

// View returns the newest view.
func (f *Follower) View() *View {
	f.init()
	return f.view.Load()
}

// Run polls the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	f.runCtx = ctx
	defer f.client.CloseIdleConnections()
	if f.Ends != nil {
		go f.reportFacts(ctx)
	}
	if f.FailuresPending != nil {
		go f.reportFailures(ctx)
	}
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ticker.C:
		case <-f.refreshRequested:
		case <-ctx.Done():
			return
		}
	}
}

// refresh starts and stops polling as the list of sources changes, and publishes a new view.
func (f *Follower) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.targetSources()
	for _, address := range wanted {
		if f.sources[address] != nil {
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		f.sources[address] = &sourceState{cancel: cancel, answeredAt: clock.Now(), receiver: ends.NewReceiverState()}
		go f.watch(watch, address)
	}
	for address, s := range f.sources {
		if !slices.Contains(wanted, address) {
			s.cancel()
			delete(f.sources, address)
			f.merged.DropSource(address, clock.Now())
		}
	}
	f.assignRoles()
	f.dropLostSources()
	f.logReachability(clock.Now())
	f.rebuildInstances()
	f.relayExpiry(clock.Now())
	f.publish()
}

// dropLostSources drops the reports of sources that have been unreachable for long; such a source
// must send them again when it is back. mu must be held.
func (f *Follower) dropLostSources() {
	anyReachable := false
	for _, s := range f.sources {
		anyReachable = anyReachable || s.reachable
	}
	for address, s := range f.sources {
		if anyReachable && clock.Since(s.answeredAt) > sourceLostAfter {
			f.merged.DropSource(address, clock.Now())
			s.requestAllInstances()
		}
	}
}
