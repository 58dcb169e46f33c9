package fleet

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/suspects"
	"github.com/shedrock/shedrock/internal/state/chunks"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

const (
	// lostAfter is how long a source may be out of reach before what it alone vouched
	// for is forgotten, while another source is within reach.
	lostAfter = 15 * time.Second
	// viewInterval is how often the view is made anew without news, for what ages, and seeds are
	// looked at again.
	viewInterval = time.Second
	// joinShare bounds the time spent on joining the instances, to one part in so many: it takes
	// longer the more there are, and each source tells of them in answers of its own. joinPause is
	// the least time between two.
	joinShare = 10
	joinPause = 50 * time.Millisecond
)

// Follower watches all sources. Set the exported fields, then Run.
type Follower struct {
	// Name identifies this process to the sources; Entry says that it serves callers.
	Name  string
	Entry bool
	// Seeds returns the sources to begin with; it may change.
	Seeds func() []string
	// Decode reads a configuration's text; the result was checked.
	Decode func([]byte) (*deployment.Config, error)
	// Heartbeat is how often instances report.
	Heartbeat time.Duration
	// Ends, when set, holds what this entry knows of ends of instances, and learns what others do.
	Ends *ends.Tracker
	// FailuresPending, when set, is signalled when requests have failed at instances that answered, and
	// Failures returns what was seen since the last call.
	FailuresPending <-chan struct{}
	TakeFailures    func() []suspects.Failures
	// Log receives one line for each event.
	Log *log.Logger

	once   sync.Once
	client *http.Client
	// work ends with Run; it is set before the first watch begins.
	work context.Context
	view atomic.Pointer[View]
	// renamed holds a token when a source named other control instances than before.
	renamed chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	config *deployment.Config
	// fetching is true while a configuration is fetched.
	fetching bool
	// unreadable is the newest version whose text did not decode; it is not fetched again.
	unreadable uint64
	// text is that of config. Only the fetch under way reads or replaces it.
	text   *chunks.Text
	merged registry.Merged
	// named holds what any source told of the versions of weights that were named.
	named map[string]weights.History
	// evacuations holds what any source told of evacuated failure domains.
	evacuations evacuation.View
	contact     Contact
	// outOfReach is what was last logged of contact.
	outOfReach bool
	sources    map[string]*knownSource
	// instances is the last view's, made at joinedAt in joinTook; it is made anew only after
	// reports, and each viewInterval for what ages. succession is of the same instances.
	instances  map[string][]registry.Instance
	succession *succession
	joinedAt   time.Time
	joinTook   time.Duration
	// joining is true while the instances are to be joined soon.
	joining bool
}

func (f *Follower) init() {
	f.once.Do(func() {
		// One connection a poll at most, and none that outlives a cut: a poll that
		// times out closes its connection.
		f.client = &http.Client{Timeout: pollTimeout, Transport: &http.Transport{
			DialContext: netdial.NewAdaptiveDialer(dialTimeout).DialContext,
		}}
		f.merged = registry.Merged{Grace: silentBeats * f.Heartbeat, Declared: f.declared}
		f.named = map[string]weights.History{}
		f.sources = map[string]*knownSource{}
		f.renamed = make(chan struct{}, 1)
		f.view.Store(&View{Entries: 1})
	})
}

// declared reports whether the configuration in force has a service; before the first one is
// known, any may come. mu must be held.
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

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	f.work = ctx
	defer f.client.CloseIdleConnections()
	if f.Ends != nil {
		go f.tellFacts(ctx)
	}
	if f.FailuresPending != nil {
		go f.tellFailures(ctx)
	}
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ticker.C:
		case <-f.renamed:
		case <-ctx.Done():
			return
		}
	}
}

// refresh starts and stops watches as the list of sources changes, and makes the view
// anew.
func (f *Follower) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.wanted()
	for _, address := range wanted {
		if f.sources[address] != nil {
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		f.sources[address] = &knownSource{cancel: cancel, answered: clock.Now(), told: ends.NewReceiverState()}
		go f.watch(watch, address)
	}
	for address, s := range f.sources {
		if !slices.Contains(wanted, address) {
			s.cancel()
			delete(f.sources, address)
			f.merged.DropSource(address, clock.Now())
		}
	}
	f.forgetLost()
	f.noteReach(clock.Now())
	f.joinInstances()
	f.publish()
}

// wanted returns the seeds and whatever sources name as control instances; mu must be
// held.
func (f *Follower) wanted() []string {
	set := map[string]bool{}
	for _, address := range f.Seeds() {
		set[address] = true
	}
	for _, s := range f.sources {
		if !s.reached {
			continue
		}
		for _, address := range s.control {
			set[address] = true
		}
	}
	// A source that still answers is kept, whoever names it.
	for address, s := range f.sources {
		if s.reached || clock.Since(s.answered) < lostAfter {
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// forgetLost drops what only a long lost source vouches for, which is to tell it again once it
// is back; mu must be held.
func (f *Follower) forgetLost() {
	reached := false
	for _, s := range f.sources {
		reached = reached || s.reached
	}
	for address, s := range f.sources {
		if reached && clock.Since(s.answered) > lostAfter {
			f.merged.DropSource(address, clock.Now())
			s.forgetInstances()
		}
	}
}
