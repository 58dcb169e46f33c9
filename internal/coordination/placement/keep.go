package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// minKeepBlocks is the shortest new part of a context worth an object: a
	// shorter one is recomputed faster than it is fetched.
	minKeepBlocks = 2
	// copiesPerStore bounds background copies to one store from one entry.
	copiesPerStore = 2
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

// PlanCopy says whether the context of a finished prompt is copied to a store; p
// is the plan under which it ran. Background copies give way to fetches that
// callers wait for: while one is under way on a store's link, no copy begins there.
func (b *Board) PlanCopy(keys []prefix.Key, p Plan, now time.Time) (Copy, bool) {
	if len(keys) < minKeepBlocks {
		return Copy{}, false
	}
	n, ok := b.storeForCopy(keys[0], p, now)
	if !ok {
		return Copy{}, false
	}
	kept := 0
	if b.stores[n].address == p.KeptAt {
		kept = p.Kept
	}
	if len(keys)-kept < minKeepBlocks {
		return Copy{}, false
	}
	c := Copy{Store: b.stores[n].address, Blocks: len(keys) - kept}
	if kept > 0 {
		c.Parent = keys[kept-1]
	}
	b.stores[n].copies++
	return c, true
}

// storeForCopy takes the store that holds the context's beginning, if one does.
// Otherwise contexts are spread over the stores of the entry's own failure domain,
// or over all when it has none, by rendezvous hashing of their first key, so that
// every entry picks the same one.
func (b *Board) storeForCopy(first prefix.Key, p Plan, now time.Time) (int, bool) {
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
	if best < 0 {
		return 0, false
	}
	s := &b.stores[best]
	busy := s.transfers > 0 || s.copies >= copiesPerStore || now.Before(s.fullUntil)
	return best, !busy
}

// weight is the store's weight for a context in rendezvous hashing.
func (s *store) weight(first prefix.Key) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(first[:])
	_, _ = h.WriteString(s.address)
	return h.Sum64()
}

// EndCopy ends a copy; full says that the store had no space. When ref names an
// object, it is sealed, and the note that is returned makes it known.
func (b *Board) EndCopy(c Copy, key prefix.Key, blocks int, ref engine.BlockRef, full bool, now time.Time) (Note, bool) {
	s := &b.stores[b.storeNumber(c.Store)]
	s.copies--
	if full {
		s.fullUntil = now.Add(fullPause)
	}
	if ref.Object == 0 {
		return Note{}, false
	}
	kept := &Kept{Store: c.Store, Incarnation: ref.Incarnation, Object: ref.Object, Generation: ref.Generation, Blocks: c.Blocks, End: blocks}
	return Note{Key: key, Blocks: blocks, Object: kept, Parent: c.Parent}, true
}

// incarnation numbers a store's blank start; when a new one is seen, the hints to
// those before it are dropped, because all that they named is gone.
func (b *Board) incarnation(n int, name string) uint16 {
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
