package quarantine

import (
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/changes"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// FactSet holds the facts. Make one with New. It is not safe for concurrent use.
type FactSet struct {
	// seed gives the turns of different entries.
	seed uint64
	// facts holds at most mostFacts facts, by what they are about.
	facts map[Key]*entry
	// ends lists the keys of the ends of each digest, and ended counts those of each incarnation.
	ends  map[Digest][]Key
	ended map[registry.Incarnation]int
	// over holds the incarnations that have ended for certain; a word of them was another's, which
	// has their id or address now.
	over map[registry.Incarnation]bool
	// log holds what the facts are about in the order of their changes, and sum is the same for
	// books that know of the same.
	log changes.Log[Key]
	sum uint64
	// running counts the attempts under way here, and tried says when a request that was held was
	// last tried here. A digest without either is in neither.
	running map[Digest]int
	tried   map[Digest]time.Time
}

type entry struct {
	fact Fact
	// change is the number of its last change.
	change uint64
}

// New returns a book without facts.
func New(seed uint64) *FactSet {
	b := &FactSet{
		seed: seed, facts: map[Key]*entry{}, ends: map[Digest][]Key{}, ended: map[registry.Incarnation]int{},
		over: map[registry.Incarnation]bool{}, running: map[Digest]int{}, tried: map[Digest]time.Time{},
	}
	b.log.Newest = func(k Key) uint64 {
		if e := b.facts[k]; e != nil {
			return e.change
		}
		return 0
	}
	return b
}

// Merge joins a fact; it reports whether that was news.
func (b *FactSet) Merge(fact Fact) bool {
	k := fact.Key()
	known, ok := b.facts[k]
	if ok && !b.replaces(fact, known.fact) || b.toldOtherwise(fact) {
		return false
	}
	if !ok && len(b.facts) >= mostFacts && !b.makeRoom(fact) {
		return false
	}
	if _, ended := fact.(InstanceEnded); ended && !ok {
		b.ends[k.digest] = append(b.ends[k.digest], k)
		b.ended[k.of]++
	}
	if !ok {
		b.sum ^= k.sum()
	}
	e := &entry{fact: fact}
	b.facts[k] = e
	e.change = b.log.Add(k)
	return true
}

// toldOtherwise reports whether an end is known under another name: where instances do not tell
// when they started, each entry that sees an end names the incarnation by itself. What was sent
// after an end had been seen ran in another life.
func (b *FactSet) toldOtherwise(fact Fact) bool {
	end, ok := fact.(InstanceEnded)
	if !ok || end.Incarnation.Start >= 0 {
		return false
	}
	return slices.ContainsFunc(b.ends[end.Digest], func(k Key) bool {
		other := b.facts[k].fact.(InstanceEnded)
		return k.of != end.Incarnation && k.of.ID == end.Incarnation.ID && k.of.Start < 0 && !end.Sent.After(other.At) && !other.Sent.After(end.At)
	})
}

// replaces reports whether a fact is to be kept in place of an older one of its key. Of an end
// the first report is kept, unless it was refuted since: whoever sees it later has a slower sign.
func (b *FactSet) replaces(newer, older Fact) bool {
	if e, ended := older.(InstanceEnded); ended {
		return b.refuted(e) && newer.When().After(e.At)
	}
	return newer.When().After(older.When().Add(TimeTolerance))
}

// Change returns the number of the newest change.
func (b *FactSet) Change() uint64 { return b.log.Last() }

// After lists the facts that changed after a change, by their changes, the oldest first.
func (b *FactSet) After(change uint64) iter.Seq2[uint64, Fact] {
	return func(yield func(uint64, Fact) bool) {
		for number, k := range b.log.After(change) {
			if !yield(number, b.facts[k].fact) {
				return
			}
		}
	}
}

// Since returns up to so many facts that changed after a change, in the order of their changes,
// and the number of the last of these changes.
func (b *FactSet) Since(change uint64, most int) (facts []Fact, last uint64) {
	for number, f := range b.After(change) {
		if len(facts) == most {
			return facts, last
		}
		facts = append(facts, f)
		last = number
	}
	return facts, b.Change()
}

// IsSuspected reports whether any end counts against a request.
func (b *FactSet) IsSuspected(d Digest) bool { return len(b.ends[d]) > 0 }

// PresumedEnded reports whether an incarnation is taken for ended, which is not certain.
func (b *FactSet) PresumedEnded(of registry.Incarnation) bool { return b.ended[of] > 0 && !b.over[of] }

// UnconfirmedEnds returns the ends of which it is not certain that the instance has ended.
func (b *FactSet) UnconfirmedEnds() []InstanceEnded {
	var out []InstanceEnded
	for _, e := range b.facts {
		if end, ok := e.fact.(InstanceEnded); ok && !b.over[end.Incarnation] {
			out = append(out, end)
		}
	}
	return out
}

// ConfirmEnd notes that an incarnation has ended for certain: another one has its id or its address.
func (b *FactSet) ConfirmEnd(of registry.Incarnation) {
	if b.ended[of] > 0 {
		b.over[of] = true
	}
}

// refuted reports whether the instance answered what was sent to it after its end was seen, as
// one does whose connections were refused by something between.
func (b *FactSet) refuted(e InstanceEnded) bool {
	heard, ok := b.facts[Key{of: e.Incarnation}]
	return ok && !b.over[e.Incarnation] && heard.fact.When().After(e.At)
}

// Sweep forgets what is old and concerns no request that is held.
func (b *FactSet) Sweep(entries int, now time.Time) {
	for k, e := range b.facts {
		if now.Sub(e.fact.When()) > factLife && !b.keeps(k, entries, now) {
			b.drop(k)
		}
	}
	for d, at := range b.tried {
		if now.Sub(at) > factLife {
			delete(b.tried, d)
		}
	}
}

// keeps reports whether a fact is an end of a request whose pause is not over for long.
func (b *FactSet) keeps(k Key, entries int, now time.Time) bool {
	if k.digest == (Digest{}) {
		return false
	}
	c := b.Status(k.digest, entries, now)
	return c.Held && now.Sub(c.Until) < factLife
}

func (b *FactSet) drop(k Key) {
	_, ended := b.facts[k].fact.(InstanceEnded)
	delete(b.facts, k)
	b.sum ^= k.sum()
	if !ended {
		return
	}
	b.ended[k.of]--
	if b.ended[k.of] == 0 {
		delete(b.ended, k.of)
		delete(b.over, k.of)
	}
	left := slices.DeleteFunc(b.ends[k.digest], func(other Key) bool { return other == k })
	if len(left) == 0 {
		delete(b.ends, k.digest)
		return
	}
	b.ends[k.digest] = left
}

// makeRoom drops the oldest fact of a request with few ends, so that whoever has many bodies end an
// instance each drives out no request that is held. A fact that is not much newer is not taken
// in its place, unless it is of a request that is suspected: of more facts than books hold, each
// would drop what another one tells it again, and so on.
func (b *FactSet) makeRoom(fact Fact) bool {
	var oldest Key
	var at time.Time
	few := false
	for k, e := range b.facts {
		isFew := len(b.ends[k.digest]) < endsToHold
		if isFew && !few || isFew == few && (at.IsZero() || e.fact.When().Before(at)) {
			oldest, at, few = k, e.fact.When(), isFew
		}
	}
	if !b.IsSuspected(fact.Key().digest) && fact.When().Sub(at) < replacedAfter {
		return false
	}
	b.drop(oldest)
	return true
}

// Checksum is the same for books that know of the same, whenever they learned it.
func (b *FactSet) Checksum() uint64 { return b.sum }

func (k Key) sum() uint64 {
	return xxhash.Sum64String(k.digest.String() + k.of.ID + strconv.FormatInt(int64(k.of.Start), 16))
}

// Contains reports whether a fact of a key is known, and Len how many facts are.
func (b *FactSet) Contains(k Key) bool { return b.facts[k] != nil }

// Len returns the number of facts.
func (b *FactSet) Len() int { return len(b.facts) }
