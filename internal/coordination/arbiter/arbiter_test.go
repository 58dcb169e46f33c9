package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// A grant that a report does not include yet must count, one that it includes must not count twice, and a
// release must count at once.
func TestFreeMemory(t *testing.T) {
	f := newFixture(1, balance.EngineLoad{})
	free := func(now time.Time) int {
		r := f.request()
		g, ok := f.Decide(r, now).(arbiter.Grant)
		if !ok {
			t.Fatal("not granted")
		}
		f.Release(r.ID, now)
		return g.Free
	}
	r := f.request()
	f.Decide(r, start)
	steps := []struct {
		name string
		do   func()
		now  time.Duration
		want int
	}{
		{"granted", func() {}, 0, memory - tokens},
		{"a report that may not include the grant", func() { f.report(balance.EngineLoad{}, at(300*time.Millisecond)) }, 300, memory - tokens},
		{"a report that includes it", func() { f.report(balance.EngineLoad{Used: tokens}, at(500*time.Millisecond)) }, 500, memory - tokens},
		{"an older report", func() { f.report(balance.EngineLoad{Used: 5 * tokens}, at(200*time.Millisecond)) }, 500, memory - tokens},
		{"released", func() { f.Release(r.ID, at(600*time.Millisecond)) }, 600, memory},
		{"released twice", func() { f.Release(r.ID, at(600*time.Millisecond)) }, 600, memory},
		{"a report that may still include it", func() { f.report(balance.EngineLoad{Used: tokens}, at(700*time.Millisecond)) }, 700, memory},
		{"a report of less than was released", func() { f.report(balance.EngineLoad{Used: tokens / 2}, at(700*time.Millisecond)) }, 700, memory},
		{"a report without it", func() { f.report(balance.EngineLoad{Used: tokens}, at(900*time.Millisecond)) }, 900, memory - tokens},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, free(at(s.now*time.Millisecond))); diff != "" {
			t.Error(s.name, diff)
		}
	}
}

// Grants whose releases are lost must not be kept for ever, and a late release must not count again.
func TestGrantExpires(t *testing.T) {
	f := newFixture(1, balance.EngineLoad{})
	r := f.request()
	f.Decide(r, start)
	f.RecordLoads(nil, at(31*time.Second))
	stats := f.Snapshot().Services[service]
	if diff := cmp.Diff([]int{0, 0}, []int{stats.OpenGrants, stats.Reserved}); diff != "" {
		t.Error(diff)
	}
	f.Release(r.ID, at(31*time.Second))
	f.Release("unknown", at(31*time.Second))
	if diff := cmp.Diff(stats, f.Snapshot().Services[service]); diff != "" {
		t.Error(diff)
	}
}

// An attempt whose answer was lost and that is sent again must not take room twice.
func TestSameAttemptGetsSameGrant(t *testing.T) {
	f := newFixture(4, balance.EngineLoad{})
	r := f.request()
	first := f.Decide(r, start)
	if diff := cmp.Diff(first, f.Decide(r, start)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1, f.Snapshot().Services[service].OpenGrants); diff != "" {
		t.Error(diff)
	}
}

// However requests, reports and releases follow each other, no engine may be granted more than its memory
// without the headroom, nor one that is excluded, has a queue or a load that is too old.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(4, balance.EngineLoad{})
		now := start
		loads := map[registry.Incarnation]balance.EngineLoad{}
		reported := map[registry.Incarnation]time.Time{}
		for _, e := range f.engines {
			reported[e.Incarnation] = start
		}
		type open struct {
			id     string
			engine registry.Incarnation
			at     time.Time
		}
		var grants []open
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				target := f.engines[rapid.IntRange(0, 3).Draw(t, "engine")].Incarnation
				loads[target] = balance.EngineLoad{Used: rapid.IntRange(0, memory).Draw(t, "used"), Waiting: rapid.IntRange(0, 1).Draw(t, "waiting")}
				reported[target] = now
				f.RecordLoads(map[registry.Incarnation]balance.EngineLoad{target: loads[target]}, now)
			default:
				r := f.request()
				r.Key, r.Urgency, r.Team = rapid.Uint64Range(0, 3).Draw(t, "key"), rapid.IntRange(0, 2).Draw(t, "urgency"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
				excluded := f.engines[rapid.IntRange(0, 3).Draw(t, "excluded")].Incarnation
				r.Excluded = map[string]bool{excluded.ID: true}
				g, ok := f.Decide(r, now).(arbiter.Grant)
				if !ok {
					continue
				}
				taken := loads[g.Engine].Used + tokens
				for _, o := range grants {
					if o.engine == g.Engine && reported[g.Engine].Sub(o.at) <= 400*time.Millisecond {
						taken += tokens
					}
				}
				if taken > memory-headroom || g.Engine == excluded || loads[g.Engine].Waiting > 0 || now.Sub(reported[g.Engine]) > 1500*time.Millisecond {
					t.Fatalf("%v was granted at %v: %d tokens taken, load %v reported at %v, %v excluded", g, now, taken, loads[g.Engine], reported[g.Engine], excluded)
				}
				grants = append(grants, open{r.ID, g.Engine, now})
			}
		}
	})
}

