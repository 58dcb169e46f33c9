package placement

import (
	"time"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// minKeepBlocks is the shortest new part of a context worth an object: a
	// shorter one is recomputed faster than it is fetched.
	minKeepBlocks = 2
	// copiesPerStore bounds background copies to one store from one entry.
	copiesPerStore = 2
	// fullPause is how long a store without space is left alone.
	fullPause = 5 * time.Second
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

// PlanCopy says whether the context of a finished prompt is copied to a store.
// Background copies give way to fetches that callers wait for: while one is
// under way on a store's link, no copy begins there.
func (b *Board) PlanCopy(keys []prefix.Key, now time.Time) (Copy, bool) {
	if len(keys) < minKeepBlocks {
		return Copy{}, false
	}
	if _, ok := b.directory.Stored(keys[len(keys)-1]); ok {
		return Copy{}, false
	}
	n, ok := b.storeForCopy(now)
	if !ok {
		return Copy{}, false
	}
	b.directory.Match(keys, len(b.upstreams), &b.found)
	kept := 0
	if len(b.found.Objects) > 0 && int(b.found.Objects[0].Store) == n+1 {
		kept = b.found.Stored
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

// storeForCopy prefers the entry's own failure domain, then the idler link.
func (b *Board) storeForCopy(now time.Time) (int, bool) {
	best := -1
	for i := range b.stores {
		s := &b.stores[i]
		if !s.declared || s.transfers > 0 || s.copies >= copiesPerStore || now.Before(s.fullUntil) {
			continue
		}
		if best < 0 || s.near && !b.stores[best].near || s.near == b.stores[best].near && s.copies < b.stores[best].copies {
			best = i
		}
	}
	return best, best >= 0
}

// EndCopy ends a copy. When ref names an object, it is sealed, and from now on
// found; full says that the store had no space.
func (b *Board) EndCopy(c Copy, key prefix.Key, blocks int, ref engine.BlockRef, full bool, now time.Time) {
	n := b.storeNumber(c.Store)
	s := &b.stores[n]
	s.copies--
	if full {
		s.fullUntil = now.Add(fullPause)
	}
	if ref.Object == 0 {
		return
	}
	b.directory.NoteStored(key, c.Parent, blocks, directory.Object{
		Store:       uint16(n + 1),
		Incarnation: b.incarnation(n, ref.Incarnation),
		Blocks:      uint32(c.Blocks),
		Object:      ref.Object,
		Generation:  ref.Generation,
	})
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
