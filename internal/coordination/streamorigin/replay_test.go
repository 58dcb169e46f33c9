package streamorigin_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
)

const (
	replayTime     = 60 * time.Second
	replayControls = 3
	// streamsPerEntry is how many streams begin a second at each entry, and longestStream how long they last.
	streamsPerEntry = 4
	longestStream   = 2 * time.Second
	// mostVersionDelay is how long after its first report an entry learns of a version at most, and mostTransit how
	// long a record takes after it was collected for shareDelay.
	mostVersionDelay = 450 * time.Millisecond
	mostTransit      = 3 * time.Millisecond
	shareDelay       = 5 * time.Millisecond
	// recordBytes is what one record takes on the wire without its message.
	recordBytes = streamorigin.KeySize
)

// policy is how entries decide; the zero value is the product's.
type policy struct {
	// guess continues streams of unknown origin at any version, unsettled begins streams at versions at once,
	// and untold does not share earlier origins when there is a second version.
	guess, unsettled, untold bool
}

type replayEvent struct {
	at time.Time
	n  int
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replayEntry struct {
	versions streamorigin.Versions
	own      streamorigin.Table
	// open holds the streams that it forwards, in the order in which they began.
	open []streamorigin.Record
	// life counts the starts.
	life int
}

// replay is a discrete-event simulation of entries, control instances and callers.
type replay struct {
	policy
	random   *rand.Rand
	now      time.Time
	events   replayEvents
	n        int
	entries  []*replayEntry
	controls []*streamorigin.Table
	// known holds the versions that instances have reported, by when they did first; live are those with an instance.
	known map[string]bool
	live  []string
	// cut holds the control instances that lose what is sent to them now.
	cut map[int]bool

	begun, resumed, joined, unknown, gone, records int
}

func newReplay(entries int, p policy, seed uint64) *replay {
	r := &replay{policy: p, random: rand.New(rand.NewPCG(seed, 0x0419)), now: start, known: map[string]bool{}, cut: map[int]bool{}}
	for range entries {
		r.entries = append(r.entries, &replayEntry{own: streamorigin.Table{Max: 1 << 14}})
	}
	for range replayControls {
		r.controls = append(r.controls, &streamorigin.Table{Max: 1 << 16})
	}
	return r
}

func (r *replay) after(d time.Duration, do func()) {
	r.n++
	heap.Push(&r.events, replayEvent{r.now.Add(d), r.n, do})
}

func (r *replay) upTo(d time.Duration) time.Duration { return time.Duration(r.random.Int64N(int64(d))) }

// run plays rollouts back and forth, crashes of entries and cuts of control instances.
func (r *replay) run() {
	r.report("v1")
	r.after(time.Second, func() {
		for i := range r.entries {
			r.after(r.upTo(time.Second/streamsPerEntry), func() { r.arrive(i) })
		}
	})
	for i, live := range [][]string{{"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v2", "v3"}, {"v1"}} {
		r.after(time.Duration(8*(i+1))*time.Second, func() {
			for _, version := range live {
				if !slices.Contains(r.live, version) {
					r.report(version)
				}
			}
			r.live = live
		})
	}
	for at := 2 * time.Second; at < replayTime; at += 300 * time.Millisecond {
		r.after(at, r.crash)
	}
	for at := 5 * time.Second; at < replayTime; at += 6 * time.Second {
		control := r.random.IntN(replayControls)
		r.after(at, func() { r.cut[control] = true })
		r.after(at+2*time.Second, func() { delete(r.cut, control) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		if e.at.Sub(start) > replayTime {
			return
		}
		r.now = e.at
		e.do()
	}
}

// report has the first instance of a version report itself.
func (r *replay) report(version string) {
	r.live = append(slices.Clone(r.live), version)
	r.known[version] = true
	for _, e := range r.entries {
		r.after(r.upTo(mostVersionDelay), func() { r.learn(e) })
	}
}

func (r *replay) learn(e *replayEntry) {
	versions, changed := e.versions.Update(maps.Keys(r.known), r.now)
	e.versions = versions
	if changed && len(versions) > 1 && !r.untold {
		for _, record := range e.own.OfService("s", r.now) {
			r.share(e, record)
		}
	}
}

// share sends a record to its homes. It is lost if the entry crashes before.
func (r *replay) share(e *replayEntry, record streamorigin.Record) {
	life := e.life
	home := int(record.Key[0]) % replayControls
	for _, control := range []int{home, (home + 1) % replayControls} {
		r.records++
		r.after(shareDelay, func() {
			if e.life != life {
				return
			}
			r.after(r.upTo(mostTransit), func() {
				if !r.cut[control] {
					r.controls[control].Add(record, r.now)
				}
			})
		})
	}
}

// arrive begins a new stream at an entry.
func (r *replay) arrive(at int) {
	r.after(r.upTo(2*time.Second/streamsPerEntry), func() { r.arrive(at) })
	e := r.entries[at]
	var usable []string
	for _, version := range r.live {
		if _, known := e.versions[version]; known && (r.unsettled || e.versions.Settled(version, time.Time{}, r.now)) {
			usable = append(usable, version)
		}
	}
	if len(usable) == 0 {
		return
	}
	r.begun++
	version := usable[r.random.IntN(len(usable))]
	record := streamorigin.Record{Key: streamorigin.KeyOf("a", fmt.Sprint(r.begun)), Origin: streamorigin.Origin{Service: "s", SoftwareVersion: version}}
	r.stream(at, record)
}

// stream has an entry forward a stream until its end, or until the entry crashes and the caller resumes it.
func (r *replay) stream(at int, record streamorigin.Record) {
	e := r.entries[at]
	e.own.Add(record, r.now)
	if len(e.versions) > 1 {
		r.share(e, record)
	}
	e.open = append(e.open, record)
	r.after(r.upTo(longestStream), func() {
		e.open = slices.DeleteFunc(e.open, func(other streamorigin.Record) bool { return other == record })
	})
}

func (r *replay) resume(record streamorigin.Record) {
	at := r.random.IntN(len(r.entries))
	e := r.entries[at]
	known := streamorigin.Known{Service: "s", Versions: e.versions, Current: true}
	if o, ok := e.own.Find(record.Key, r.now); ok {
		known.Own = &o
	}
	origin, from := streamorigin.Resolve(known)
	for control, table := range r.controls {
		if o, ok := table.Find(record.Key, r.now); ok && from == streamorigin.Unknown && !r.cut[control] {
			known.Shared = &o
			origin, from = streamorigin.Resolve(known)
		}
	}
	if from == streamorigin.Unknown && r.guess {
		origin, from = streamorigin.Origin{Service: "s", SoftwareVersion: r.live[r.random.IntN(len(r.live))]}, streamorigin.SoleVersion
	}
	switch {
	case from == streamorigin.Unknown:
		r.unknown++
	case !slices.Contains(r.live, origin.SoftwareVersion):
		r.gone++
	case origin != record.Origin:
		r.joined++
	default:
		r.resumed++
	}
}

// crash restarts a tenth of the entries, but at least one. What they knew of streams is lost.
func (r *replay) crash() {
	for range max(1, len(r.entries)/10) {
		e := r.entries[r.random.IntN(len(r.entries))]
		e.life++
		e.own = streamorigin.Table{Max: 1 << 14}
		for _, record := range e.open {
			r.after(time.Millisecond+r.upTo(5*time.Millisecond), func() { r.resume(record) })
		}
		e.open = nil
	}
}

// Guards against streams that go on at another software version amid rollouts, crashes of entries and lost records,
// in fleets of any size, and against ending more of them than is necessary.
func TestReplayJoinsNoStreams(t *testing.T) {
	for _, entries := range []int{4, 8, 76, 300} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				r := newReplay(entries, policy{}, seed)
				r.run()
				all := r.resumed + r.joined + r.unknown + r.gone
				t.Logf("seed %d: %d streams, %d taken up again: %d went on, %d of unknown origin, %d without an instance, %d joined; %d bytes of records",
					seed, r.begun, all, r.resumed, r.unknown, r.gone, r.joined, r.records*recordBytes)
				if r.joined > 0 {
					t.Errorf("seed %d: %d streams went on at another version", seed, r.joined)
				}
				if 2*r.unknown > all {
					t.Errorf("seed %d: the origin of %d of %d streams is unknown", seed, r.unknown, all)
				}
			}
		})
	}
}

// Guards against a replay that accepts any policy: each of these joins streams, or ends too many.
func TestReplayRejectsMutants(t *testing.T) {
	count := func(p policy) (joined, unknown int) {
		for seed := range uint64(5) {
			r := newReplay(76, p, seed)
			r.run()
			joined += r.joined
			unknown += r.unknown
		}
		return joined, unknown
	}
	_, usual := count(policy{})
	for name, p := range map[string]policy{"guess": {guess: true}, "begin at once": {unsettled: true}} {
		if joined, _ := count(p); joined == 0 {
			t.Errorf("%s: no stream was joined", name)
		}
	}
	if _, unknown := count(policy{untold: true}); unknown <= usual {
		t.Errorf("untold: %d streams of unknown origin, %d usually", unknown, usual)
	}
}
