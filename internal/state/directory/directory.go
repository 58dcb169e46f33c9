// Package directory is an index of where cached context probably is.
//
// Every entry of it is a hint: engines evict and stores restart without a notification,
// or with a late one. A wrong hint costs a recomputation but never causes a wrong answer,
// because the reader of a block verifies its incarnation, generation and bytes.
//
// There is one context for each position in a prompt where an earlier prompt ended,
// identified by the chain key of its last full block. The blocks before it are found
// through the same context, since a chain key identifies all text up to its block.
package directory

import (
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// MaxUpstreams is the maximum number of engines recorded for one context.
const MaxUpstreams = 4

// Object identifies an object in a store. The zero value means that there is none.
type Object struct {
	// Store is the index of the store in the list of store names, from 1.
	Store uint16
	// Incarnation is the number of times that the store was seen to start empty.
	Incarnation uint16
	// Blocks is the number of the context's last blocks that the object holds.
	Blocks     uint32
	Object     uint64
	Generation uint64
}

// context is kept small: at the target size one entry holds some 7,000 of them, and
// in the two current deployments one entry holds all of them.
type context struct {
	// parent is the context whose object holds the blocks before this object's.
	parent prefix.Key
	object Object
	// upstreams holds engine numbers plus one, the most recent first; 0 marks an unused slot.
	upstreams [MaxUpstreams]uint16
	// blocks is the length of the chain up to the key, in blocks.
	blocks uint32
	// team is the number of the team that the context belongs to.
	team uint16
	// lastUseNumber is the value of useCount at the last use of the context.
	lastUseNumber uint64
	// lessRecent and moreRecent link the objectList of its store and team, if the context has an
	// object.
	lessRecent, moreRecent *context
	// lastUsed is when the context was last run, in Unix seconds.
	lastUsed uint32
	// older and newer link the list of all contexts by last use, for eviction.
	older, newer prefix.Key
}

// Directory is one shard of the index. Create one with New. It is not safe for concurrent use.
type Directory struct {
	// contexts has at most limit members, all of them in the list from newest to oldest.
	contexts map[prefix.Key]*context
	limit    int
	newest   prefix.Key
	oldest   prefix.Key
	// objects lists the contexts with objects by store and team.
	objects map[storeTeam]*objectList
	// useCount is the number of uses of any context so far.
	useCount uint64
	// evicted holds the objects of evicted contexts.
	evicted []Object
}

// New returns an empty directory for at most limit contexts.
func New(limit int) *Directory {
	return &Directory{contexts: make(map[prefix.Key]*context), limit: limit, objects: map[storeTeam]*objectList{}}
}

// Len returns the number of contexts.
func (d *Directory) Len() int { return len(d.contexts) }

// MatchResult holds the hints for a prompt. Reuse one between calls of
// Match to avoid allocations.
type MatchResult struct {
	// Cached holds, for each engine number, the number of leading blocks that it may have.
	Cached []int32
	// LastUsed holds, for each engine number, when these blocks were last known to be there, in Unix seconds.
	LastUsed []uint32
	// holders holds the engine numbers that are set in Cached.
	holders []uint16
	// Objects are the objects that hold the first Stored blocks, in order from the prompt's start.
	Objects []Object
	// Ends holds, for each object, the number of blocks from the prompt's start to the object's end.
	Ends []int32
	// Stored is the number of leading blocks that stores may have.
	Stored int
	// Contexts is the number of contexts that matched.
	Contexts int
}

// reset clears the result of the last Match.
func (f *MatchResult) reset(upstreams int) {
	for _, n := range f.holders {
		f.Cached[n] = 0
	}
	f.holders = f.holders[:0]
	if len(f.Cached) < upstreams {
		f.Cached = make([]int32, upstreams)
		f.LastUsed = make([]uint32, upstreams)
	}
	f.Objects = f.Objects[:0]
	f.Ends = f.Ends[:0]
	f.Stored = 0
	f.Contexts = 0
}

// Match finds the hints for the prompt whose blocks have the given keys, the
// longest context first.
func (d *Directory) Match(keys []prefix.Key, upstreams int, f *MatchResult) {
	f.reset(upstreams)
	for i := len(keys) - 1; i >= 0; i-- {
		c, ok := d.contexts[keys[i]]
		if !ok {
			continue
		}
		f.Contexts++
		d.addUpstreams(c, i+1, upstreams, f)
		if f.Stored == 0 && c.object.Store != 0 {
			d.addObjects(c, i+1, f)
		}
	}
}

func (d *Directory) addUpstreams(c *context, blocks, upstreams int, f *MatchResult) {
	for _, n := range c.upstreams {
		if n != 0 && int(n) <= upstreams {
			f.Add(int(n-1), blocks, c.lastUsed)
		}
	}
}

// Add adds the hint that an engine may have a number of leading blocks, last known at lastUsed in
// Unix seconds. It has no effect if there is a hint to as many or more blocks.
func (f *MatchResult) Add(upstream, blocks int, lastUsed uint32) {
	if f.Cached[upstream] == 0 {
		f.holders = append(f.holders, uint16(upstream))
	}
	if int32(blocks) > f.Cached[upstream] {
		f.Cached[upstream] = int32(blocks)
		f.LastUsed[upstream] = lastUsed
	}
}

// Holders returns the numbers of the engines that may have any block.
func (f *MatchResult) Holders() []uint16 { return f.holders }

// addObjects adds the objects of a context and its parents up to the prompt's start. If one
// is missing, the others are useless and none is added.
func (d *Directory) addObjects(c *context, blocks int, f *MatchResult) {
	remaining := blocks
	for c.object.Store != 0 && int(c.object.Blocks) <= remaining {
		f.Objects = append(f.Objects, c.object)
		f.Ends = append(f.Ends, int32(remaining))
		remaining -= int(c.object.Blocks)
		if remaining == 0 {
			f.Stored = blocks
			reverse(f)
			return
		}
		parent, ok := d.contexts[c.parent]
		if !ok {
			break
		}
		c = parent
	}
	f.Objects = f.Objects[:0]
	f.Ends = f.Ends[:0]
}

func reverse(f *MatchResult) {
	for i, j := 0, len(f.Objects)-1; i < j; i, j = i+1, j-1 {
		f.Objects[i], f.Objects[j] = f.Objects[j], f.Objects[i]
		f.Ends[i], f.Ends[j] = f.Ends[j], f.Ends[i]
	}
}

// RecordRun records that an engine has just run a prompt, and so has its blocks. key is the
// key of the last block, and second the Unix time in seconds.
func (d *Directory) RecordRun(key prefix.Key, blocks, upstream int, second uint32) {
	d.refreshParents(key)
	c := d.context(key, blocks)
	c.lastUsed = second
	n := uint16(upstream + 1)
	at := MaxUpstreams - 1
	for i, other := range c.upstreams {
		if other == n {
			at = i
			break
		}
	}
	copy(c.upstreams[1:at+1], c.upstreams[:at])
	c.upstreams[0] = n
}

// maxParents bounds the number of parents of a context that are refreshed.
const maxParents = 64

// refreshParents moves the parents of a context to the front of the list: without their
// objects the context's own object is useless.
func (d *Directory) refreshParents(key prefix.Key) {
	c, ok := d.contexts[key]
	for range maxParents {
		if !ok || c.object.Store == 0 {
			return
		}
		key = c.parent
		c, ok = d.contexts[key]
		if ok {
			d.unlink(c)
			d.link(key, c)
		}
	}
}

// RecordStored records that a store has sealed an object with the last blocks of the
// chain of a team's context. parent is the key of the block before them, or the zero key at the
// prompt's start.
func (d *Directory) RecordStored(key, parent prefix.Key, blocks int, team uint16, o Object) {
	c := d.context(key, blocks)
	d.setObject(c, Object{})
	c.team = team
	d.setObject(c, o)
	c.parent = parent
}

// RecordEviction records that an engine no longer has the block of a key.
func (d *Directory) RecordEviction(key prefix.Key, upstream int) {
	c, ok := d.contexts[key]
	if !ok {
		return
	}
	n := uint16(upstream + 1)
	for i, other := range c.upstreams {
		if other == n {
			copy(c.upstreams[i:], c.upstreams[i+1:])
			c.upstreams[MaxUpstreams-1] = 0
			return
		}
	}
}

// DropUpstream removes every hint to an engine, as after lost cache events.
func (d *Directory) DropUpstream(upstream int) {
	for key := range d.contexts {
		d.RecordEviction(key, upstream)
	}
}

// DropObject removes the hint to the object of a key, as after a store refused it.
func (d *Directory) DropObject(key prefix.Key) {
	c, ok := d.contexts[key]
	if ok {
		d.setObject(c, Object{})
	}
}

// DropStore removes every hint to one incarnation of a store.
func (d *Directory) DropStore(store, incarnation uint16) {
	for _, c := range d.contexts {
		if c.object.Store == store && c.object.Incarnation == incarnation {
			d.setObject(c, Object{})
		}
	}
}

// Stored returns the object of a key.
func (d *Directory) Stored(key prefix.Key) (Object, bool) {
	c, ok := d.contexts[key]
	if !ok || c.object.Store == 0 {
		return Object{}, false
	}
	return c.object, true
}

// context returns the context of a key and moves it to the front of the list. If it is new, the oldest
// one is evicted when the directory is full.
func (d *Directory) context(key prefix.Key, blocks int) *context {
	c, ok := d.contexts[key]
	if ok {
		d.unlink(c)
	} else {
		if len(d.contexts) >= d.limit {
			d.evict()
		}
		c = &context{blocks: uint32(blocks)}
		d.contexts[key] = c
	}
	d.link(key, c)
	return c
}

// TakeEvicted returns and clears the objects of evicted contexts. There is no other reference to
// them, so the caller must free them in the stores.
func (d *Directory) TakeEvicted() []Object {
	out := d.evicted
	d.evicted = nil
	return out
}

func (d *Directory) evict() {
	c := d.contexts[d.oldest]
	key := d.oldest
	if c.object.Store != 0 {
		d.evicted = append(d.evicted, c.object)
		d.setObject(c, Object{})
	}
	d.unlink(c)
	delete(d.contexts, key)
}

func (d *Directory) link(key prefix.Key, c *context) {
	d.useCount++
	c.lastUseNumber = d.useCount
	d.refresh(c)
	c.older = d.newest
	c.newer = prefix.Key{}
	if front, ok := d.contexts[d.newest]; ok {
		front.newer = key
	} else {
		d.oldest = key
	}
	d.newest = key
}

func (d *Directory) unlink(c *context) {
	older, hasOlder := d.contexts[c.older]
	newer, hasNewer := d.contexts[c.newer]
	switch {
	case hasOlder && hasNewer:
		older.newer = c.newer
		newer.older = c.older
	case hasOlder:
		older.newer = prefix.Key{}
		d.newest = c.older
	case hasNewer:
		newer.older = prefix.Key{}
		d.oldest = c.newer
	default:
		d.newest = prefix.Key{}
		d.oldest = prefix.Key{}
	}
}
