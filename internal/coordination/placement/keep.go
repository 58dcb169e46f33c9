package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// minKeepBlocks is the shortest new part of a context worth an object: a
	// shorter one is recomputed faster than it is fetched.
	minKeepBlocks = 2
	// copiesPerStore bounds background copies to one store from one entry.
	copiesPerStore = 1
	// maxPostponed bounds the copies that wait.
	maxPostponed = 256
	// crowdedShare is the part of a link's declared rate below which late fetches say
	// that the link is crowded, and copies wait for a better time.
	crowdedShare = 0.5
	// fullPause is how long a store without space is left alone.
	fullPause = time.Second
)

// Copy is a background copy from an upstream to a store.
type Copy struct {
	// Store is the store's address.
	Store string
	// Blocks is how many of the chain's last blocks to copy.
	Blocks int
	// Parent is the key before them, or the zero key.
	Parent prefix.Key
}

// PostponedCopy is a copy that waits for its store's link. It is a plain value.
type PostponedCopy struct {
	Keys []prefix.Key
	Plan Plan
	// Tag is the caller's own, to know the prompt again.
	Tag any
}

// PlanCopy says whether the context of a finished prompt is copied to a store now;
// p.Plan is the plan under which it ran. Background copies give way to fetches that
// callers wait for: while one is under way on a store's link, or the link is
// crowded, the copy is postponed.
func (b *Planner) PlanCopy(p PostponedCopy, now time.Time) (Copy, bool) {
	c, store, ok := b.copyOf(p)
	if !ok {
		return Copy{}, false
	}
	s := &b.stores[store]
	if s.busy(now) {
		b.postpone(p)
		return Copy{}, false
	}
	s.copies++
	return c, true
}

func (b *Planner) postpone(p PostponedCopy) {
	b.postponed = append(b.postponed, p)
	if len(b.postponed) > maxPostponed {
		b.postponed = append([]PostponedCopy(nil), b.postponed[1:]...)
	}
}

// NextCopy takes the newest postponed copy whose store's link is free now: the
// newest is the likeliest to be still in its engine's memory.
func (b *Planner) NextCopy(now time.Time) (PostponedCopy, Copy, bool) {
	for i := len(b.postponed) - 1; i >= 0; i-- {
		p := b.postponed[i]
		c, store, ok := b.copyOf(p)
		if ok && b.stores[store].busy(now) {
			continue
		}
		b.postponed = append(b.postponed[:i:i], b.postponed[i+1:]...)
		if ok {
			b.stores[store].copies++
			return p, c, true
		}
	}
	return PostponedCopy{}, Copy{}, false
}

// copyOf says what would be copied where.
func (b *Planner) copyOf(p PostponedCopy) (c Copy, store int, ok bool) {
	if len(p.Keys) < minKeepBlocks {
		return Copy{}, 0, false
	}
	n, ok := b.storeForCopy(p.Keys[0], p.Plan)
	if !ok {
		return Copy{}, 0, false
	}
	kept := 0
	if b.stores[n].address == p.Plan.KeptAt {
		kept = p.Plan.Kept
	}
	if len(p.Keys)-kept < minKeepBlocks {
		return Copy{}, 0, false
	}
	c = Copy{Store: b.stores[n].address, Blocks: len(p.Keys) - kept}
	if kept > 0 {
		c.Parent = p.Keys[kept-1]
	}
	return c, n, true
}

// busy reports whether no copy may begin on the store's link now.
func (s *store) busy(now time.Time) bool {
	crowded := s.rate(now) < s.linkRate*crowdedShare
	return crowded || s.transfers > 0 || s.copies >= copiesPerStore || now.Before(s.fullUntil)
}

// storeForCopy takes the store that holds the context's beginning, if one does.
// Otherwise contexts are spread over the stores of the entry's own failure domain,
// or over all when it has none, by rendezvous hashing of their first key, so that
// every entry picks the same one.
func (b *Planner) storeForCopy(first prefix.Key, p Plan) (int, bool) {
	best, bestNear := -1, false
	var bestWeight uint64
	for i := range b.stores {
		s := &b.stores[i]
		if !s.declared {
			continue
		}
		if s.address == p.KeptAt {
			best = i
			break
		}
		weight := s.weight(first)
		if best < 0 || s.near && !bestNear || s.near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = i, s.near, weight
		}
	}
	return best, best >= 0
}

// weight is the store's weight for a context in rendezvous hashing.
func (s *store) weight(first prefix.Key) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(first[:])
	_, _ = h.WriteString(s.address)
	return h.Sum64()
}

// EndCopy ends a copy of the context with a key and a number of blocks; full says that
// the store had no space. When object is not nil it is sealed, and the note that is
// returned makes it known.
func (b *Planner) EndCopy(c Copy, key prefix.Key, blocks int, object *StoredObject, full bool, now time.Time) (Note, bool) {
	s := &b.stores[b.storeNumber(c.Store)]
	s.copies--
	if full {
		s.fullUntil = now.Add(fullPause)
	}
	if object == nil {
		return Note{}, false
	}
	return Note{Key: key, Blocks: blocks, Object: object, Parent: c.Parent}, true
}

// incarnation numbers a store's blank start; when a new one is seen, the hints to
// those before it are dropped, because all that they named is gone.
func (b *Planner) incarnation(n int, name string) uint16 {
	s := &b.stores[n]
	for i, known := range s.incarnations {
		if known == name {
			return uint16(i)
		}
	}
	for i := range s.incarnations {
		b.directory.ForgetStore(uint16(n+1), uint16(i))
	}
	s.incarnations = append(s.incarnations, name)
	return uint16(len(s.incarnations) - 1)
}
