package engine

import (
	"net/http"
	"strconv"

	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
)

// ticket is a place in the queue for a slot.
type ticket struct {
	priority int
	ready    chan struct{}
}

// enter waits for a slot; it reports false when the queue is full or the caller
// has gone.
func (e *Engine) enter(r *http.Request) bool {
	priority, _ := strconv.Atoi(r.Header.Get(protocol.HeaderPriority))
	t := &ticket{priority: priority, ready: make(chan struct{})}
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
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority > priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = t
	e.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-r.Context().Done():
		e.withdraw(t)
		return false
	}
}

// withdraw takes a ticket from the queue, or gives its slot on.
func (e *Engine) withdraw(t *ticket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	e.release()
}

// release gives a slot to the next in the queue; mu must be held.
func (e *Engine) release() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
