package entry

import "sync"

// drainGroup counts work in progress until it is drained. A sync.WaitGroup does not
// serve here: its Add must not race with Wait while the counter is zero. Work that
// begins just as the group is drained must either be waited for or not begin. The zero
// value is ready to use.
type drainGroup struct {
	mu sync.Mutex
	// count is the amount of work in progress; it only decreases once closed is set.
	count  int
	closed bool
	// idle is closed when closed is set and count is 0; drain creates it.
	idle chan struct{}
}

// tryAdd registers one unit of work; it reports false, and registers nothing, once the
// group is closed.
func (g *drainGroup) tryAdd() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// done marks one unit of work, for which tryAdd reported true, as finished.
func (g *drainGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.idle)
	}
}

// drain closes the group to new work and waits until all work in progress is done. It
// must be called only once.
func (g *drainGroup) drain() {
	g.mu.Lock()
	g.closed = true
	g.idle = make(chan struct{})
	if g.count == 0 {
		close(g.idle)
	}
	g.mu.Unlock()
	<-g.idle
}
