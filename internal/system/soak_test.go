package system_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/platform/standin"
)

const (
	// soakCISeeds and soakCIRounds are what CI plays, soakRounds what make soak does.
	soakCISeeds  = 1
	soakCIRounds = 2
	soakRounds   = 4
	// freshSeeds is how many seeds make soak draws when it is given none.
	freshSeeds = 8
	// mostOverlap is the longest time between the beginnings of two faults, and mostHeld the
	// longest time for which all of a round stay on.
	mostOverlap = 700 * time.Millisecond
	mostHeld    = 2500 * time.Millisecond

	// What follows are the bounds that are promised to callers and operators, as the
	// deployments seen so far have them.

	// contactTime is how long after the last fault an instance counts as within reach.
	contactTime = 4 * time.Second
	// ackTime is how long a change may take to be acknowledged, and applyTime how long
	// until it is in force at every entry.
	ackTime   = 5 * time.Second
	applyTime = 2500 * time.Millisecond
	// healTime is how long a lost voter's replacement may take: some more than the longest
	// catchUp that is drawn.
	healTime = 20 * time.Second
	// leaveTime is how long after its acknowledgement an instance that leaves may get requests.
	leaveTime = 2500 * time.Millisecond
	// weightsTime is how long the engines may take to load a named version.
	weightsTime = 15 * time.Second
	// thawTime is how long after a thaw or a heal an order of an earlier holder may arrive.
	thawTime = 300 * time.Millisecond
	// storeRoom is the room of a store in tokens, for a few of the parts that are shared.
	storeRoom = 12_000
	// plannedTime is how long a round looks at planned work alone.
	plannedTime = 1500 * time.Millisecond
)

// failedSeeds are seeds that failed once, each with the round in which it did and the cause.
// They are played in CI.
var failedSeeds = []struct {
	seed   uint64
	rounds int
	cause  string
}{
	{115, 3, "a restarted entry heard of the incarnations at an address in another order, and had no instance"},
}

// The whole deployment keeps its promises under faults that overlap. CI plays a few seeds.
func TestSoak(t *testing.T) {
	play := func(seed uint64, rounds int) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, rounds)
		})
	}
	for seed := range uint64(soakCISeeds) {
		play(seed, soakCIRounds)
	}
	for _, failed := range failedSeeds {
		play(failed.seed, failed.rounds)
	}
}

// TestFreshSoak plays SHEDROCK_SOAK_SEEDS as FIRST-LAST, or seeds that nobody has seen.
func TestFreshSoak(t *testing.T) {
	if os.Getenv("SHEDROCK_SOAK") == "" {
		t.Skip("set SHEDROCK_SOAK to run more seeds")
	}
	first := uint64(time.Now().Unix())
	last := first + freshSeeds - 1
	if from, to, ok := strings.Cut(os.Getenv("SHEDROCK_SOAK_SEEDS"), "-"); ok {
		first, _ = strconv.ParseUint(from, 10, 64)
		last, _ = strconv.ParseUint(to, 10, 64)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, soakRounds)
		})
	}
}

// soakRun is one deployment under faults drawn from a seed.
type soakRun struct {
	*judge
	random *rand.Rand
	// free holds the instances that no fault of the present round concerns.
	free []*instance
	// wiped says that a disk was lost in this round.
	wiped bool
}

