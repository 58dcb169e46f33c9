package detour_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/state/registry"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func instance(n int) registry.Incarnation {
	return registry.Incarnation{ID: fmt.Sprint("i", n), Start: 1}
}

// live is the number of live instances in tests that do not say otherwise.
const live = 5

// lose makes a path lost at a time, by two failures and a round of probes without a success.
func lose(t *testing.T, p *detour.Path, now time.Time) {
	t.Helper()
	p.Failed(instance(1), now)
	p.Failed(instance(2), now)
	if !p.ProbeDue(live, now) || !p.Probed(0, now) {
		t.Fatal("the path was not lost")
	}
}

// One failing instance, a single request that waits, and failures of long ago are no reason to probe.
func TestFaultyInstanceIsNoReasonToProbe(t *testing.T) {
	cases := []struct {
		name   string
		events func(p *detour.Path)
		live   int
		at     time.Duration
		want   bool
	}{
		{"nothing happened", func(*detour.Path) {}, live, time.Second, false},
		{"one instance fails again and again", func(p *detour.Path) {
			for range 10 {
				p.Failed(instance(1), start)
			}
		}, live, 0, false},
		{"the only instance fails", func(p *detour.Path) { p.Failed(instance(1), start) }, 1, 0, true},
		{"no instance is live", func(p *detour.Path) { p.Failed(instance(1), start) }, 0, 0, false},
		{"two instances fail", func(p *detour.Path) {
			p.Failed(instance(1), start)
			p.Failed(instance(2), start)
		}, live, 0, true},
		{"two instances fail, one responds", func(p *detour.Path) {
			p.Failed(instance(1), start)
			p.Failed(instance(2), start)
			p.Responded(instance(1), start)
		}, live, 0, false},
		{"failures of long ago", func(p *detour.Path) {
			p.Failed(instance(1), start)
			p.Failed(instance(2), after(3*time.Second))
		}, live, 3 * time.Second, false},
		{"a request waits for a short time", func(p *detour.Path) { p.Begin(start) }, live, 300 * time.Millisecond, false},
		{"a request waits in silence", func(p *detour.Path) { p.Begin(start) }, live, 400 * time.Millisecond, true},
		{"a request waits, others are answered", func(p *detour.Path) {
			p.Begin(start)
			p.Begin(start)
			p.Responded(instance(1), after(300*time.Millisecond))
			p.End()
		}, live, 500 * time.Millisecond, false},
		{"no request waits", func(p *detour.Path) {
			p.Begin(start)
			p.Responded(instance(1), start)
			p.End()
		}, live, time.Minute, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p detour.Path
			c.events(&p)
			if diff := cmp.Diff(c.want, p.ProbeDue(c.live, after(c.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Instances that ended at once look like a lost path until the probes of others succeed. After that, the same
// evidence is probed ever more seldom.
func TestProbesTellEndedInstancesFromALostPath(t *testing.T) {
	var p detour.Path
	var rounds []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		p.Failed(instance(1), after(at))
		p.Failed(instance(2), after(at))
		if p.ProbeDue(live, after(at)) {
			rounds = append(rounds, at)
			if p.Probed(1, after(at)) || p.State(after(at)) != detour.Open {
				t.Fatalf("the path is %v after a probe that succeeded", p.State(after(at)))
			}
		}
	}
	want := []time.Duration{0, 500, 1500, 3500, 7500, 11500, 15500, 19500}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if diff := cmp.Diff(want, rounds); diff != "" {
		t.Error("times of probes (-want +got): ", diff)
	}
}

// A path is lost when all probes fail, and found by probes alone: no request is needed for that.
func TestLostPathIsRestoredByProbes(t *testing.T) {
	var p detour.Path
	lose(t, &p, start)
	if diff := cmp.Diff(detour.Lost, p.State(start)); diff != "" {
		t.Fatal(diff)
	}
	var found time.Duration
	for at := time.Duration(0); found == 0 && at < 20*time.Second; at += 100 * time.Millisecond {
		if !p.ProbeDue(live, after(at)) {
			continue
		}
		healed := 0
		if at >= 5*time.Second {
			healed = 2
		}
		if p.Probed(healed, after(at)) {
			found = at
		}
	}
	if found < 5*time.Second || found > 6*time.Second {
		t.Errorf("healed after 5s, found after %s", found)
	}
	if diff := cmp.Diff(detour.Open, p.State(after(found))); diff != "" {
		t.Error(diff)
	}
}

// While responses still arrive on open connections, these may be used although new ones fail.
func TestOpenConnectionsOutliveNewOnes(t *testing.T) {
	var p detour.Path
	p.Responded(instance(3), start)
	lose(t, &p, start)
	if diff := cmp.Diff(detour.OpenConnectionsOnly, p.State(after(400*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(detour.Lost, p.State(after(600*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	p.Responded(instance(3), after(700*time.Millisecond))
	if diff := cmp.Diff(detour.OpenConnectionsOnly, p.State(after(800*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
}

// Hysteresis keeps a link that loses half of its packets from opening and closing the path again and again.
func TestFlappingLinkIsUsedEverMoreSeldom(t *testing.T) {
	var p detour.Path
	changes := 0
	for round, at := 0, time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if p.State(after(at)) == detour.Open {
			p.Failed(instance(1), after(at))
			p.Failed(instance(2), after(at))
		}
		if !p.ProbeDue(live, after(at)) {
			continue
		}
		// Three rounds of probes fail, then five succeed.
		round++
		succeeded := 0
		if round%8 >= 3 {
			succeeded = 2
		}
		if p.Probed(succeeded, after(at)) {
			changes++
		}
	}
	if changes > 10 {
		t.Errorf("the path changed %d times in a minute", changes)
	}
}

// Drawn events never make a path lost without a round in which all probes failed.
func TestOnlyFailedProbesLoseThePath(t *testing.T) {
	for seed := range uint64(200) {
		random := newRandom(seed)
		var p detour.Path
		waiting := 0
		for at := time.Duration(0); at < 30*time.Second; at += time.Duration(random.IntN(200)) * time.Millisecond {
			now := after(at)
			switch random.IntN(5) {
			case 0:
				p.Begin(now)
				waiting++
			case 1:
				p.Failed(instance(random.IntN(live)), now)
			case 2:
				p.Responded(instance(random.IntN(live)), now)
			case 3:
				if waiting > 0 {
					p.End()
					waiting--
				}
			}
			if p.ProbeDue(live, now) {
				p.Probed(1+random.IntN(3), now)
			}
			if s := p.State(now); s != detour.Open {
				t.Fatalf("seed %d: the path is %v", seed, s)
			}
		}
	}
}

// Guards against a path that counts as lost although an instance that was not probed has answered meanwhile: those that
// were probed may be silent themselves. That new connections fail is still found, by a second round.
func TestAnswerOfAnotherInstanceKeepsThePath(t *testing.T) {
	var p detour.Path
	p.Failed(instance(1), start)
	p.Failed(instance(2), start)
	if !p.ProbeDue(live, start) {
		t.Fatal("no probe is due")
	}
	p.Responded(instance(3), after(280*time.Millisecond))
	if now := after(300 * time.Millisecond); p.Probed(0, now) || p.State(now) != detour.Open {
		t.Fatalf("the path is %v", p.State(now))
	}
	if !p.ProbeDue(live, after(300*time.Millisecond)) {
		t.Fatal("no second round is due at once")
	}
	p.Responded(instance(3), after(580*time.Millisecond))
	if now := after(600 * time.Millisecond); !p.Probed(0, now) || p.State(now) != detour.OpenConnectionsOnly {
		t.Errorf("the path is %v though new connections failed twice", p.State(now))
	}
}

// Guards against a path that counts as lost for silence although the silence is over: the only instance has answered
// while it was probed.
func TestAnswerEndsSilence(t *testing.T) {
	var p detour.Path
	p.Begin(start)
	if !p.ProbeDue(1, after(400*time.Millisecond)) {
		t.Fatal("no probe is due")
	}
	p.Responded(instance(1), after(680*time.Millisecond))
	if now := after(700 * time.Millisecond); p.Probed(0, now) || p.State(now) != detour.Open {
		t.Errorf("the path is %v", p.State(now))
	}
}
