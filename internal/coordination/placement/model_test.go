package placement_test

import (
	"container/list"
)

// caching is an engine's or a store's memory: whole contexts by last use.
type caching struct {
	capacity, used int
	order          *list.List
	at             map[int]*list.Element
}

type cached struct{ context, blocks int }

func newCaching(capacity int) *caching {
	return &caching{capacity: capacity, order: list.New(), at: map[int]*list.Element{}}
}

func (c *caching) blocks(context int) int {
	if e, ok := c.at[context]; ok {
		return e.Value.(*cached).blocks
	}
	return 0
}

// put makes a context the newest with a number of blocks, and returns who went.
func (c *caching) put(context, blocks int) (evicted []int) {
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

func (c *caching) clear() {
	c.order.Init()
	c.at = map[int]*list.Element{}
	c.used = 0
}

// machine is an engine of the model: slots, and one reader of prompts.
type machine struct {
	cache *caching
	// free holds when each slot is free again.
	free        []float64
	prefillFree float64
}

// start runs a prompt that is ready at a time, and returns when its first token
// and its end come.
func (m *machine) start(ready, prefill, decode float64) (first, end float64) {
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

func (m *machine) occupied(now float64) int {
	n := 0
	for _, t := range m.free {
		if t > now {
			n++
		}
	}
	return n
}

// keeper is a store of the model behind one link.
type keeper struct {
	cache    *caching
	linkFree float64
}
