package placement

import (
	"encoding/binary"
	"time"

	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// routeBlocks is how deep into a prompt the key lies that says which entry owns its
// context: deep enough that teams' common openings do not all meet at one entry,
// and shallow enough that a prompt and its continuations share it.
const routeBlocks = 8

// Route returns the key by which the owner of a prompt's context is found; ok is
// false for a prompt without a full block, of which nothing is remembered.
func Route(keys []prefix.Key) (key prefix.Key, ok bool) {
	if len(keys) == 0 {
		return prefix.Key{}, false
	}
	return keys[min(len(keys), routeBlocks)-1], true
}

// Partitions is into how many parts the directory is divided among entries.
const Partitions = 4096

// PartitionOf returns the part of the directory to which the contexts of a route belong.
func PartitionOf(route prefix.Key) uint16 { return binary.BigEndian.Uint16(route[:]) % Partitions }

// Hints is what a directory knows of one prompt, by names that every entry shares.
// It is a plain value.
type Hints struct {
	Cached  []CachedAt
	Objects []StoredObject
}

// CachedAt says how many leading blocks an upstream may have.
type CachedAt struct {
	Upstream string
	Blocks   int
	// Used is when that was last known, in seconds since 1970.
	Used uint32
}

// StoredObject names an object in a store.
type StoredObject struct {
	// Store is the store's address.
	Store, Incarnation string
	Object, Generation uint64
	// Blocks is how many blocks it holds, and End how many of the prompt there are
	// up to its end.
	Blocks, End int
}

// Note tells the owner of a context what became of it. It is a plain value.
type Note struct {
	// Team is whose context it is.
	Team   string
	Key    prefix.Key
	Blocks int
	// Upstream ran the context, when it is not empty.
	Upstream string
	// Object was sealed with the context's last blocks, when it is not nil; Parent
	// is the key before them.
	Object *StoredObject
	Parent prefix.Key
	// Refused says that a store refused the context's object.
	Refused bool
}

// Find returns what this board's directory knows of a prompt.
func (b *Planner) Find(keys []prefix.Key) *Hints {
	b.directory.Match(keys, len(b.upstreams), &b.found)
	h := &Hints{}
	for n, blocks := range b.found.Cached[:len(b.upstreams)] {
		if blocks > 0 {
			h.Cached = append(h.Cached, CachedAt{b.names[n], int(blocks), b.found.Used[n]})
		}
	}
	for i, o := range b.found.Objects {
		h.Objects = append(h.Objects, *b.kept(o, int(b.found.Ends[i])))
	}
	return h
}

// take puts another entry's hints in the place of a match of this board's own.
func (b *Planner) take(h *Hints) {
	b.directory.Match(nil, len(b.upstreams), &b.found)
	for _, c := range h.Cached {
		if n, ok := b.numbers[c.Upstream]; ok {
			b.found.Add(n, c.Blocks, c.Used)
		}
	}
	for _, k := range h.Objects {
		n := b.storeNumber(k.Store)
		b.found.Objects = append(b.found.Objects, b.object(n, k))
		b.found.Ends = append(b.found.Ends, int32(k.End))
		b.found.Stored = k.End
	}
}

func (b *Planner) object(store int, k StoredObject) directory.Object {
	return directory.Object{
		Store: uint16(store + 1), Incarnation: b.incarnation(store, k.Incarnation),
		Blocks: uint32(k.Blocks), Object: k.Object, Generation: k.Generation,
	}
}

// Apply takes a note into this board's directory. It returns the objects that are of no
// more use, to be freed: the one that it replaces, and those of contexts that gave way.
func (b *Planner) Apply(n Note, now time.Time) (useless []StoredObject) {
	if n.Refused {
		b.directory.ForgetObject(n.Key)
		return nil
	}
	if number, ok := b.numbers[n.Upstream]; ok {
		b.directory.NoteRun(n.Key, n.Blocks, number, uint32(now.Unix()))
	}
	if n.Object != nil {
		o := b.object(b.storeNumber(n.Object.Store), *n.Object)
		old, had := b.directory.Stored(n.Key)
		b.directory.NoteStored(n.Key, n.Parent, n.Blocks, b.team(n.Team), o)
		if had && old != o {
			useless = append(useless, *b.kept(old, n.Blocks))
		}
	}
	for _, dropped := range b.directory.Dropped() {
		useless = append(useless, *b.kept(dropped, 0))
	}
	return useless
}

// ApplyListed takes an object that a store listed into this board's directory, unless it knows
// a newer one. It returns the objects that are of no use: a listed one that was replaced,
// or those that it replaces itself.
func (b *Planner) ApplyListed(n Note, now time.Time) (useless []StoredObject) {
	old, had := b.directory.Stored(n.Key)
	if !had || !b.stores[old.Store-1].declared {
		return b.Apply(n, now)
	}
	known := b.kept(old, n.Blocks)
	switch {
	case known.Store != n.Object.Store:
		return []StoredObject{*n.Object}
	case known.Incarnation != n.Object.Incarnation || known.Generation < n.Object.Generation:
		// The store has started blank since, or the object was replaced unheard.
		return b.Apply(n, now)
	case known.Generation > n.Object.Generation:
		return []StoredObject{*n.Object}
	}
	return nil
}

// kept names an object as every entry knows it; end is how many blocks of a prompt
// there are up to its end.
func (b *Planner) kept(o directory.Object, end int) *StoredObject {
	s := &b.stores[o.Store-1]
	return &StoredObject{
		Store: s.address, Incarnation: s.incarnations[o.Incarnation], Object: o.Object, Generation: o.Generation,
		Blocks: int(o.Blocks), End: end,
	}
}