// drawPlan draws a deployment: no two have the same sizes, ports, names or bounds.
func drawPlan(random *rand.Rand) plan {
	p := plan{
		entries: 2 + random.IntN(4), upstreams: 2 + random.IntN(4), domains: 2 + random.IntN(3), losses: 1 + random.IntN(2),
		callersPort: 7000 + random.IntN(100), readyPort: 7100 + random.IntN(100), controlPort: 7200 + random.IntN(100), peerPort: 7300 + random.IntN(100),
		heartbeat: time.Duration(200+random.IntN(600)) * time.Millisecond, lease: time.Duration(800+random.IntN(1500)) * time.Millisecond,
		grace: 8 * time.Second, catchUp: time.Duration(3+random.IntN(4)) * time.Second,
		retryWindow: time.Duration(5+random.IntN(6)) * time.Second, retryRatio: 0.1 + 0.2*random.Float64(), retrySlack: 20 + random.IntN(60),
		names: fmt.Sprintf("n%x-", random.IntN(1<<16)),
	}
	p.contract, p.stores = drawContract(random)
	// The founders, and up to two more.
	p.controls = 2*p.losses + 1 + random.IntN(3)
	if n, err := strconv.Atoi(os.Getenv("SHEDROCK_SOAK_ENTRIES")); err == nil {
		p.entries = n
	}
	return p
}

func drawContract(random *rand.Rand) (c standin.Contract, stores int) {
	c = standin.Contract{
		Name: fmt.Sprintf("c%x", random.IntN(1<<12)), Attempts: 1 + random.IntN(3), Resumable: random.IntN(3) > 0, Engines: random.IntN(4) > 0,
	}
	if random.IntN(2) == 0 {
		c.Key = fmt.Sprintf("key%x", random.Uint64())
		c.IsolatedKey = fmt.Sprintf("key%x", random.Uint64())
	}
	if c.Engines {
		stores = random.IntN(4)
		c.StoreRoom = storeRoom
	}
	return c, stores
}

func soak(t *testing.T, seed uint64, rounds int) {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	r := &soakRun{judge: newJudge(startSite(t, drawPlan(random), newLinks(t)), seed), random: random}
	r.start()
	for range rounds {
		r.disturb()
		r.settle()
		r.calm()
		r.planned()
	}
	r.judge.end()
}

// start brings the deployment to work, and begins to judge it.
func (r *soakRun) start() {
	for _, u := range r.upstreams {
		u.keepBeating()
	}
	r.within(patience, "a first configuration is acknowledged", func() bool { return r.change(r.random) })
	r.settle()
	r.judge.begin()
}

// disturb begins some faults one after the other, lets them overlap, and ends them.
func (r *soakRun) disturb() {
	r.free = r.instances()
	r.wiped = false
	var undo []func()
	for range 2 + r.random.IntN(3) {
		name, end := r.fault()
		r.t.Logf("%s fault: %s", time.Now().Format("05.000"), name)
		undo = append(undo, end)
		time.Sleep(time.Duration(r.random.Int64N(int64(mostOverlap))))
	}
	time.Sleep(time.Duration(r.random.Int64N(int64(mostHeld))))
	for _, n := range r.random.Perm(len(undo)) {
		undo[n]()
		r.thawed()
		time.Sleep(time.Duration(r.random.Int64N(int64(mostOverlap))))
	}
	r.links.heal()
	r.thawed()
}

// settle waits until what was disturbed works again with no operator's help.
func (r *soakRun) settle() {
	for _, u := range r.upstreams {
		u.Set(standin.Faults{})
	}
	for _, k := range r.stores {
		k.Skew(0)
	}
	for _, e := range r.entries {
		r.within(recoverTime, "an entry serves again", func() bool {
			r.sequence.Add(1)
			status, _ := r.call(e, r.contract.SafePath(), r.newID())
			return status == 200
		})
	}
	r.within(healTime, "every vote is held by a running control instance", r.votesHeld)
	time.Sleep(contactTime)
}

// calm holds the deployment to what has a time bound; nothing disturbs it.
func (r *soakRun) calm() {
	r.holdChanges(true)
	version := r.acknowledgeNewest()
	time.Sleep(applyTime)
	for _, e := range r.entries {
		status, _ := r.call(e, r.contract.VersionPath(version), r.newID())
		older, _ := r.call(e, r.contract.VersionPath(version-1), r.newID())
		if diff := cmp.Diff([]int{200, 404}, []int{status, older}); diff != "" {
			r.t.Errorf("%s does not obey version %d: %s", e.settings.Name, version, diff)
		}
	}
	for _, c := range r.controls {
		r.within(ackTime, c.settings.Name+" reads back the newest version", func() bool { return installed(c) >= version })
	}
	r.holdChanges(false)
	if r.contract.Engines {
		r.loadWeights()
	}
	for _, in := range r.instances() {
		if in.ended() || strings.Contains(in.text(), "panic: ") || strings.Contains(in.text(), "fatal error: ") {
			r.t.Errorf("%s ended by itself", in.settings.Name)
		}
	}
}

