// Package directory remembers where kept context probably is.
//
// Every entry of it is a hint: engines evict and stores restart without telling,
// or tell late. A wrong hint costs a recomputation and never a wrong answer,
// because whoever reads a block checks its incarnation, generation and bytes.
//
// There is one context for each place in a prompt where an earlier prompt ended,
// known by the chain key of its last full block; the blocks before it are found
// through the same context, since one key stands for all text up to there.
package directory

import (
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// MaxUpstreams is how many engines are remembered for one context.
const MaxUpstreams = 4

// Object names an object in a store. The zero value means that there is none.
type Object struct {
	// Store is the store's place in the list of names of the directory, from 1.
	Store uint16
	// Incarnation counts the blank starts of the store that the directory has seen.
	Incarnation uint16
	// Blocks is how many of the context's last blocks the object holds.
	Blocks     uint32
	Object     uint64
	Generation uint64
}

// context is kept small: at the letter's size one entry holds some 7,000, and
// the two users of today hold all of theirs on one.
type context struct {
	// parent is the context whose object holds the blocks before this object's.
	parent prefix.Key
	object Object
	// upstreams holds engine numbers plus one; the newest is first, 0 is empty.
	upstreams [MaxUpstreams]uint16
	// blocks is the length of the chain up to the key.
	blocks uint32
	// team is the number of the team whose context it is.
	team uint16
	// turn rises with every use of any context: a higher one was used later.
	turn uint64
	// staler and fresher are its neighbours among the objects that its team holds in
	// the same store, when it has one.
	staler, fresher *context
	// used is when the context was last asked for, in seconds.
	used uint32
	// older and newer make a list by age, for eviction.
	older, newer prefix.Key
}

// Directory is one shard. Make one with New. It is not safe for concurrent use.
type Directory struct {
	// contexts has at most limit members, each in the list from newest to oldest.
	contexts map[prefix.Key]*context
	limit    int
	newest   prefix.Key
	oldest   prefix.Key
	// held lists the contexts that have objects, by store and team.
	held map[holding]*held
	// turns counts uses of contexts.
	turns uint64
	// dropped holds the objects of contexts that gave way to others.
	dropped []Object
}

// New returns an empty directory for a number of contexts.
func New(limit int) *Directory {
	return &Directory{contexts: make(map[prefix.Key]*context), limit: limit, held: map[holding]*held{}}
}

// Len returns the number of contexts.
func (d *Directory) Len() int { return len(d.contexts) }

// MatchResult is what the directory knows of a prompt. Reuse one between calls of
// Match to avoid allocation.
type MatchResult struct {
	// Cached holds, for each engine number, how many leading blocks it may have.
	Cached []int32
	// LastUsed holds, for the same numbers, when that was last known, in seconds.
	LastUsed []uint32
	// touched lists the numbers set in Cached.
	touched []uint16
	// Objects, in order from the prompt's start, hold the first Stored blocks.
	Objects []Object
	// Ends holds the number of blocks up to the end of each object.
	Ends []int32
	// Stored is how many leading blocks stores may have.
	Stored int
	// Contexts counts the contexts that matched.
	Contexts int
}

// reset clears what the last Match left.
func (f *MatchResult) reset(upstreams int) {
	for _, n := range f.touched {
		f.Cached[n] = 0
	}
	f.touched = f.touched[:0]
	if len(f.Cached) < upstreams {
		f.Cached = make([]int32, upstreams)
		f.LastUsed = make([]uint32, upstreams)
	}
	f.Objects = f.Objects[:0]
	f.Ends = f.Ends[:0]
	f.Stored = 0
	f.Contexts = 0
}

// Match finds what is known of the prompt whose blocks have these keys. The
// longest context is looked for first.
func (d *Directory) Match(keys []prefix.Key, upstreams int, f *MatchResult) {
	f.reset(upstreams)
	for i := len(keys) - 1; i >= 0; i-- {
		c, ok := d.contexts[keys[i]]
		if !ok {
			continue
		}
		f.Contexts++
		d.noteUpstreams(c, i+1, upstreams, f)
		if f.Stored == 0 && c.object.Store != 0 {
			d.noteObjects(c, i+1, f)
		}
	}
}

func (d *Directory) noteUpstreams(c *context, blocks, upstreams int, f *MatchResult) {
	for _, n := range c.upstreams {
		if n != 0 && int(n) <= upstreams {
			f.Add(int(n-1), blocks, c.used)
		}
	}
}

// Add notes that an engine may have a number of leading blocks, as was last known at
// a second, unless it is known to have more.
func (f *MatchResult) Add(upstream, blocks int, used uint32) {
	if f.Cached[upstream] == 0 {
		f.touched = append(f.touched, uint16(upstream))
	}
	if int32(blocks) > f.Cached[upstream] {
		f.Cached[upstream] = int32(blocks)
		f.LastUsed[upstream] = used
	}
}

// Holders lists the engines that may have any block.
func (f *MatchResult) Holders() []uint16 { return f.touched }

// noteObjects follows the parents to the prompt's start; a gap on the way makes
// the objects useless.
func (d *Directory) noteObjects(c *context, blocks int, f *MatchResult) {
	left := blocks
	for c.object.Store != 0 && int(c.object.Blocks) <= left {
		f.Objects = append(f.Objects, c.object)
		f.Ends = append(f.Ends, int32(left))
		left -= int(c.object.Blocks)
		if left == 0 {
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

// RecordRun says that an engine has just run a prompt, and so has its blocks; key is
// that of the last one. second is the time in seconds.
func (d *Directory) RecordRun(key prefix.Key, blocks, upstream int, second uint32) {
	d.touchParents(key)
	c := d.context(key, blocks)
	c.used = second
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

// maxParents bounds how far the beginnings of a context are followed.
const maxParents = 64

// touchParents makes the beginnings of a context as new as itself: without their
// objects its own is of no use.
func (d *Directory) touchParents(key prefix.Key) {
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

// RecordStored says that a store has sealed an object with the last blocks of the
// chain of a team's context; parent is the key before them, or the zero key at the
// prompt's start.
func (d *Directory) RecordStored(key, parent prefix.Key, blocks int, team uint16, o Object) {
	c := d.context(key, blocks)
	d.setObject(c, Object{})
	c.team = team
	d.setObject(c, o)
	c.parent = parent
}

// RecordEviction says that an engine no longer has the block of a key.
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

// DropUpstream drops every hint to an engine, as after lost cache events.
func (d *Directory) DropUpstream(upstream int) {
	for key := range d.contexts {
		d.RecordEviction(key, upstream)
	}
}

// DropObject drops the hint to an object that a store has refused.
func (d *Directory) DropObject(key prefix.Key) {
	c, ok := d.contexts[key]
	if ok {
		d.setObject(c, Object{})
	}
}

// DropStore drops every hint to one incarnation of a store.
func (d *Directory) DropStore(store, incarnation uint16) {
	for _, c := range d.contexts {
		if c.object.Store == store && c.object.Incarnation == incarnation {
			d.setObject(c, Object{})
		}
	}
}

// Stored returns the object kept for a key.
func (d *Directory) Stored(key prefix.Key) (Object, bool) {
	c, ok := d.contexts[key]
	if !ok || c.object.Store == 0 {
		return Object{}, false
	}
	return c.object, true
}

// context returns the context of a key as the newest one, and makes room for it.
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

// TakeEvicted returns, once, the objects of contexts that gave way to others: nobody else
// knows of them, so they are to be freed.
func (d *Directory) TakeEvicted() []Object {
	out := d.dropped
	d.dropped = nil
	return out
}

func (d *Directory) evict() {
	c := d.contexts[d.oldest]
	key := d.oldest
	if c.object.Store != 0 {
		d.dropped = append(d.dropped, c.object)
		d.setObject(c, Object{})
	}
	d.unlink(c)
	delete(d.contexts, key)
}

func (d *Directory) link(key prefix.Key, c *context) {
	d.turns++
	c.turn = d.turns
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
