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

// FactSet is a set of facts, merged from all entries. Make one with New. It is not safe for
// concurrent use.
type FactSet struct {
	// seed makes the turns of entries differ.
	seed uint64
	// facts holds at most maxFacts facts, by key.
	facts map[Key]*entry
	// ends holds the keys of the InstanceEnded facts of each digest, and endCounts the number of
	// those facts for each incarnation.
	ends      map[Digest][]Key
	endCounts map[registry.Incarnation]int
	// confirmed holds the incarnations that have certainly ended. A later response under such an
	// identity comes from another process that has taken over its ID or address.
	confirmed map[registry.Incarnation]bool
	// log holds the keys of the facts in the order of their changes. checksum is equal for sets
	// that hold the same keys.
	log      changes.Log[Key]
	checksum uint64
	// running counts the attempts in flight at this entry, and lastTry holds when this entry last
	// tried a held request. Both omit digests without any.
	running map[Digest]int
	lastTry map[Digest]time.Time
}

type entry struct {
	fact Fact
	// change is the number of the fact's last change.
	change uint64
}

// New returns an empty set.
func New(seed uint64) *FactSet {
	b := &FactSet{
		seed: seed, facts: map[Key]*entry{}, ends: map[Digest][]Key{}, endCounts: map[registry.Incarnation]int{},
		confirmed: map[registry.Incarnation]bool{}, running: map[Digest]int{}, lastTry: map[Digest]time.Time{},
	}
	b.log.Newest = func(k Key) uint64 {
		if e := b.facts[k]; e != nil {
			return e.change
		}
		return 0
	}
	return b
}

// Merge adds a fact to the set; it reports whether the fact was new.
func (b *FactSet) Merge(fact Fact) bool {
	k := fact.Key()
	known, ok := b.facts[k]
	if ok && !b.replaces(fact, known.fact) || b.isDuplicate(fact) {
		return false
	}
	if !ok && len(b.facts) >= maxFacts && !b.evictFor(fact) {
		return false
	}
	if _, ended := fact.(InstanceEnded); ended && !ok {
		b.ends[k.digest] = append(b.ends[k.digest], k)
		b.endCounts[k.incarnation]++
	}
	if !ok {
		b.checksum ^= k.checksum()
	}
	e := &entry{fact: fact}
	b.facts[k] = e
	e.change = b.log.Add(k)
	return true
}

// isDuplicate reports whether an end is known under another identity. If instances do not report
// when they started, each entry that sees an end makes up an identity for the incarnation. A
// request that was sent after the known end was seen ran in another incarnation.
func (b *FactSet) isDuplicate(fact Fact) bool {
	end, ok := fact.(InstanceEnded)
	if !ok || end.Incarnation.Start >= 0 {
		return false
	}
	return slices.ContainsFunc(b.ends[end.Digest], func(k Key) bool {
		other := b.facts[k].fact.(InstanceEnded)
		return k.incarnation != end.Incarnation && k.incarnation.ID == end.Incarnation.ID && k.incarnation.Start < 0 && !end.Sent.After(other.At) && !other.Sent.After(end.At)
	})
}

// replaces reports whether a fact replaces an older one with the same key. Of an instance's end,
// the first report is kept unless it has been refuted since, because later reports come from slower
// signs of the end.
func (b *FactSet) replaces(newer, older Fact) bool {
	if e, ended := older.(InstanceEnded); ended {
		return b.refuted(e) && newer.When().After(e.At)
	}
	return newer.When().After(older.When().Add(TimeTolerance))
}

// Change returns the number of the latest change.
func (b *FactSet) Change() uint64 { return b.log.Last() }

// After iterates over the facts that changed after the given change, oldest first.
func (b *FactSet) After(change uint64) iter.Seq2[uint64, Fact] {
	return func(yield func(uint64, Fact) bool) {
		for number, k := range b.log.After(change) {
			if !yield(number, b.facts[k].fact) {
				return
			}
		}
	}
}

// Since returns up to limit facts that changed after the given change, oldest first, and the number
// of the last change that is included.
func (b *FactSet) Since(change uint64, limit int) (facts []Fact, last uint64) {
	for number, f := range b.After(change) {
		if len(facts) == limit {
			return facts, last
		}
		facts = append(facts, f)
		last = number
	}
	return facts, b.Change()
}