// acknowledgeNewest changes the configuration and returns the version in force.
func (r *soakRun) acknowledgeNewest() int {
	before := r.acknowledged()
	r.within(ackTime, "a change is acknowledged", func() bool { return r.change(r.random) && r.acknowledged() > before })
	return r.acknowledged()
}

// loadWeights names new weights; every engine must load them in time.
func (r *soakRun) loadWeights() {
	r.weights++
	r.within(ackTime, "new weights are acknowledged", func() bool {
		return r.contract.NameWeights(r.controls[r.random.IntN(len(r.controls))].control, r.weights) == 200
	})
	r.within(weightsTime, "every engine has loaded them", func() bool {
		for _, u := range r.upstreams {
			if _, weights := u.State(); weights != r.weights {
				return false
			}
		}
		return true
	})
}

// planned does what operators plan, while no order may be lost: an entry stops, an instance
// leaves, settings and configuration change.
func (r *soakRun) planned() {
	r.strict(true)
	e := r.entries[r.random.IntN(len(r.entries))]
	stopped := make(chan struct{})
	r.newLife(e)
	go func() {
		defer close(stopped)
		e.terminate()
	}()
	other := r.instances()[r.random.IntN(len(r.instances()))]
	if other != e {
		r.hangUp(other)
	}
	r.leaves(r.upstreams[r.random.IntN(len(r.upstreams))])
	time.Sleep(plannedTime)
	<-stopped
	r.strict(false)
	e.start()
}

// leaves makes an instance leave; once that is acknowledged, it soon gets nothing more.
func (r *soakRun) leaves(u *upstream) {
	id, _ := u.State()
	u.leave()
	r.within(ackTime, "a leaving instance is acknowledged", func() bool { return u.beat(r.controls[r.random.IntN(len(r.controls))]) })
	acknowledged := time.Now()
	time.Sleep(leaveTime + contactTime/4)
	for _, a := range r.record.Arrivals() {
		if a.Instance == id && a.At.After(acknowledged.Add(leaveTime)) {
			r.t.Errorf("%s got request %s %s after its leaving was acknowledged", id, a.ID, a.At.Sub(acknowledged))
		}
	}
	u.restart()
}

// votesHeld reports whether the control log has as many voters as it should, each of them
// running with the disk that it voted with, and holding what is committed.
func (r *soakRun) votesHeld() bool {
	ctx, cancel := context.WithTimeout(context.Background(), standin.CallTimeout)
	defer cancel()
	var addresses []string
	for _, c := range r.controls {
		addresses = append(addresses, c.settings.PeerAddress())
	}
	all := controlclient.New(controlclient.Fixed(addresses)).Status(ctx)
	running := map[string]bool{}
	for _, s := range all {
		running[s.Incarnation] = true
	}
	for _, s := range all {
		if s.Leader == s.Incarnation && s.Incarnation != "" && r.holds(s, running) {
			return true
		}
	}
	return false
}

// holds reports whether a leader's voters are complete and run.
func (r *soakRun) holds(leader *wire.StatusResponse, running map[string]bool) bool {
	voters := 0
	for _, member := range leader.Replicas {
		if member.Voter && running[member.Incarnation] && member.Matched >= leader.Committed {
			voters++
		}
	}
	return voters == 2*r.plan.losses+1
}

// hangUp writes other settings, and says so.
func (r *soakRun) hangUp(in *instance) {
	seeds := in.settings.Seeds
	r.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	in.write(r.site)
	in.hangUp()
}
