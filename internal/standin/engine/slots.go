package engine

import (
	"net/http"
	"strconv"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
)

// waiter is a request in the queue for a slot; ready is closed when it gets one.
type waiter struct {
	priority int
	ready    chan struct{}
}

// acquireSlot waits for a slot. It reports false if the queue is full or the
// request is cancelled.
func (e *Engine) acquireSlot(r *http.Request) bool {
	priority, _ := strconv.Atoi(r.Header.Get(protocol.HeaderPriority))
	t := &waiter{priority: priority, ready: make(chan struct{})}
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	if len(e.waiting) >= e.options.Queue {
		e.mu.Unlock()
		return false
	}
	index := len(e.waiting)
	for index > 0 && e.waiting[index-1].priority > priority {
		index--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[index+1:], e.waiting[index:])
	e.waiting[index] = t
	e.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-r.Context().Done():
		e.cancelWaiter(t)
		return false
	}
}

// cancelWaiter removes a waiter from the queue, or releases its slot if it has been
// given one meanwhile.
func (e *Engine) cancelWaiter(t *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	e.releaseSlot()
}

// releaseSlot passes a slot to the first waiter, or frees it if none waits. The
// caller must hold e.mu.
func (e *Engine) releaseSlot() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
