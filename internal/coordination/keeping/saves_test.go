package keeping_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const savedStore = "k:1"

// saveOf returns the save of a part by a holder, whose request ends within 10 s.
func saveOf(part keeping.Part, holder string) keeping.Save {
	return keeping.Save{Store: savedStore, Part: part, Tokens: 100, Holder: holder, Engine: registry.Incarnation{ID: "engine-" + holder, Start: 1}, EngineAddress: "e:1", Remaining: 10 * time.Second}
}

// A part has one save at a time. It is over once the engine has ended the request, which was the only one that
// could write the part: as soon as the part is whole, and else when the engine would have dropped it.
func TestSaveIsSettledOnceNothingCanBeWritten(t *testing.T) {
	now := time.Unix(100, 0)
	part := storedPart(1, "a", 100).Part
	cases := []struct {
		name   string
		end    keeping.SaveEnd
		isHeld bool
		after  time.Duration
		want   bool
	}{
		{"under way", keeping.SaveEndUnknown, true, time.Hour, false},
		{"never ordered", keeping.SaveNotOrdered, false, 0, true},
		{"ended and whole", keeping.SaveEnded, true, 0, true},
		{"ended and not whole", keeping.SaveEnded, false, time.Second, false},
		{"ended and dropped", keeping.SaveEnded, false, 2 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := keeping.NewSaveTable(keeping.Committed{SavesRecorded: true}, now)
			save := saveOf(part, "h")
			got := []keeping.SaveResult{table.Reserve(save, now), table.Reserve(saveOf(part, "other"), now)}
			if diff := cmp.Diff([]keeping.SaveResult{keeping.SaveGranted, keeping.SavePending}, got); diff != "" {
				t.Error(diff)
			}
			table.End("h", c.end, now)
			isHeld := func(string, keeping.Part) bool { return c.isHeld }
			if n := len(table.Settled(isHeld, now.Add(c.after))); n != 0 {
				t.Errorf("%d saves are settled that were not committed", n)
			}
			table.Commit(save, true)
			if got := len(table.Settled(isHeld, now.Add(c.after))) == 1; got != c.want {
				t.Errorf("settled: %t", got)
			}
		})
	}
}

// Guards against saves whose end is never found out: one that was given up, whose entry was lost, or that an earlier
// leader recorded is checked at its engine, and its part may be placed elsewhere meanwhile.
func TestUnresolvedSavesAreChecked(t *testing.T) {
	now := time.Unix(100, 0)
	lost, left := storedPart(1, "lost", 100).Part, storedPart(1, "left", 100).Part
	table := keeping.NewSaveTable(keeping.Committed{Saves: []keeping.Save{saveOf(lost, "lost")}}, now)
	table.Reserve(saveOf(left, "left"), now)
	table.Commit(saveOf(left, "left"), true)
	check := func(after time.Duration) (out []string) {
		for _, u := range table.TakeUnresolved(now.Add(after)) {
			out = append(out, fmt.Sprint(u.Holder, " ", u.IsOverdue))
		}
		return out
	}
	if diff := cmp.Diff([]string(nil), check(0)); diff != "" {
		t.Error("both in progress: ", diff)
	}
	table.End("left", keeping.SaveEndUnknown, now)
	if diff := cmp.Diff([]string{"left false"}, check(time.Second)); diff != "" {
		t.Error("one given up: ", diff)
	}
	if diff := cmp.Diff([]string(nil), check(1500*time.Millisecond)); diff != "" {
		t.Error("checked again at once: ", diff)
	}
	if got := table.Reserve(saveOf(left, "other"), now.Add(time.Second)); got != keeping.SaveUnresolved {
		t.Error(got)
	}
	table.End("left", keeping.SaveEnded, now.Add(2*time.Second))
	if diff := cmp.Diff([]string{"lost true"}, check(11*time.Second)); diff != "" {
		t.Error("one overdue: ", diff)
	}
}

// A control log that was founded anew does not hold the saves that were ordered before: they end with their requests.
func TestSavesBeforeTheControlLog(t *testing.T) {
	now := time.Unix(100, 0)
	table := keeping.NewSaveTable(keeping.Committed{}, now)
	var got []bool
	for _, after := range []time.Duration{0, 10 * time.Second, 13 * time.Second} {
		got = append(got, table.IsRecorded(10*time.Second, now.Add(after)))
	}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Error(diff)
	}
	table = keeping.NewSaveTable(keeping.Committed{SavesRecorded: true}, now)
	if !table.IsRecorded(10*time.Second, now) {
		t.Error("a log that holds all saves is not believed")
	}
}

// savesWorld is a store with engines that save parts at any time after the request, over restarts of the store and
// changes of the leader.
type savesWorld struct {
	random *rand.Rand
	// wrong names what is done wrongly, if anything.
	wrong string
	clock time.Duration
	epoch uint64
	store map[keeping.Part]int
	open  uint64
	// log holds the recorded saves, and orders those that an engine may still make.
	log, orders []keeping.Save
	table       *keeping.SaveTable
	state       *keeping.StoreState
	// until holds until when each part may be fetched.
	until   map[keeping.Part]time.Duration
	holders int
	fetched int
}

func (w *savesWorld) now() time.Time { return time.Unix(1000, 0).Add(w.clock) }

