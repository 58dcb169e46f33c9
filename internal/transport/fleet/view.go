package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// busyFor is how long the word of a source that does not answer any more holds about
// instances that load weights: a load takes a second or two.
const busyFor = 3 * time.Second

// View is what an entry goes by. It never changes once it is published.
type View struct {
	// Config is the configuration in force; it is nil until one is known.
	Config *deployment.Config
	// NewestConfigVersion is the newest version of the configuration that any source told of. While it is
	// above Config's, this process serves by an older one and fetches the newer.
	NewestConfigVersion uint64
	// Instances holds the live instances of each service, in the order of their ids.
	Instances map[string][]registry.Instance
	// Weights holds the newest weight version of each model, and Named what is known of when
	// its versions were named.
	Weights         map[string]uint64
	WeightHistories map[string]weights.History
	// Contact says whether the control log is in reach.
	Contact Contact
	// Control holds the addresses of the control instances.
	Control []string
	// Busy holds the instances that load weights, or will next.
	Busy map[registry.Incarnation]bool
	// Failing holds the instances that answer and fail, by what all entries see.
	Failing map[registry.Incarnation]bool
	// Loads holds what engines told of their load, LoadsAt when this process learned of the
	// newest of it, and LoadsInterval how often they are asked.
	Loads   map[registry.Incarnation]balance.EngineLoad
	LoadsAt time.Time

	LoadsInterval time.Duration
	// Stores holds what each store keeps, by its address.
	Stores map[string]keeping.StoreContents
	// Evacuated holds the failure domains at whose instances no request may begin, and Returned
	// those whose evacuation was ended, each with since when.
	Evacuated, Returned map[string]time.Time
	// Evacuations is the newest change of evacuations that is in force here.
	Evacuations uint64
	// Entries is the highest number of entries that a source saw lately, at least 1, and Rank this
	// one's place among them.
	Entries, Rank int

	// succession is of Instances; a view that was not published has none.
	succession *succession
}

// succession says which incarnations have the ids and the addresses. It is worked out when it is
// asked first: it is needed while attempts are under way, and there are many views.
type succession struct {
	once   sync.Once
	starts map[string]registry.Start
	owners map[string]string
}

// IsLive reports whether an incarnation is among the live instances.
func (v *View) IsLive(in registry.Instance) bool {
	return slices.ContainsFunc(v.Instances[in.Service], func(other registry.Instance) bool { return other.Incarnation() == in.Incarnation() })
}

// Superseded returns what tells whether another incarnation has an instance's id or address.
func (v *View) Superseded() func(registry.Instance) bool {
	s := v.succession
	if s == nil {
		s = &succession{}
	}
	s.once.Do(func() { s.note(v.Instances) })
	return func(in registry.Instance) bool {
		owner, taken := s.owners[in.Address]
		return s.starts[in.ID] > in.Start || taken && owner != in.ID
	}
}

func (s *succession) note(services map[string][]registry.Instance) {
	s.starts = map[string]registry.Start{}
	s.owners = map[string]string{}
	for _, instances := range services {
		for _, in := range instances {
			s.starts[in.ID] = in.Start
			s.owners[in.Address] = in.ID
		}
	}
}

// joinSoon joins the instances at once if they were not joined lately, or else as soon as that is
// so; mu must be held.
func (f *Follower) joinSoon(now time.Time) {
	if f.joining {
		return
	}
	pause := max(joinPause, joinShare*f.joinTook) - now.Sub(f.joinedAt)
	if pause <= 0 {
		f.joinInstances()
		return
	}
	f.joining = true
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.joinInstances()
		f.publish()
	})
}

// joinInstances lists the live instances of each service; mu must be held.
func (f *Follower) joinInstances() {
	f.joining = false
	began := clock.Now()
	f.instances = map[string][]registry.Instance{}
	for _, in := range f.merged.Live(began) {
		f.instances[in.Service] = append(f.instances[in.Service], in)
	}
	f.succession = &succession{}
	f.joinedAt = clock.Now()
	f.joinTook = f.joinedAt.Sub(began)
}

// publish makes the view anew; mu must be held.
func (f *Follower) publish() {
	v := &View{
		Config: f.config, NewestConfigVersion: f.newestVersion(), Instances: f.instances, Entries: 1,
		Weights: newestOf(f.named), WeightHistories: maps.Clone(f.named), Contact: f.contact, Control: slices.Sorted(maps.Keys(f.sources)),
		Stores: newestStores(f.sources), Busy: map[registry.Incarnation]bool{}, succession: f.succession, Failing: f.failing(clock.Now()),
		Evacuated: f.evacuations.Evacuated(), Returned: f.evacuations.Ended(), Evacuations: f.evacuations.Revision(),
	}
	for _, s := range f.sources {
		if clock.Since(s.answered) < busyFor {
			for _, in := range s.busy {
				v.Busy[in] = true
			}
			v.Loads = join(v.Loads, s.loads.loads)
			if len(s.loads.loads) > 0 && s.loads.at.After(v.LoadsAt) {
				v.LoadsAt = s.loads.at
				v.LoadsInterval = s.loads.interval
			}
		}
		if s.entries > v.Entries {
			v.Entries, v.Rank = s.entries, s.rank
		}
	}
	f.view.Store(v)
}

// join returns what either of two sources told of loads. One of them tells nothing but for the time
// in which two lead, and what it tells is not copied: there is a view for each answer.
func join(a, b map[registry.Incarnation]balance.EngineLoad) map[registry.Incarnation]balance.EngineLoad {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}
