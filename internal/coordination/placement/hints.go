package placement

import (
	"encoding/binary"
	"time"

	"github.com/shedrock/shedrock/internal/state/directory"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// routeBlocks is the number of leading blocks whose key determines the entry that owns a context.
// It is high enough that contexts with a common beginning, such as a team's system prompt, are not
// all owned by one entry, and low enough that a prompt and its continuations have the same owner.
const routeBlocks = 8

// Route returns the key that determines the owner of a prompt's context; ok is false for a prompt
// without a full block, about which nothing is recorded.
func Route(keys []prefix.Key) (key prefix.Key, ok bool) {
	if len(keys) == 0 {
		return prefix.Key{}, false
	}
	return keys[min(len(keys), routeBlocks)-1], true
}

// Partitions is the number of partitions of the directory, which are distributed over the entries.
const Partitions = 4096

// PartitionOf returns the partition of the directory that holds the contexts of a route.
func PartitionOf(route prefix.Key) uint16 { return binary.BigEndian.Uint16(route[:]) % Partitions }

// Hints is what a directory knows about one prompt, with names that are the same for every entry.
// It is a plain value.
type Hints struct {
	Cached  []CachedAt
	Objects []StoredObject
}

// CachedAt says how many leading blocks an upstream is expected to have in its cache.
type CachedAt struct {
	Upstream string
	Blocks   int
	// Used is the time of that information, in seconds since 1970.
	Used uint32
}

// StoredObject identifies an object in a store.
type StoredObject struct {
	// Store is the store's address.
	Store, Incarnation string
	Object, Generation uint64
	// Blocks is how many blocks it holds, and End the number of blocks of the prompt up to its end.
	Blocks, End int
}

// Note tells the owner of a context about an event that concerns it. It is a plain value.
type Note struct {
	// Team is the team that the context belongs to.
	Team   string
	Key    prefix.Key
	Blocks int
	// Upstream is the upstream that ran the context, or empty.
	Upstream string
	// Object, if not nil, is a sealed object with the context's last blocks; Parent is the key of
	// the block before them.
	Object *StoredObject
	Parent prefix.Key
	// Refused is true if a store refused the context's object.
	Refused bool
}

// Find returns what this planner's directory knows about a prompt.
func (pl *Planner) Find(keys []prefix.Key) *Hints {
	pl.directory.Match(keys, len(pl.upstreams), &pl.found)
	h := &Hints{}
	for n, blocks := range pl.found.Cached[:len(pl.upstreams)] {
		if blocks > 0 {
			h.Cached = append(h.Cached, CachedAt{pl.names[n], int(blocks), pl.found.LastUsed[n]})
		}
	}
	for i, o := range pl.found.Objects {
		h.Objects = append(h.Objects, *pl.storedObject(o, int(pl.found.Ends[i])))
	}
	return h
}

// useHints uses another entry's hints instead of a match in the planner's own directory.
func (pl *Planner) useHints(h *Hints) {
	pl.directory.Match(nil, len(pl.upstreams), &pl.found)
	for _, c := range h.Cached {
		if n, ok := pl.numbers[c.Upstream]; ok {
			pl.found.Add(n, c.Blocks, c.Used)
		}
	}
	for _, k := range h.Objects {
		n := pl.storeNumber(k.Store)
		pl.found.Objects = append(pl.found.Objects, pl.object(n, k))
		pl.found.Ends = append(pl.found.Ends, int32(k.End))
		pl.found.Stored = k.End
	}
}

func (pl *Planner) object(store int, k StoredObject) directory.Object {
	return directory.Object{
		Store: uint16(store + 1), Incarnation: pl.incarnation(store, k.Incarnation),
		Blocks: uint32(k.Blocks), Object: k.Object, Generation: k.Generation,
	}
}

// Apply applies a note to this planner's directory. It returns the objects that are no longer
// needed and can be freed: the one that the note's object replaces, and those of contexts that were
// evicted from the directory.
func (pl *Planner) Apply(n Note, now time.Time) (obsolete []StoredObject) {
	if n.Refused {
		pl.directory.DropObject(n.Key)
		return nil
	}
	if number, ok := pl.numbers[n.Upstream]; ok {
		pl.directory.RecordRun(n.Key, n.Blocks, number, uint32(now.Unix()))
	}
	if n.Object != nil {
		o := pl.object(pl.storeNumber(n.Object.Store), *n.Object)
		old, had := pl.directory.Stored(n.Key)
		pl.directory.RecordStored(n.Key, n.Parent, n.Blocks, pl.teamNumber(n.Team), o)
		if had && old != o {
			obsolete = append(obsolete, *pl.storedObject(old, n.Blocks))
		}
	}
	for _, dropped := range pl.directory.TakeEvicted() {
		obsolete = append(obsolete, *pl.storedObject(dropped, 0))
	}
	return obsolete
}

// ApplyListed adds an object that a store listed to this planner's directory, unless a newer one is
// known. It returns the objects that are no longer needed: the listed one, if it was replaced, or
// those that it replaces.
func (pl *Planner) ApplyListed(n Note, now time.Time) (obsolete []StoredObject) {
	old, had := pl.directory.Stored(n.Key)
	if !had || !pl.stores[old.Store-1].declared {
		return pl.Apply(n, now)
	}
	known := pl.storedObject(old, n.Blocks)
	switch {
	case known.Store != n.Object.Store:
		return []StoredObject{*n.Object}
	case known.Incarnation != n.Object.Incarnation || known.Generation < n.Object.Generation:
		// The store has restarted empty since, or the note of the replacement was lost.
		return pl.Apply(n, now)
	case known.Generation > n.Object.Generation:
		return []StoredObject{*n.Object}
	}
	return nil
}

// storedObject converts an object to the form that is the same for every entry; end is the number
// of blocks of a prompt up to its end.
func (pl *Planner) storedObject(o directory.Object, end int) *StoredObject {
	s := &pl.stores[o.Store-1]
	return &StoredObject{
		Store: s.address, Incarnation: s.incarnations[o.Incarnation], Object: o.Object, Generation: o.Generation,
		Blocks: int(o.Blocks), End: end,
	}
}