// IsSuspected reports whether any end is known for a request.
func (b *FactSet) IsSuspected(d Digest) bool { return len(b.ends[d]) > 0 }

// PresumedEnded reports whether an incarnation is presumed to have ended, without that being
// confirmed.
func (b *FactSet) PresumedEnded(incarnation registry.Incarnation) bool {
	return b.endCounts[incarnation] > 0 && !b.confirmed[incarnation]
}

// UnconfirmedEnds returns the ends that are not confirmed.
func (b *FactSet) UnconfirmedEnds() []InstanceEnded {
	var out []InstanceEnded
	for _, e := range b.facts {
		if end, ok := e.fact.(InstanceEnded); ok && !b.confirmed[end.Incarnation] {
			out = append(out, end)
		}
	}
	return out
}

// ConfirmEnd records that an incarnation has certainly ended, because another one has its ID or
// address.
func (b *FactSet) ConfirmEnd(incarnation registry.Incarnation) {
	if b.endCounts[incarnation] > 0 {
		b.confirmed[incarnation] = true
	}
}

// refuted reports whether the instance answered a request that was sent after its end was seen.
// That happens if something in between refused its connections.
func (b *FactSet) refuted(e InstanceEnded) bool {
	response, ok := b.facts[Key{incarnation: e.Incarnation}]
	return ok && !b.confirmed[e.Incarnation] && response.fact.When().After(e.At)
}

// Sweep removes the facts that are older than factRetention and do not concern a held request.
func (b *FactSet) Sweep(entries int, now time.Time) {
	for k, e := range b.facts {
		if now.Sub(e.fact.When()) > factRetention && !b.isHeld(k, entries, now) {
			b.remove(k)
		}
	}
	for d, at := range b.lastTry {
		if now.Sub(at) > factRetention {
			delete(b.lastTry, d)
		}
	}
}

// isHeld reports whether a fact is an end under a held request whose pause has not been over for
// factRetention.
func (b *FactSet) isHeld(k Key, entries int, now time.Time) bool {
	if k.digest == (Digest{}) {
		return false
	}
	c := b.Status(k.digest, entries, now)
	return c.Held && now.Sub(c.Until) < factRetention
}

func (b *FactSet) remove(k Key) {
	_, ended := b.facts[k].fact.(InstanceEnded)
	delete(b.facts, k)
	b.checksum ^= k.checksum()
	if !ended {
		return
	}
	b.endCounts[k.incarnation]--
	if b.endCounts[k.incarnation] == 0 {
		delete(b.endCounts, k.incarnation)
		delete(b.confirmed, k.incarnation)
	}
	left := slices.DeleteFunc(b.ends[k.digest], func(other Key) bool { return other == k })
	if len(left) == 0 {
		delete(b.ends, k.digest)
		return
	}
	b.ends[k.digest] = left
}

// evictFor removes the oldest fact, preferring requests with few ends, so that a caller whose many
// different bodies each end an instance does not evict a held request. A fact that is not much
// newer than the oldest is not added, unless its request is suspected: with more facts than fit in
// a set, the entries would otherwise evict what they send each other again and again.
func (b *FactSet) evictFor(fact Fact) bool {
	var oldest Key
	var at time.Time
	few := false
	for k, e := range b.facts {
		isFew := len(b.ends[k.digest]) < endsToHold
		if isFew && !few || isFew == few && (at.IsZero() || e.fact.When().Before(at)) {
			oldest, at, few = k, e.fact.When(), isFew
		}
	}
	if !b.IsSuspected(fact.Key().digest) && fact.When().Sub(at) < minReplaceAge {
		return false
	}
	b.remove(oldest)
	return true
}

// Checksum returns a value that is equal for sets that hold the same keys, independent of the order
// in which they were merged.
func (b *FactSet) Checksum() uint64 { return b.checksum }

func (k Key) checksum() uint64 {
	return xxhash.Sum64String(k.digest.String() + k.incarnation.ID + strconv.FormatInt(int64(k.incarnation.Start), 16))
}

// Contains reports whether the set has a fact with the key.
func (b *FactSet) Contains(k Key) bool { return b.facts[k] != nil }

// Len returns the number of facts.
func (b *FactSet) Len() int { return len(b.facts) }
