package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/state/weights"
)

// busyRetention is how long the busy instances reported by a source remain in effect after its last
// answer: loading weights takes a second or two.
const busyRetention = 3 * time.Second

// View is the state by which an entry serves. It is immutable once published.
type View struct {
	// Config is the configuration in force; it is nil until one is known.
	Config *deployment.Config
	// NewestConfigVersion is the newest configuration version that any source announced. While it
	// is above Config's version, this process serves by an older one and is fetching the newer one.
	NewestConfigVersion uint64
	// Instances holds the live instances of each service, in the order of their ids.
	Instances map[string][]registry.Instance
	// SoftwareVersions holds the software versions of each service, with the times since when this process
	// knows them. Its values are never modified.
	SoftwareVersions map[string]streamorigin.Versions
	// RecordedVersions holds the software versions of services at which streams may begin.
	RecordedVersions RecordedVersions
	// Weights holds the newest weight version of each model, and WeightHistories what is known of
	// when its versions were announced.
	Weights         map[string]uint64
	WeightHistories map[string]weights.History
	// Contact tells whether the control log is reachable.
	Contact Contact
	// KnownAsOf is until when all that any control instance learned is in this view, or zero if that is not known.
	KnownAsOf time.Time
	// Replicas holds the addresses of all control instances that are known, in order, and Control those that
	// this process polls. Leader is the address of the one that leads
	// the control log; it is empty while no source that answers knows it.
	Replicas, Control []string
	Leader            string
	// Busy holds the instances that are loading weights, or are next to do so.
	Busy map[registry.Incarnation]bool
	// Failing holds the instances that answer but fail, judged by the failures seen by all entries.
	Failing map[registry.Incarnation]bool
	// Loads holds the loads that engines reported, LoadsAt when this process received the newest of
	// them, and LoadsInterval the interval at which engines are polled.
	Loads   map[registry.Incarnation]balance.EngineLoad
	LoadsAt time.Time

	LoadsInterval time.Duration
	// Stores holds the contents of each store, by address.
	Stores map[string]keeping.StoreContents
	// Evacuated holds the failure domains at whose instances no request may begin, and Returned
	// those whose evacuation has ended, each with the time since when that is so.
	Evacuated, Returned map[string]time.Time
	// Unreachable holds the failure domains that the own one can't reach, each with since when.
	Unreachable map[string]time.Time
	// Evacuations is the newest revision of evacuations in force here.
	Evacuations uint64
	// Entries is the highest number of entries that any source counted lately, at least 1, and Rank
	// this entry's rank among them.
	Entries, Rank int
	// Peers holds the entries through which this entry may send requests.
	Peers []detour.Peer
}

// IsLive reports whether an incarnation is among the live instances.
func (v *View) IsLive(in registry.Instance) bool {
	i, found := findInstance(v.Instances[in.Service], in.ID)
	return found && v.Instances[in.Service][i].Start == in.Start
}

// Superseded reports whether a later process has an instance's id or address. One that started before may have the address
// again by the registry, once the instance's service is not declared any more.
func (v *View) Superseded(in registry.Instance) bool {
	_, ok := v.SuccessorOf(in)
	return ok
}

// SuccessorOf returns the later process that has an instance's id or address; ok is false if there is none.
func (v *View) SuccessorOf(in registry.Instance) (later registry.Instance, ok bool) {
	for _, instances := range v.Instances {
		i, found := findInstance(instances, in.ID)
		if found && instances[i].Start > in.Start {
			return instances[i], true
		}
	}
	if v.IsLive(in) {
		return registry.Instance{}, false
	}
	for _, instances := range v.Instances {
		i := slices.IndexFunc(instances, func(other registry.Instance) bool { return v.takesAddress(other, in) })
		if i >= 0 {
			return instances[i], true
		}
	}
	return registry.Instance{}, false
}

// takesAddress reports whether an instance with another id has the address of in and did not start before it. If a start is
// unknown, that is so while the service of in is declared: the registry lists the one that was seen later then.
func (v *View) takesAddress(other, in registry.Instance) bool {
	if other.Address != in.Address || other.ID == in.ID {
		return false
	}
	if other.Start != 0 && in.Start != 0 {
		return other.Start >= in.Start
	}
	return v.isDeclared(in.Service)
}

