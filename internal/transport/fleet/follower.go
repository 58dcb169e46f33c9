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

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

const (
	// pollWait is how long a source holds a poll; it is short enough that two of them
	// lie within the 3 s after which a healed cut must not matter any more.
	pollWait = time.Second
	// pollTimeout gives up a source that is cut off or frozen.
	pollTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// retryWait is the pause after a failed poll.
	retryWait = 200 * time.Millisecond
	// lostAfter is how long a source may be out of reach before what it alone vouched
	// for is forgotten, while another source is within reach.
	lostAfter = 15 * time.Second
	// busyFor is how long the word of a source that does not answer any more holds about
	// instances that load weights: a load takes a second or two.
	busyFor = 3 * time.Second
	// viewInterval is how often the view is made anew without news, for what ages.
	viewInterval = time.Second
)

// View is what an entry goes by. It never changes once it is published.
type View struct {
	// Config is nil until a configuration is known.
	Config *deployment.Config
	// Instances holds the live instances of each service, in the order of their ids.
	Instances map[string][]registry.Instance
	// Weights holds the newest weight version of each model, and WeightsAt when this
	// process learned of it.
	Weights   map[string]uint64
	WeightsAt map[string]time.Time
	// Control holds the addresses of the control instances.
	Control []string
	// Busy holds the instances that load weights, or will next.
	Busy map[string]bool
	// Stores holds what each store keeps, by its address.
	Stores map[string]Kept
	// Entries is the highest number of entries that a source saw lately, at least 1.
	Entries int
}

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
	// Log receives one line for each event.
	Log *log.Logger

	once   sync.Once
	client *http.Client
	view   atomic.Pointer[View]

	mu sync.Mutex
	// The fields below are guarded by mu.
	config    *deployment.Config
	merged    registry.Merged
	weights   map[string]uint64
	weightsAt map[string]time.Time
	sources   map[string]*source
	// instances is the last view's; it is made anew only after reports, and each
	// viewInterval for what ages.
	instances map[string][]registry.Instance
}

// source is what is known of one control instance.
type source struct {
	cancel context.CancelFunc
	epoch  uint64
	change uint64
	// answered is when it last answered, and reached whether the last poll did.
	answered time.Time
	reached  bool
	control  []string
	entries  int
	// stores holds what the source told of stores, and storeChange its mark.
	stores      map[string]Kept
	storeChange uint64
	// busy names the instances that the source's process has load weights.
	busy []string
}

func (f *Follower) init() {
	f.once.Do(func() {
		// One connection a poll at most, and none that outlives a cut: a poll that
		// times out closes its connection.
		f.client = &http.Client{Timeout: pollTimeout, Transport: &http.Transport{
			DialContext: netdial.Dialer(dialTimeout).DialContext,
		}}
		f.merged = registry.Merged{Grace: silentBeats * f.Heartbeat}
		f.weights = map[string]uint64{}
		f.weightsAt = map[string]time.Time{}
		f.sources = map[string]*source{}
		f.view.Store(&View{Entries: 1})
	})
}

// View returns the newest view.
func (f *Follower) View() *View {
	f.init()
	return f.view.Load()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	defer f.client.CloseIdleConnections()
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ticker.C:
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
		f.sources[address] = &source{cancel: cancel, answered: time.Now()}
		go f.watch(watch, address)
	}
	for address, s := range f.sources {
		if !slices.Contains(wanted, address) {
			s.cancel()
			delete(f.sources, address)
			f.merged.Forget(address, time.Now())
		}
	}
	f.forgetLost()
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
		if s.reached || time.Since(s.answered) < lostAfter {
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// forgetLost drops what only a long lost source vouches for; mu must be held.
func (f *Follower) forgetLost() {
	reached := false
	for _, s := range f.sources {
		reached = reached || s.reached
	}
	for address, s := range f.sources {
		if reached && time.Since(s.answered) > lostAfter {
			f.merged.Forget(address, time.Now())
		}
	}
}

// watch polls one source until ctx ends.
func (f *Follower) watch(ctx context.Context, address string) {
	client := wire.NewFleetProtobufClient("http://"+address, f.client)
	for ctx.Err() == nil {
		out, err := client.Watch(ctx, f.request(address))
		if err != nil {
			f.lost(address, err)
			select {
			case <-time.After(retryWait):
			case <-ctx.Done():
			}
			continue
		}
		f.take(address, out)
	}
}

func (f *Follower) request(address string) *wire.FleetRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := &wire.FleetRequest{Name: f.Name, Entry: f.Entry, Weights: fromWeights(f.weights), WaitMilliseconds: uint32(pollWait.Milliseconds())}
	if s := f.sources[address]; s != nil {
		in.Epoch = s.epoch
		in.Change = s.change
		in.StoreChange = s.storeChange
		in.Busy = s.busy
		for _, kept := range s.stores {
			in.StoresUntil = max(in.StoresUntil, kept.Until.Milliseconds())
		}
	}
	if f.config != nil {
		in.ConfigVersion = f.config.Version
	}
	return in
}

