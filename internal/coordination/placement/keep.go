package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// minCopyBlocks is the smallest number of new blocks that is worth an object: fewer are
	// recomputed faster than fetched.
	minCopyBlocks = 2
	// maxCopiesPerStore bounds the background copies from one entry to one store.
	maxCopiesPerStore = 1
	// maxPostponed bounds the number of postponed copies.
	maxPostponed = 256
	// congestedShare is the part of a link's declared rate below which the observed rate counts as
	// congestion, and copies are postponed.
	congestedShare = 0.5
	// fullBackoff is how long no copy is sent to a store that had no space.
	fullBackoff = time.Second
)

// Copy is a background copy from an upstream to a store.
type Copy struct {
	// Store is the store's address.
	Store string
	// Blocks is how many blocks at the end of the chain are copied.
	Blocks int
	// Parent is the key of the block before them, or the zero key.
	Parent prefix.Key
}

// PostponedCopy is a copy that waits for its store's link. It is a plain value.
type PostponedCopy struct {
	Keys []prefix.Key
	Plan Plan
	// Tag is an opaque value by which the caller identifies the prompt.
	Tag any
}

// PlanCopy decides whether the context of a finished prompt is copied to a store now; p.Plan is the
// plan under which it ran. Fetches that callers wait for take precedence over background copies:
// while one is in flight on a store's link, or the link is congested, the copy is postponed.
func (pl *Planner) PlanCopy(p PostponedCopy, now time.Time) (Copy, bool) {
	c, store, ok := pl.buildCopy(p)
	if !ok {
		return Copy{}, false
	}
	s := &pl.stores[store]
	if s.busy(now) {
		pl.postpone(p)
		return Copy{}, false
	}
	s.activeCopies++
	return c, true
}

func (pl *Planner) postpone(p PostponedCopy) {
	pl.postponed = append(pl.postponed, p)
	if len(pl.postponed) > maxPostponed {
		pl.postponed = append([]PostponedCopy(nil), pl.postponed[1:]...)
	}
}

// NextCopy returns the newest postponed copy whose store's link is free now, because the newest is
// the most likely to be still in its engine's cache.
func (pl *Planner) NextCopy(now time.Time) (PostponedCopy, Copy, bool) {
	for i := len(pl.postponed) - 1; i >= 0; i-- {
		p := pl.postponed[i]
		c, store, ok := pl.buildCopy(p)
		if ok && pl.stores[store].busy(now) {
			continue
		}
		pl.postponed = append(pl.postponed[:i:i], pl.postponed[i+1:]...)
		if ok {
			pl.stores[store].activeCopies++
			return p, c, true
		}
	}
	return PostponedCopy{}, Copy{}, false
}

// buildCopy returns the copy to make for a finished prompt, and the store to copy to.
func (pl *Planner) buildCopy(p PostponedCopy) (c Copy, store int, ok bool) {
	if len(p.Keys) < minCopyBlocks {
		return Copy{}, 0, false
	}
	n, ok := pl.storeForCopy(p.Keys[0], p.Plan)
	if !ok {
		return Copy{}, 0, false
	}
	kept := 0
	if pl.stores[n].address == p.Plan.StoredAt {
		kept = p.Plan.StoredBlocks
	}
	if len(p.Keys)-kept < minCopyBlocks {
		return Copy{}, 0, false
	}
	c = Copy{Store: pl.stores[n].address, Blocks: len(p.Keys) - kept}
	if kept > 0 {
		c.Parent = p.Keys[kept-1]
	}
	return c, n, true
}

// busy reports whether no copy may start on the store's link now.
func (s *store) busy(now time.Time) bool {
	congested := s.rate(now) < s.linkRate*congestedShare
	return congested || s.activeFetches > 0 || s.activeCopies >= maxCopiesPerStore || now.Before(s.fullUntil)
}

// storeForCopy returns the store that holds the beginning of the context, if there is one.
// Otherwise contexts are distributed over the stores of the entry's own failure domain, or over all
// stores if it has none, by rendezvous hashing of their first key, so that every entry of the
// domain chooses the same store.
func (pl *Planner) storeForCopy(first prefix.Key, p Plan) (int, bool) {
	best, bestNear := -1, false
	var bestWeight uint64
	for i := range pl.stores {
		s := &pl.stores[i]
		if !s.declared {
			continue
		}
		if s.address == p.StoredAt {
			best = i
			break
		}
		weight := s.weight(first)
		if best < 0 || s.sameDomain && !bestNear || s.sameDomain == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = i, s.sameDomain, weight
		}
	}
	return best, best >= 0
}

// weight returns the store's weight for a context in rendezvous hashing.
func (s *store) weight(first prefix.Key) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(first[:])
	_, _ = h.WriteString(s.address)
	return h.Sum64()
}

// EndCopy records the end of a copy of the context with the given key and number of blocks; full is
// true if the store had no space. If object is not nil, the copy succeeded, and the returned note
// announces the object.
func (pl *Planner) EndCopy(c Copy, key prefix.Key, blocks int, object *StoredObject, full bool, now time.Time) (Note, bool) {
	s := &pl.stores[pl.storeNumber(c.Store)]
	s.activeCopies--
	if full {
		s.fullUntil = now.Add(fullBackoff)
	}
	if object == nil {
		return Note{}, false
	}
	return Note{Key: key, Blocks: blocks, Object: object, Parent: c.Parent}, true
}

// incarnation returns the number of a store's incarnation. When a new one is seen, the hints to the
// earlier ones are removed, because the store starts empty and their objects are gone.
func (pl *Planner) incarnation(n int, name string) uint16 {
	s := &pl.stores[n]
	for i, known := range s.incarnations {
		if known == name {
			return uint16(i)
		}
	}
	for i := range s.incarnations {
		pl.directory.DropStore(uint16(n+1), uint16(i))
	}
	s.incarnations = append(s.incarnations, name)
	return uint16(len(s.incarnations) - 1)
}