// isDeclared reports whether a service may be declared: as long as no configuration is known, any may.
func (v *View) isDeclared(service string) bool {
	if v.Config == nil {
		return true
	}
	_, ok := v.Config.Services[service]
	return ok
}

// findInstance returns the index of an id in a list that is in the order of ids.
func findInstance(instances []registry.Instance, id string) (i int, found bool) {
	return slices.BinarySearchFunc(instances, id, func(in registry.Instance, id string) int { return strings.Compare(in.ID, id) })
}

// scheduleRebuild rebuilds the list of instances now, or, if it was rebuilt recently, as soon as
// rebuildShare and the minimum pause allow; mu must be held.
func (f *Follower) scheduleRebuild(now time.Time) {
	if f.rebuildScheduled {
		return
	}
	pause := max(f.minRebuildPause(), rebuildShare*f.rebuildDuration) - now.Sub(f.rebuiltAt)
	if pause <= 0 {
		f.rebuildInstances()
		return
	}
	f.rebuildScheduled = true
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rebuildInstances()
		f.publish()
	})
}

// minRebuildPause returns the minimum time between two rebuilds; mu must be held.
func (f *Follower) minRebuildPause() time.Duration {
	if !f.Entry {
		return longRebuildPause
	}
	for _, s := range f.sources {
		if s.backlog > 0 {
			return longRebuildPause
		}
	}
	return minRebuildPause
}

// rebuildInstances rebuilds the list of live instances of each service; mu must be held.
func (f *Follower) rebuildInstances() {
	f.rebuildScheduled = false
	startedAt := clock.Now()
	f.instances = f.merged.LiveByService(startedAt)
	f.updateSoftwareVersions(startedAt)
	f.rebuiltAt = clock.Now()
	f.rebuildDuration = f.rebuiltAt.Sub(startedAt)
}

// publish publishes a new view; mu must be held.
func (f *Follower) publish() {
	if !f.rebuildScheduled {
		f.knownAsOf = f.latestAsOf()
	}
	v := &View{
		Config: f.config, NewestConfigVersion: f.newestVersion(), Instances: f.instances, Entries: 1,
		Weights: newestVersions(f.weightHistories), WeightHistories: maps.Clone(f.weightHistories), Contact: f.contact, KnownAsOf: f.knownAsOf, SoftwareVersions: f.softwareVersions, RecordedVersions: f.recordedVersions(), Replicas: f.replicas(), Control: slices.Sorted(maps.Keys(f.sources)), Leader: leaderOf(f.sources),
		Stores: newestStores(f.sources), Busy: map[registry.Incarnation]bool{}, Failing: f.failing(clock.Now()),
		Evacuated: f.evacuations.Evacuated(), Returned: f.evacuations.Ended(), Evacuations: f.evacuations.Revision(),
		Unreachable: f.unreachable(clock.Now()), Peers: f.peers,
	}
	for _, in := range f.busy(clock.Now()) {
		v.Busy[in] = true
	}
	for _, s := range f.sources {
		if clock.Since(s.answeredAt) < busyRetention {
			v.Loads = mergeLoads(v.Loads, s.loads.loads)
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

// leaderOf returns the leader that was named last by any source that answers. A source that is cut off from
// the others may name a former leader, but has done so for longer.
func leaderOf(sources map[string]*sourceState) string {
	leader, since := "", time.Time{}
	for _, s := range sources {
		if s.reachable && s.leader != "" && s.leaderSince.After(since) {
			leader, since = s.leader, s.leaderSince
		}
	}
	return leader
}

// mergeLoads merges the loads from two sources. Only while two control instances lead do both have
// any. If one has none, the other's map is returned without a copy, as there is a view for each
// answer.
func mergeLoads(a, b map[registry.Incarnation]balance.EngineLoad) map[registry.Incarnation]balance.EngineLoad {
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