func (f *Follower) lost(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || !s.reached {
		return
	}
	s.reached = false
	f.Log.Info().Str("event", "control_lost").Str("address", address).Str("error", err.Error()).Msg("")
}

// take joins one answer into the view.
func (f *Follower) take(address string, out *wire.FleetResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return
	}
	now := time.Now()
	if !s.reached {
		f.Log.Info().Str("event", "control_reached").Str("address", address).Uint64("epoch", out.Epoch).Msg("")
	}
	if s.epoch != out.Epoch {
		f.merged.Forget(address, now)
		s.stores = nil
	}
	s.reached = true
	s.answered = now
	s.epoch = out.Epoch
	s.change = out.Change
	s.control = out.Control
	s.entries = int(out.Entries)
	s.storeChange = out.StoreChange
	s.busy = out.Busy
	s.takeStores(out.Stores, now)
	reports := make([]registry.Report, 0, len(out.Instances))
	for _, r := range out.Instances {
		reports = append(reports, toReport(r))
	}
	f.merged.Take(address, reports, now)
	if len(reports) > 0 {
		f.joinInstances()
	}
	f.takeWeights(toWeights(out.Weights), now)
	f.takeConfig(address, out)
	f.publish()
}

func (f *Follower) takeWeights(weights map[string]uint64, now time.Time) {
	for model, version := range weights {
		if version <= f.weights[model] {
			continue
		}
		f.weights[model] = version
		f.weightsAt[model] = now
		f.Log.Info().Str("event", "weights_named").Str("model", model).Uint64("version", version).Msg("")
	}
}

// takeConfig puts a newer configuration in force; an older one never follows.
func (f *Follower) takeConfig(address string, out *wire.FleetResponse) {
	if out.ConfigText == nil || f.config != nil && out.ConfigVersion <= f.config.Version {
		return
	}
	config, err := f.Decode(out.ConfigText)
	if err != nil {
		f.Log.Error().Str("event", "configuration_unreadable").Uint64("version", out.ConfigVersion).Str("from", address).Str("error", err.Error()).Msg("")
		return
	}
	f.config = config
	f.Log.Info().Str("event", "configuration_in_force").Uint64("version", config.Version).Str("from", address).Int("routes", len(config.Routes)).Msg("")
}

// joinInstances lists the live instances of each service; mu must be held.
func (f *Follower) joinInstances() {
	f.instances = map[string][]registry.Instance{}
	for _, in := range f.merged.Live(time.Now()) {
		f.instances[in.Service] = append(f.instances[in.Service], in)
	}
}

// publish makes the view anew; mu must be held.
func (f *Follower) publish() {
	v := &View{
		Config: f.config, Instances: f.instances, Entries: 1,
		Weights: maps.Clone(f.weights), WeightsAt: maps.Clone(f.weightsAt), Control: slices.Sorted(maps.Keys(f.sources)),
		Stores: newestStores(f.sources), Busy: map[string]bool{},
	}
	for _, s := range f.sources {
		if time.Since(s.answered) < busyFor {
			for _, id := range s.busy {
				v.Busy[id] = true
			}
		}
		v.Entries = max(v.Entries, s.entries)
	}
	f.view.Store(v)
}
