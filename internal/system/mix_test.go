package system_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/system/processes"
)

// mixSeeds are the seeds that CI runs; make soak runs soakSeeds more.
const (
	mixSeeds  = 2
	soakSeeds = 25
	mixRounds = 5
	// mixPatience is how long a caller waits, and changeEvery how long the operator does
	// between two changes.
	mixPatience = 4 * time.Second
	changeEvery = 10 * time.Millisecond
	// serviceTime is how long an order takes, so that faults meet some on the way.
	serviceTime = 20 * time.Millisecond
)

func TestFaultMix(t *testing.T) {
	for seed := range uint64(mixSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { faultMix(t, seed) })
	}
}

func TestFaultMixSoak(t *testing.T) {
	if os.Getenv("SHEDROCK_SOAK") == "" {
		t.Skip("set SHEDROCK_SOAK to run more seeds")
	}
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint("seed ", mixSeeds+seed), func(t *testing.T) { faultMix(t, mixSeeds+seed) })
	}
}

// mix is five replicas and three entries under faults drawn from a seed, with callers
// that order and an operator that changes the declared state.
type mix struct {
	*fleet
	random *rand.Rand
	// attempts counts the answers that callers got, whatever they said.
	attempts atomic.Int64
	stop     chan struct{}
	workers  sync.WaitGroup

	mu sync.Mutex
	// outcomes holds what each order's callers were told.
	outcomes map[string][]string
	// accepted is the newest version of the models document that was accepted.
	accepted int
}

func faultMix(t *testing.T, seed uint64) {
	m := &mix{
		fleet:    startFleet(t, startGroup(t, 5, processes.NewLinks(t)), 3),
		random:   rand.New(rand.NewPCG(seed, 0x313)),
		stop:     make(chan struct{}),
		outcomes: map[string][]string{},
		accepted: 1,
	}
	m.callPatience = mixPatience
	m.faults(m.service, fault.Settings{Slow: serviceTime})
	for worker := range 3 {
		m.workers.Go(func() { m.order(worker, rand.New(rand.NewPCG(seed, uint64(worker)))) })
	}
	m.workers.Go(m.change)
	for range mixRounds {
		undo := []func(){m.fault(), m.fault()}
		m.progress()
		for _, f := range undo {
			f()
		}
		m.links.Heal()
		m.progress()
	}
	close(m.stop)
	m.workers.Wait()
	m.check()
}

// fault brings about one fault, and returns what ends it, besides the heal of links.
func (m *mix) fault() (undo func()) {
	nothing := func() {}
	replica := m.replicas[m.random.IntN(len(m.replicas))]
	entry := m.random.IntN(len(m.entries))
	kind := m.random.IntN(8)
	m.t.Log("fault ", kind)
	switch kind {
	case 0:
		replica.Kill()
		return replica.Start
	case 1:
		replica.Signal(syscall.SIGSTOP)
		return func() { replica.Signal(syscall.SIGCONT) }
	case 2:
		one, other := m.split()
		m.links.Cut(one, other)
		m.links.Cut(other, one)
	case 3:
		one, other := m.split()
		m.links.Cut(one, other)
	case 4:
		m.entries[entry].Kill()
		return m.entries[entry].Start
	case 5:
		m.entries[entry].Signal(syscall.SIGSTOP)
		return func() { m.entries[entry].Signal(syscall.SIGCONT) }
	case 6:
		one, _ := m.split()
		m.links.Cut([]string{entryName(entry)}, one)
	case 7:
		// Orders run, and their answers are lost.
		m.faults(m.service, fault.Settings{CloseBeforeReply: true})
		return func() { m.faults(m.service, fault.Settings{Slow: serviceTime}) }
	}
	return nothing
}

// split draws two parts of the replicas.
func (m *mix) split() (one, other []string) {
	at := 1 + m.random.IntN(len(m.replicas)-1)
	for i, n := range m.random.Perm(len(m.replicas)) {
		if i < at {
			one = append(one, replicaName(n))
		} else {
			other = append(other, replicaName(n))
		}
	}
	return one, other
}

// progress waits until callers have had more answers, of any kind.
func (m *mix) progress() {
	m.t.Helper()
	before := m.attempts.Load()
	eventually(m.t, "callers are answered", func() bool { return m.attempts.Load() >= before+12 })
}

// order sends orders, each again at another entry until it ran, a few times.
func (m *mix) order(worker int, random *rand.Rand) {
	for n := 0; ; n++ {
		body := fmt.Sprintf("rye-%d-%d", worker, n)
		for range 4 {
			select {
			case <-m.stop:
				return
			default:
			}
			outcome, _, _ := m.fleet.order(random.IntN(len(m.entries)), "key-"+body, body)
			m.attempts.Add(1)
			m.mu.Lock()
			m.outcomes[body] = append(m.outcomes[body], outcome)
			m.mu.Unlock()
			if outcome == "ran" {
				break
			}
		}
	}
}

// change changes the declared state, one version after another; a change without an
// answer is sent again.
func (m *mix) change() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(changeEvery):
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		version := m.accepted + 1
		text := fmt.Sprintf("document: models\nversion: %d\n%s# %d\n", version, models("v1"), version)
		a, err := m.client.Apply(ctx, "models.yaml", []byte(text))
		cancel()
		if err != nil {
			continue
		}
		if a.Result != wire.ApplyResponse_ACCEPTED {
			m.t.Errorf("version %d: %v", version, a)
			return
		}
		m.mu.Lock()
		m.accepted = version
		m.mu.Unlock()
	}
}

// check holds the whole run to what must always hold.
func (m *mix) check() {
	last := uint64(m.accepted) + 3
	eventually(m.t, "every replica and entry has every change", func() bool {
		for i := range m.replicas {
			if s, ok := m.status(i); !ok || s.Revision != last {
				return false
			}
		}
		for i := range m.entries {
			if revision, unconfirmed, ok := m.applied(fmt.Sprint("e", i+1)); !ok || unconfirmed || revision != last {
				return false
			}
		}
		return true
	})
	for i, e := range m.entries {
		m.onlyRises(i, e.Text())
		outcome, status, text := "", 0, ""
		eventually(m.t, "an order runs", func() bool {
			outcome, status, text = m.fleet.order(i, fmt.Sprint("last-", i), fmt.Sprint("last-", i))
			return outcome == "ran"
		})
		if status != 200 {
			m.t.Errorf("the last order: %d %s", status, text)
		}
	}
	told := map[string]int{}
	for body, outcomes := range m.outcomes {
		ran := m.ran(body)
		anyRan, allNotRun := false, true
		for _, o := range outcomes {
			told[o]++
			anyRan = anyRan || o == "ran"
			allNotRun = allNotRun && o == "not run"
		}
		if ran > 1 || anyRan && ran != 1 || allNotRun && ran != 0 {
			m.t.Errorf("order %s ran %d times; callers were told %q", body, ran, outcomes)
		}
	}
	m.t.Logf("%d changes, %d orders, answers %v", m.accepted, len(m.outcomes), told)
}

// onlyRises checks that an entry never went back to an older revision while it ran.
func (m *mix) onlyRises(i int, log string) {
	revision := 0
	for line := range strings.Lines(log) {
		if strings.Contains(line, processes.Began) {
			revision = 0
		}
		_, rest, ok := strings.Cut(line, "event=in_force revision=")
		if !ok {
			continue
		}
		next := 0
		_, _ = fmt.Sscan(rest, &next)
		if next < revision {
			m.t.Errorf("entry %d went from revision %d to %d", i+1, revision, next)
		}
		revision = next
	}
}