// lead begins a term.
func (w *savesWorld) lead() {
	committed := keeping.Committed{Saves: w.log, SavesRecorded: true}
	if w.wrong == "a new leader forgets saves" {
		committed.Saves = nil
	}
	w.table = keeping.NewSaveTable(committed, w.now())
	w.state = &keeping.StoreState{Capacity: 10_000, NewestVersion: func(string) uint64 { return 1 }, OpenEpoch: w.open, Address: savedStore, Saves: w.table}
	if w.wrong == "parts are fetched while they may be written" {
		w.state.Saves = nil
	}
}

// read has the leader read and publish the store.
func (w *savesWorld) read() {
	var list []keeping.StoredPart
	for part, tokens := range w.store {
		list = append(list, keeping.StoredPart{Part: part, Tokens: tokens})
	}
	w.state.ApplyList(w.epoch, 0, list, w.clock)
	for part := range w.state.Fetchable(w.clock) {
		w.until[part] = w.clock + keeping.FetchLease
		w.fetched++
	}
	if w.state.FreeTokens(w.clock) > 0 {
		w.open = w.state.CurrentOpenEpoch(w.clock)
	}
	w.settle()
}

func (w *savesWorld) settle() {
	isHeld := func(_ string, part keeping.Part) bool { return w.state.Holds(part) }
	due := w.table.Settled(isHeld, w.now())
	w.table.Remove(due)
	for _, save := range due {
		w.log = without(w.log, save.Holder)
	}
}

func without(saves []keeping.Save, holder string) (out []keeping.Save) {
	for _, save := range saves {
		if save.Holder != holder {
			out = append(out, save)
		}
	}
	return out
}

// begin has an entry ask for a save, and order it if it is granted.
func (w *savesWorld) begin() {
	part := storedPart(1, string(rune('a'+w.random.IntN(3))), 100).Part
	w.holders++
	save := saveOf(part, fmt.Sprint(w.holders))
	takes := w.state.Takes(part, save.Tokens, w.clock)
	if !takes || w.table.Reserve(save, w.now()) != keeping.SaveGranted && w.wrong != "a part has several saves" {
		return
	}
	w.table.Commit(save, true)
	w.log = append(w.log, save)
	w.orders = append(w.orders, save)
}

// end has an engine end a request, after it has written the part or lost it.
func (w *savesWorld) end() error {
	if len(w.orders) == 0 {
		return nil
	}
	i := w.random.IntN(len(w.orders))
	save := w.orders[i]
	err := w.write(save)
	w.orders = without(w.orders, save.Holder)
	// The report may be lost.
	if w.random.IntN(4) > 0 {
		w.table.End(save.Holder, keeping.SaveEnded, w.now())
	}
	return err
}

func (w *savesWorld) write(save keeping.Save) error {
	if w.store[save.Part] > 0 {
		return nil
	}
	if w.clock <= w.until[save.Part] {
		return fmt.Errorf("%v is written at %s, and may be fetched until %s", save.Part, w.clock, w.until[save.Part])
	}
	w.store[save.Part] = save.Tokens
	return nil
}

// resolve asks the engines for requests whose end was not reported.
func (w *savesWorld) resolve() {
	for _, u := range w.table.TakeUnresolved(w.now()) {
		isOrdered := false
		for _, save := range w.orders {
			isOrdered = isOrdered || save.Holder == u.Holder
		}
		if !isOrdered || w.wrong == "silence ends a save" {
			w.table.End(u.Holder, keeping.SaveEnded, w.now())
		}
	}
}

func playSaves(seed uint64, wrong string) (fetched int, err error) {
	w := &savesWorld{random: rand.New(rand.NewPCG(seed, 0x5a7e)), wrong: wrong, clock: time.Minute, epoch: 1, open: 1, store: map[keeping.Part]int{}, until: map[keeping.Part]time.Duration{}}
	w.lead()
	for range 200 {
		switch w.random.IntN(13) {
		case 0:
			w.store = map[keeping.Part]int{}
			w.epoch++
		case 1:
			w.lead()
		case 2:
			// An engine reads for long, is suspended or cut off.
			w.clock += time.Duration(w.random.IntN(20)) * time.Second
		case 3, 4, 5:
			w.read()
			w.begin()
		case 6, 7:
			err := w.end()
			if err != nil {
				return w.fetched, err
			}
		case 8:
			w.resolve()
		case 9:
			// An engine that was preempted reads a prompt anew, and saves its parts once more.
			if len(w.orders) == 0 {
				continue
			}
			err := w.write(w.orders[w.random.IntN(len(w.orders))])
			if err != nil {
				return w.fetched, err
			}
		default:
			w.clock += time.Duration(w.random.IntN(1500)) * time.Millisecond
			w.read()
		}
	}
	return w.fetched, nil
}

// For any sequence of saves, which engines may make at any time after the request, of restarts of the store,
// new leaders and lost reports, no part is written while it may be fetched by an earlier publication.
func TestNoPartIsWrittenWhileItMayBeFetched(t *testing.T) {
	fetched := 0
	for seed := range uint64(400) {
		n, err := playSaves(seed, "")
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		fetched += n
	}
	if fetched < 400 {
		t.Errorf("only %d times may a part be fetched", fetched)
	}
	for _, wrong := range []string{"parts are fetched while they may be written", "a part has several saves", "a new leader forgets saves", "silence ends a save"} {
		t.Run(wrong, func(t *testing.T) {
			for seed := range uint64(400) {
				if _, err := playSaves(seed, wrong); err != nil {
					return
				}
			}
			t.Error("it is not noticed")
		})
	}
}
