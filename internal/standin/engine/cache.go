package engine

import (
	"container/list"
	"sync"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// maxKeptEvents bounds the events kept for late readers; older ones are lost,
// which readers see as a gap.
const maxKeptEvents = 4096

// cache is a bounded prefix cache with least recently used eviction.
type cache struct {
	mu       sync.Mutex
	capacity int
	order    *list.List
	blocks   map[prefix.Key]*list.Element
	events   []protocol.CacheEvent
	sequence uint64
	// gapEvery loses each n-th event; 0 loses none.
	gapEvery func() int
}

func newCache(capacity int, gapEvery func() int) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[prefix.Key]*list.Element{}, gapEvery: gapEvery}
}

// match returns how many leading keys are cached, and marks them as used. The
// later a block stands in its chain, the earlier it is evicted, because a block
// is of no use without those before it.
func (c *cache) match(keys []prefix.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks[keys[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[keys[i]])
	}
	return n
}

// add caches keys and evicts what no longer fits.
func (c *cache) add(keys []prefix.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.blocks[keys[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[keys[i]] = c.order.PushFront(keys[i])
		c.tell(keys[i], false)
	}
	for c.order.Len() > c.capacity {
		gone := c.order.Remove(c.order.Back()).(prefix.Key)
		delete(c.blocks, gone)
		c.tell(gone, true)
	}
}

// clear forgets everything, as after a change of weights.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.blocks {
		c.tell(k, true)
	}
	c.blocks = map[prefix.Key]*list.Element{}
	c.order.Init()
}

func (c *cache) tell(k prefix.Key, removed bool) {
	c.sequence++
	n := c.gapEvery()
	if n > 0 && c.sequence%uint64(n) == 0 {
		return
	}
	c.events = append(c.events, protocol.CacheEvent{Sequence: c.sequence, Key: k.String(), Removed: removed})
	if len(c.events) > maxKeptEvents {
		c.events = append([]protocol.CacheEvent(nil), c.events[1:]...)
	}
}

// after returns the kept events above a sequence number.
func (c *cache) after(sequence uint64) []protocol.CacheEvent {
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
