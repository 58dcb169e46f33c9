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
	// refused sums up the InstanceRefused facts of each incarnation.
	refused map[registry.Incarnation]refusals
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

// refusals are those that an incarnation gave to all entries shortly before its end, and how many it can give in a second.
type refusals struct {
	count int
	limit float64
}

// ended reports whether refusals may have ended the instance: entries keep within half of its limit, and do not see the
// answers that it does not send any more.
func (r refusals) ended() bool { return float64(r.count) > r.limit/2 }

type entry struct {
	fact Fact
	// change is the number of the fact's last change.
	change uint64
}

// New returns an empty set.
func New(seed uint64) *FactSet {
	s := &FactSet{
		seed: seed, facts: map[Key]*entry{}, ends: map[Digest][]Key{}, endCounts: map[registry.Incarnation]int{}, refused: map[registry.Incarnation]refusals{},
		confirmed: map[registry.Incarnation]bool{}, running: map[Digest]int{}, lastTry: map[Digest]time.Time{},
	}
	s.log.Newest = func(k Key) uint64 {
		if e := s.facts[k]; e != nil {
			return e.change
		}
		return 0
	}
	return s
}

// Merge adds a fact to the set; it reports whether the fact was new.
func (s *FactSet) Merge(fact Fact) bool {
	k := fact.Key()
	known, ok := s.facts[k]
	if ok && !s.replaces(fact, known.fact) || s.isDuplicate(fact) {
		return false
	}
	if !ok && len(s.facts) >= maxFacts && !s.evictFor(fact) {
		return false
	}
	if _, ended := fact.(InstanceEnded); ended && !ok {
		s.ends[k.digest] = append(s.ends[k.digest], k)
		s.endCounts[k.incarnation]++
	}
	if f, refused := fact.(InstanceRefused); refused && !ok {
		s.countRefusals(f.Incarnation, f.Count, f.Limit)
	}
	if !ok {
		s.checksum ^= k.checksum()
	}
	e := &entry{fact: fact}
	s.facts[k] = e
	e.change = s.log.Add(k)
	return true
}

// isDuplicate reports whether an end is known under another identity. If instances do not report
// when they started, each entry that sees an end makes up an identity for the incarnation. A
// request that was sent after the known end was seen ran in another incarnation.
func (s *FactSet) isDuplicate(fact Fact) bool {
	end, ok := fact.(InstanceEnded)
	if !ok || end.Incarnation.Start >= 0 {
		return false
	}
	return slices.ContainsFunc(s.ends[end.Digest], func(k Key) bool {
		other := s.facts[k].fact.(InstanceEnded)
		return k.incarnation != end.Incarnation && k.incarnation.ID == end.Incarnation.ID && k.incarnation.Start < 0 && !end.Sent.After(other.At) && !other.Sent.After(end.At)
	})
}

// replaces reports whether a fact replaces an older one with the same key. Of an instance's end,
// the first report is kept unless it has been refuted since, because later reports come from slower
// signs of the end.
func (s *FactSet) replaces(newer, older Fact) bool {
	switch older := older.(type) {
	case InstanceEnded:
		return s.refuted(older) && newer.When().After(older.At)
	case InstanceRefused:
		return false
	}
	return newer.When().After(older.When().Add(TimeTolerance))
}

// Change returns the number of the latest change.
func (s *FactSet) Change() uint64 { return s.log.Last() }

// After iterates over the facts that changed after the given change, oldest first.
func (s *FactSet) After(change uint64) iter.Seq2[uint64, Fact] {
	return func(yield func(uint64, Fact) bool) {
		for number, k := range s.log.After(change) {
			if !yield(number, s.facts[k].fact) {
				return
			}
		}
	}
}

// Since returns up to limit facts that changed after the given change, oldest first, and the number
// of the last change that is included.
func (s *FactSet) Since(change uint64, limit int) (facts []Fact, last uint64) {
	for number, f := range s.After(change) {
		if len(facts) == limit {
			return facts, last
		}
		facts = append(facts, f)
		last = number
	}
	return facts, s.Change()
}

// IsSuspected reports whether any end is known for a request.
func (s *FactSet) IsSuspected(d Digest) bool { return len(s.ends[d]) > 0 }

// PresumedEnded reports whether an incarnation is presumed to have ended, without that being
// confirmed.
func (s *FactSet) PresumedEnded(incarnation registry.Incarnation) bool {
	return s.endCounts[incarnation] > 0 && !s.confirmed[incarnation]
}

// UnconfirmedEnds returns the ends that are not confirmed.
func (s *FactSet) UnconfirmedEnds() []InstanceEnded {
	var out []InstanceEnded
	for _, e := range s.facts {
		if end, ok := e.fact.(InstanceEnded); ok && !s.confirmed[end.Incarnation] {
			out = append(out, end)
		}
	}
	return out
}