// Prompts with the same key must meet at the engine that reads their prefix, and those of other keys must
// not pile up there while other engines have room.
func TestChoosesEngine(t *testing.T) {
	f := newFixture(8, balance.EngineLoad{})
	target := func(now time.Time, change func(r *arbiter.Request)) string {
		g, ok := f.decide(now, change).(arbiter.Grant)
		if !ok {
			t.Fatal("not granted")
		}
		return g.Engine.ID
	}
	first := target(start, key(1))
	if diff := cmp.Diff(first, target(at(100*time.Millisecond), key(1))); diff != "" {
		t.Error("the engine that reads the prefix was not chosen", diff)
	}
	used := map[string]bool{first: true}
	for k := range uint64(7) {
		used[target(at(200*time.Millisecond), key(2+k))] = true
	}
	if diff := cmp.Diff(8, len(used)); diff != "" {
		t.Error("engines got a second prompt before others got one", diff)
	}
	if !granted(f.decide(at(200*time.Millisecond), key(99))) {
		t.Error("refused although all engines have room")
	}
	if diff := cmp.Diff(int64(1), f.Snapshot().Services[service].SingleReader); diff != "" {
		t.Error(diff)
	}
}

// The reader of a prefix must be forgotten when it has read it, and prompts without a prefix must not all
// go to one engine.
func TestPlacesWithoutReader(t *testing.T) {
	f := newFixture(8, balance.EngineLoad{})
	place := func(now time.Time, k uint64) string { return f.decide(now, key(k)).(arbiter.Grant).Engine.ID }
	first := place(start, 1)
	// The engine with the highest score for key 1 has just been granted a prompt, so another one reads
	// the prefix of a key with the same scores.
	other := newFixture(8, balance.EngineLoad{})
	other.RecordLoads(map[registry.Incarnation]balance.EngineLoad{{ID: first}: {Waiting: 1}}, start)
	reader := other.decide(start, key(1)).(arbiter.Grant).Engine.ID
	other.report(balance.EngineLoad{}, at(time.Second))
	if diff := cmp.Diff(reader, other.decide(at(1400*time.Millisecond), key(1)).(arbiter.Grant).Engine.ID); diff != "" {
		t.Error(diff)
	}
	other.report(balance.EngineLoad{}, at(2500*time.Millisecond))
	if diff := cmp.Diff(first, other.decide(at(2950*time.Millisecond), key(1)).(arbiter.Grant).Engine.ID); diff != "" {
		t.Error(diff)
	}
	used := map[string]bool{}
	for i := range 5 {
		used[place(at(time.Duration(300+i*251)*time.Millisecond), 0)] = true
	}
	if len(used) < 2 {
		t.Error("prompts without a prefix all went to one engine")
	}
}

// A new leader must place keys as the one before, and the loss of an engine must move only its own keys:
// otherwise kept prefixes would be computed again.
func TestKeysStayInPlace(t *testing.T) {
	place := func(seed uint64, engines int, k uint64) string {
		f := &fixture{Arbiter: arbiter.New(seed)}
		f.set(engines)
		f.report(balance.EngineLoad{}, start)
		return f.decide(start, key(k)).(arbiter.Grant).Engine.ID
	}
	for k := uint64(1); k <= 300; k++ {
		here, without := place(1, 10, k), place(2, 9, k)
		if here != "e9" && here != without {
			t.Fatalf("key %d moved from %s to %s", k, here, without)
		}
	}
}

