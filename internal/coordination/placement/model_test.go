package placement_test

import (
	"container/list"
)

// lruCache models the cache of an engine or a store: whole contexts, evicted by last use.
type lruCache struct {
	capacity, used int
	order          *list.List
	at             map[int]*list.Element
}

type cached struct{ context, blocks int }

func newLRUCache(capacity int) *lruCache {
	return &lruCache{capacity: capacity, order: list.New(), at: map[int]*list.Element{}}
}

func (c *lruCache) blocks(context int) int {
	if e, ok := c.at[context]; ok {
		return e.Value.(*cached).blocks
	}
	return 0
}

// put makes a context with a number of blocks the most recently used, and returns the evicted
// contexts.
func (c *lruCache) put(context, blocks int) (evicted []int) {
	if e, ok := c.at[context]; ok {
		c.used += blocks - e.Value.(*cached).blocks
		e.Value.(*cached).blocks = blocks
		c.order.MoveToFront(e)
	} else {
		c.at[context] = c.order.PushFront(&cached{context, blocks})
		c.used += blocks
	}
	for c.used > c.capacity {
		last := c.order.Back()
		gone := c.order.Remove(last).(*cached)
		delete(c.at, gone.context)
		c.used -= gone.blocks
		evicted = append(evicted, gone.context)
	}
	return evicted
}

func (c *lruCache) clear() {
	c.order.Init()
	c.at = map[int]*list.Element{}
	c.used = 0
}

// simEngine models an engine: slots, and a prefill that computes one prompt at a time.
type simEngine struct {
	cache *lruCache
	// free holds the time at which each slot becomes free.
	free        []float64
	prefillFree float64
}

// start runs a prompt that is ready at the given time, and returns the times of its first token and
// its end.
func (m *simEngine) start(ready, prefill, decode float64) (first, end float64) {
	slot := 0
	for i, t := range m.free {
		if t < m.free[slot] {
			slot = i
		}
	}
	begin := max(ready, m.free[slot], m.prefillFree)
	m.prefillFree = begin + prefill
	first = begin + prefill
	m.free[slot] = first + decode
	return first, m.free[slot]
}

func (m *simEngine) occupied(now float64) int {
	n := 0
	for _, t := range m.free {
		if t > now {
			n++
		}
	}
	return n
}

// simStore models a store behind one link.
type simStore struct {
	cache    *lruCache
	linkFree float64
}