// ConfirmEnd records that an incarnation has certainly ended, because another one has its ID or
// address.
func (s *FactSet) ConfirmEnd(incarnation registry.Incarnation) {
	if s.endCounts[incarnation] > 0 {
		s.confirmed[incarnation] = true
	}
}

// refuted reports whether the instance answered a request that was sent after its end was seen.
// That happens if something in between refused its connections.
func (s *FactSet) refuted(e InstanceEnded) bool {
	response, ok := s.facts[Key{incarnation: e.Incarnation}]
	return ok && !s.confirmed[e.Incarnation] && response.fact.When().After(e.At)
}

// explained reports whether an instance may have ended because of its refusals, whatever it ran.
func (s *FactSet) explained(e InstanceEnded) bool { return s.refused[e.Incarnation].ended() }

// countRefusals adds to the refusals of an incarnation, or takes from them.
func (s *FactSet) countRefusals(of registry.Incarnation, count int, limit float64) {
	r := s.refused[of]
	r.count += count
	r.limit = max(r.limit, limit)
	if r.count <= 0 {
		delete(s.refused, of)
		return
	}
	s.refused[of] = r
}

// Sweep removes the facts that are older than factRetention and do not concern a held request.
func (s *FactSet) Sweep(entries int, now time.Time) {
	var old []Key
	for k, e := range s.facts {
		if now.Sub(e.fact.When()) > factRetention && !s.isHeld(k, entries, now) {
			old = append(old, k)
		}
	}
	for _, k := range old {
		s.remove(k)
	}
	for d, at := range s.lastTry {
		if now.Sub(at) > factRetention {
			delete(s.lastTry, d)
		}
	}
}

// isHeld reports whether a fact is an end under a held request whose pause has not been over for
// factRetention.
func (s *FactSet) isHeld(k Key, entries int, now time.Time) bool {
	if k.digest == (Digest{}) {
		return false
	}
	c := s.Status(k.digest, entries, now)
	return c.Held && now.Sub(c.Until) < factRetention
}

func (s *FactSet) remove(k Key) {
	removed := s.facts[k].fact
	delete(s.facts, k)
	s.checksum ^= k.checksum()
	switch f := removed.(type) {
	case InstanceEnded:
		s.removeEnd(k)
	case InstanceRefused:
		s.countRefusals(f.Incarnation, -f.Count, f.Limit)
	}
}

// removeEnd removes the key of an end that is no longer held.
func (s *FactSet) removeEnd(k Key) {
	s.endCounts[k.incarnation]--
	if s.endCounts[k.incarnation] == 0 {
		delete(s.endCounts, k.incarnation)
		delete(s.confirmed, k.incarnation)
	}
	left := slices.DeleteFunc(s.ends[k.digest], func(other Key) bool { return other == k })
	if len(left) == 0 {
		delete(s.ends, k.digest)
		return
	}
	s.ends[k.digest] = left
}

// evictFor removes the oldest fact, preferring requests with few ends and ends before a success, so that neither a
// caller whose many different bodies each end an instance nor a popular part evicts a held request. A fact that is not much
// newer than the oldest is not added, unless its request is suspected: with more facts than fit in
// a set, the entries would otherwise evict what they send each other again and again.
func (s *FactSet) evictFor(fact Fact) bool {
	var oldest Key
	var at time.Time
	few := false
	for k, e := range s.facts {
		isFew := len(s.ends[k.digest]) < endsToHold || s.cleared(e.fact)
		if isFew && !few || isFew == few && (at.IsZero() || e.fact.When().Before(at)) {
			oldest, at, few = k, e.fact.When(), isFew
		}
	}
	if !s.IsSuspected(fact.Key().digest) && fact.When().Sub(at) < minReplaceAge {
		return false
	}
	s.remove(oldest)
	return true
}

// cleared reports whether a fact is an end before the last success of its digest.
func (s *FactSet) cleared(f Fact) bool {
	end, ok := f.(InstanceEnded)
	if !ok {
		return false
	}
	success, ok := s.facts[Key{digest: end.Digest}]
	return ok && !end.At.After(success.fact.When())
}

// Checksum returns a value that is equal for sets that hold the same keys, independent of the order
// in which they were merged.
func (s *FactSet) Checksum() uint64 { return s.checksum }

// byText is empty for facts of no particular entry.
func byText(by uint64) string {
	if by == 0 {
		return ""
	}
	return "/" + strconv.FormatUint(by, 16)
}

func (k Key) checksum() uint64 {
	return xxhash.Sum64String(k.digest.String() + k.incarnation.ID + strconv.FormatInt(int64(k.incarnation.Start), 16) + byText(k.by))
}

// Contains reports whether the set has a fact with the key.
func (s *FactSet) Contains(k Key) bool { return s.facts[k] != nil }

// Len returns the number of facts.
func (s *FactSet) Len() int { return len(s.facts) }
