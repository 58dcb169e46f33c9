package engine

import (
	"container/list"
	"sync"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// maxEvents bounds the event log. Older events are discarded, which a reader
// that has fallen behind sees as a gap in the sequence numbers.
const maxEvents = 4096

// cache is a bounded prefix cache with least-recently-used eviction and a log of
// its changes.
type cache struct {
	mu       sync.Mutex
	capacity int
	lru      *list.List
	blocks   map[prefix.Key]*list.Element
	events   []protocol.CacheEvent
	sequence uint64
	// gapEvery returns n if each n-th event is to be omitted from the log, and 0
	// if none is.
	gapEvery func() int
}

func newCache(capacity int, gapEvery func() int) *cache {
	return &cache{capacity: capacity, lru: list.New(), blocks: map[prefix.Key]*list.Element{}, gapEvery: gapEvery}
}

// match returns how many leading keys are cached, and marks them as recently
// used, the first key most recently. Later blocks of a chain are thus evicted
// first, because a block cannot be used without those before it.
func (c *cache) match(keys []prefix.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks[keys[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[keys[i]])
	}
	return n
}

// add inserts keys and evicts the least recently used blocks above the capacity.
func (c *cache) add(keys []prefix.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.blocks[keys[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[keys[i]] = c.lru.PushFront(keys[i])
		c.recordEvent(keys[i], false)
	}
	for c.lru.Len() > c.capacity {
		evicted := c.lru.Remove(c.lru.Back()).(prefix.Key)
		delete(c.blocks, evicted)
		c.recordEvent(evicted, true)
	}
}

// clear removes all blocks and logs their removal, as after a change of the
// weight version.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.blocks {
		c.recordEvent(k, true)
	}
	c.blocks = map[prefix.Key]*list.Element{}
	c.lru.Init()
}

func (c *cache) recordEvent(k prefix.Key, removed bool) {
	c.sequence++
	n := c.gapEvery()
	if n > 0 && c.sequence%uint64(n) == 0 {
		return
	}
	c.events = append(c.events, protocol.CacheEvent{Sequence: c.sequence, Key: k.String(), Removed: removed})
	if len(c.events) > maxEvents {
		c.events = append([]protocol.CacheEvent(nil), c.events[1:]...)
	}
}

// eventsAfter returns the logged events with a sequence number above sequence.
func (c *cache) eventsAfter(sequence uint64) []protocol.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []protocol.CacheEvent
	for _, e := range c.events {
		if e.Sequence > sequence {
			out = append(out, e)
		}
	}
	return out
}
