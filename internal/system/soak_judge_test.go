package system_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/platform/standin"
)

const (
	soakCallers   = 4
	soakOperators = 2
	// callPause, changePause and readPause are the pace of callers, operators and readers.
	callPause   = 20 * time.Millisecond
	changePause = 150 * time.Millisecond
	readPause   = 40 * time.Millisecond
	// sharedParts is how many prompts differ in the part that they share with others: more
	// than the stores have room for.
	sharedParts = 24
	// recoverTime is within what time a deployment serves again once its faults are over.
	recoverTime = 15 * time.Second
	// mostResumes is how often a caller goes on with one broken stream.
	mostResumes = 6
)

// judge plays callers and operators against a deployment, and holds what they and the
// upstreams see to the promises.
type judge struct {
	*site
	seed    uint64
	stop    chan struct{}
	workers sync.WaitGroup
	// sequence counts the requests; newest is the newest version that was sent.
	sequence, newest atomic.Int64
	// quiet holds back the operators.
	quiet atomic.Bool
	// weights is the newest weight version that was named.
	weights uint64

	mu sync.Mutex
	// The fields below are guarded by mu.

	// acked is the newest version that was acknowledged.
	acked int
	// orders holds what the callers of orders that run once were told.
	orders []told
	// sent holds when each request of a caller was sent.
	sent []time.Time
	// lives counts the lives of each instance, and obeyed is the newest version that a life
	// was seen to obey.
	lives  map[*instance]int
	obeyed map[life]int
	// thaws holds when processes went on or links were healed.
	thaws []time.Time
	// strictSince is set while only planned work is under way.
	strictSince time.Time
	counts      map[string]int
}

// told is an order and what its caller was told.
type told struct {
	id     string
	answer standin.Answer
	// strict says that nothing but planned work was under way from its sending to its end.
	strict bool
}

type life struct {
	entry  *instance
	number int
}

func newJudge(s *site, seed uint64) *judge {
	return &judge{
		site: s, seed: seed, stop: make(chan struct{}), weights: 1,
		lives: map[*instance]int{}, obeyed: map[life]int{}, counts: map[string]int{},
	}
}