// A caller must learn at once that its request can't be served before its deadline.
func TestRefusesWithoutTime(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{})
	ids := f.fill(start, as)
	now := at(time.Second)
	decide := func(remaining time.Duration) arbiter.Decision {
		f.report(balance.EngineLoad{Used: memory, Waiting: 1}, now)
		return f.decide(now, func(r *arbiter.Request) { r.Remaining = remaining })
	}
	if diff := cmp.Diff(refusal(arbiter.NoRoom), decide(time.Second)); diff != "" {
		t.Error("no release is known", diff)
	}
	f.Release(ids[0], now)
	if diff := cmp.Diff(refusal(arbiter.NoTime), decide(3*time.Second)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(refusal(arbiter.NoRoom), decide(5*time.Second)); diff != "" {
		t.Error(diff)
	}
	now = at(6 * time.Second)
	f.Release(ids[1], now)
	if diff := cmp.Diff(refusal(arbiter.NoTime), decide(3*time.Second)); diff != "" {
		t.Error("an old release counts", diff)
	}
}

// A request whose answer has begun must be placed whatever the loads are.
func TestResumingIsNeverRefused(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{Used: memory, Waiting: 3})
	target := f.engines[1].Incarnation
	f.RecordLoads(map[registry.Incarnation]balance.EngineLoad{target: {Used: memory, Waiting: 2}}, start)
	d := f.decide(start, func(r *arbiter.Request) { r.Resumes, r.Urgency = true, 2 })
	if diff := cmp.Diff(arbiter.Grant{Engine: target}, d); diff != "" {
		t.Error(diff)
	}
}

// An arbiter that has just begun or has lost touch with the engines must leave the decision to entries.
func TestUnknownLoads(t *testing.T) {
	cases := []struct {
		name            string
		engines, loads  int
		excluded, after int
		want            bool
	}{
		{"no engines", 0, 0, 0, 0, true},
		{"no loads", 4, 0, 0, 0, true},
		{"few loads", 4, 1, 0, 0, true},
		{"half of the loads", 4, 2, 0, 0, false},
		{"old loads", 4, 4, 0, 1600, true},
		{"recent loads", 4, 4, 0, 1400, false},
		{"all engines excluded", 4, 4, 4, 0, true},
		{"the engines with loads excluded", 4, 2, 2, 0, true},
	}
	for _, c := range cases {
		f := &fixture{Arbiter: arbiter.New(1)}
		f.set(c.engines)
		loads := map[registry.Incarnation]balance.EngineLoad{}
		for _, e := range f.engines[:c.loads] {
			loads[e.Incarnation] = balance.EngineLoad{}
		}
		f.RecordLoads(loads, start)
		d := f.decide(at(time.Duration(c.after)*time.Millisecond), func(r *arbiter.Request) {
			r.Excluded = map[string]bool{}
			for _, e := range f.engines[:c.excluded] {
				r.Excluded[e.ID] = true
			}
		})
		if diff := cmp.Diff(c.want, d == arbiter.Unknown{}); diff != "" {
			t.Error(c.name, diff)
		}
	}
	if diff := cmp.Diff(arbiter.Decision(arbiter.Unknown{}), arbiter.New(1).Decide(arbiter.Request{Service: "other"}, start)); diff != "" {
		t.Error(diff)
	}
}

// An engine that has restarted under the same id must not keep the state of the one before, and one that
// remains must keep its own.
func TestEnginesChange(t *testing.T) {
	f := newFixture(2, balance.EngineLoad{})
	f.fill(start, as)
	f.engines[1].Start = 7
	f.SetEngines(service, f.engines, memory)
	f.report(balance.EngineLoad{}, start)
	if diff := cmp.Diff(5, len(f.fill(start, as))); diff != "" {
		t.Error(diff)
	}
}

// The decisions of a second must not take a noticeable part of the CPU of a control instance. Measures them
// for 90 engines that are nearly full, with 60 teams.
func BenchmarkDecide(b *testing.B) {
	f := newFixture(90, balance.EngineLoad{Used: memory / 2})
	now := start
	var ids []string
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(5 * time.Millisecond)
		if n%40 == 0 {
			f.report(balance.EngineLoad{Used: memory / 2}, now)
		}
		r := f.request()
		r.Key, r.Urgency, r.Team = uint64(n%119), n%3, fmt.Sprint(n%60)
		if granted(f.Decide(r, now)) {
			ids = append(ids, r.ID)
		}
		if len(ids) > 300 {
			f.Release(ids[0], now)
			ids = ids[1:]
		}
	}
}