// begin starts callers, operators and readers.
func (j *judge) begin() {
	work := func(n int, pause time.Duration, f func(*rand.Rand, *standin.Caller)) {
		random := rand.New(rand.NewPCG(j.seed, uint64(n)))
		j.workers.Go(func() {
			caller := standin.NewCaller(j.contract)
			defer caller.Close()
			for {
				f(random, caller)
				select {
				case <-j.stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	for n := range soakCallers {
		work(n, callPause, j.callOne)
	}
	for n := range soakOperators {
		work(100+n, changePause, func(random *rand.Rand, _ *standin.Caller) {
			if !j.quiet.Load() {
				j.change(random)
			}
		})
	}
	work(200, readPause, func(random *rand.Rand, _ *standin.Caller) { j.readBack(random) })
	work(201, readPause, func(random *rand.Rand, _ *standin.Caller) { j.probe(random) })
	j.t.Cleanup(j.halt)
}

// halt ends the workers.
func (j *judge) halt() {
	select {
	case <-j.stop:
	default:
		close(j.stop)
	}
	j.workers.Wait()
}

// end ends the workers and judges the whole run.
func (j *judge) end() {
	j.halt()
	j.judgeOrders()
	j.judgeRepeats()
	j.judgeHolders()
	for _, text := range j.record.Broken() {
		j.t.Error(text)
	}
	j.t.Logf("versions %d, orders %d, arrivals %d, answers %v, fetches %s", j.acknowledged(), len(j.orders), len(j.record.Arrivals()), j.counts, j.record.Fetches())
}

// within fails the test when something does not come true in time.
func (j *judge) within(limit time.Duration, what string, ok func() bool) {
	j.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(checkEvery) {
		if time.Now().After(end) {
			j.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func (j *judge) newID() string { return fmt.Sprintf("r%d-%d", j.seed, j.sequence.Add(1)) }

// callOne sends one request of a drawn kind over a kept connection.
func (j *judge) callOne(random *rand.Rand, caller *standin.Caller) {
	e := j.entries[random.IntN(len(j.entries))]
	switch random.IntN(3) {
	case 0:
		j.order(e, caller)
	case 1:
		id := j.send()
		a := caller.Call(e.callers, j.contract.SafePath(), id)
		j.answered("safe", id, a)
	default:
		j.stream(random, caller)
	}
}

// send notes a request that is about to be sent.
func (j *judge) send() (id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent = append(j.sent, time.Now())
	return j.newID()
}

func (j *judge) order(e *instance, caller *standin.Caller) {
	id := j.send()
	began := time.Now()
	a := caller.Call(e.callers, j.contract.OncePath(), id)
	j.answered("once", id, a)
	j.mu.Lock()
	strict := !j.strictSince.IsZero() && began.After(j.strictSince)
	j.mu.Unlock()
	j.noteOrder(id, a, strict)
}

// noteOrder notes a request that runs once, and what its caller was told.
func (j *judge) noteOrder(id string, a standin.Answer, strict bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, told{id, a, strict})
}

// answered judges one answer by itself.
func (j *judge) answered(kind, id string, a standin.Answer) {
	j.mu.Lock()
	j.counts[fmt.Sprint(kind, " ", a.Status)]++
	j.mu.Unlock()
	if a.Status == http.StatusOK && a.Whole && kind != "stream" && a.Body != "ran "+id {
		j.t.Errorf("request %s was answered with %q", id, a.Body)
	}
	switch a.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		j.t.Errorf("%s request %s was denied with %d, which every configuration allows", kind, id, a.Status)
	}
}

// stream follows one stream to its end; where it may be resumed, it goes on at another entry
// whenever it breaks, and elsewhere it begins again.
func (j *judge) stream(random *rand.Rand, caller *standin.Caller) {
	p := standin.Prompt{Shared: fmt.Sprintf("a%x", random.IntN(sharedParts)), Own: fmt.Sprintf("b%x", random.Uint32())}
	p.Isolated = j.contract.IsolatedKey != "" && random.IntN(3) == 0
	last := 0
	for range mostResumes {
		if !j.contract.Resumable {
			last = 0
		}
		e := j.entries[random.IntN(len(j.entries))]
		id := j.send()
		a := caller.Stream(e.callers, id, p, last)
		if !j.contract.Resumable {
			j.noteOrder(id, a, false)
		}
		j.answered("stream", id, a)
		for _, number := range a.Events {
			if number != last+1 {
				j.t.Errorf("stream %s: event %d follows %d", id, number, last)
			}
			last = number
		}
		if a.Status == http.StatusOK && a.Whole {
			if last != standin.StreamEvents {
				j.t.Errorf("stream %s ended as complete after event %d", id, last)
			}
			return
		}
	}
}

// change sends the next version to a drawn control instance; without an answer it is sent
// again to another.
func (j *judge) change(random *rand.Rand) (acknowledged bool) {
	version := int(j.newest.Add(1))
	for range 3 {
		status := j.put(j.controls[random.IntN(len(j.controls))], version)
		if status == http.StatusOK {
			j.mu.Lock()
			defer j.mu.Unlock()
			j.acked = max(j.acked, version)
			return true
		}
		if status >= 400 && status < 500 {
			j.t.Errorf("version %d was refused with %d", version, status)
		}
	}
	return false
}

func (j *judge) acknowledged() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acked
}

// holdChanges holds back the operators, and waits until none is on its way.
func (j *judge) holdChanges(hold bool) {
	j.quiet.Store(hold)
	if hold {
		time.Sleep(3 * standin.CallTimeout / 2)
	}
}

// readBack holds what a control instance reads back to what was acknowledged before.
func (j *judge) readBack(random *rand.Rand) {
	c := j.controls[random.IntN(len(j.controls))]
	before := j.acknowledged()
	if got := installed(c); got != 0 && got < before {
		j.t.Errorf("%s read back version %d after %d was acknowledged", c.settings.Name, got, before)
	}
}

// probe looks which of the newest versions an entry obeys: it never goes back in one life.
func (j *judge) probe(random *rand.Rand) {
	e := j.entries[random.IntN(len(j.entries))]
	version := max(1, int(j.newest.Load())-random.IntN(4))
	j.mu.Lock()
	now := life{e, j.lives[e]}
	obeyed := j.obeyed[now]
	j.mu.Unlock()
	status, _ := j.call(e, j.contract.VersionPath(version), j.send())
	if status != http.StatusOK {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if (life{e, j.lives[e]}) != now {
		return
	}
	if version < obeyed {
		j.t.Errorf("%s ran a request by version %d after one by %d", e.settings.Name, version, obeyed)
	}
	j.obeyed[now] = max(j.obeyed[now], version)
}

// newLife notes that an instance is about to end.
func (j *judge) newLife(in *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lives[in]++
}

// thawed notes that a process went on, or that links were healed.
func (j *judge) thawed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.thaws = append(j.thaws, time.Now())
}

// strict says that from now on only planned work is under way, or no longer so.
func (j *judge) strict(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.strictSince = time.Time{}
	if on {
		j.strictSince = time.Now()
	}
}

// judgeOrders holds each order's answer to how often it ran.
func (j *judge) judgeOrders() {
	for _, o := range j.orders {
		runs := j.record.Runs(o.id)
		wrong := ""
		switch o.answer.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs != 0 {
				wrong = "it ran although it was refused"
			}
		case http.StatusOK:
			if runs != 1 {
				wrong = "it was answered without one run"
			}
		default:
			if runs > 1 {
				wrong = "it ran more than once"
			}
			if o.strict && o.answer.Status == 0 && runs > 0 {
				wrong = "its answer was lost during planned work"
			}
		}
		if wrong != "" {
			j.t.Errorf("order %s: %s: %d runs, status %d, %v", o.id, wrong, runs, o.answer.Status, o.answer.Err)
		}
	}
}

// judgeRepeats holds the repeated sends of all entries together to their allowance.
func (j *judge) judgeRepeats() {
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range j.record.Arrivals() {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	p := j.plan
	for first, last := 0, 0; last < len(repeats); last++ {
		for repeats[last].Sub(repeats[first]) >= p.retryWindow {
			first++
		}
		end := repeats[last]
		requests := max(j.sentIn(end, p.retryWindow), j.sentIn(end.Add(-p.retryWindow/2), p.retryWindow), j.sentIn(end.Add(-p.retryWindow), p.retryWindow))
		if n := last - first + 1; float64(n) > p.retryRatio*float64(requests)+float64(p.retrySlack) {
			j.t.Errorf("%d repeated sends in %s for %d requests", n, p.retryWindow, requests)
			return
		}
	}
}

func (j *judge) sentIn(end time.Time, window time.Duration) int {
	from, _ := slices.BinarySearchFunc(j.sent, end.Add(-window), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(j.sent, end, time.Time.Compare)
	return to - from
}

// judgeHolders holds the orders of all control instances to one holder at a time.
func (j *judge) judgeHolders() {
	var before standin.Order
	for _, o := range j.record.Orders() {
		switch {
		case before.Holder == "" || o.Holder == before.Holder:
		case j.afterThaw(o.At):
			// An order that waited in a link or a frozen process arrives late.
			continue
		case o.Token <= before.Token:
			j.t.Errorf("%s ordered with token %d after %s had with %d", o.Holder, o.Token, before.Holder, before.Token)
		case o.At.Sub(before.At) < j.plan.lease:
			j.t.Errorf("%s ordered %s after %s", o.Holder, o.At.Sub(before.At), before.Holder)
		}
		before = o
	}
}

func (j *judge) afterThaw(at time.Time) bool {
	for _, thaw := range j.thaws {
		if at.After(thaw) && at.Sub(thaw) < thawTime {
			return true
		}
	}
	return false
}
