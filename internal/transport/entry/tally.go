package entry

import "sync"

// tally counts what is under way, until it is closed. A sync.WaitGroup does not serve
// here: work may begin just as it is waited for with nothing under way, and then either
// must be waited for or must not begin. The zero value is open and counts nothing.
type tally struct {
	mu sync.Mutex
	// count is what is under way; once closed is set it only falls.
	count  int
	closed bool
	// idle is closed when closed is set and count is 0; it is made by close.
	idle chan struct{}
}

// begin counts one more; it reports false, and counts nothing, once closed.
func (t *tally) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.count++
	return true
}

// end ends what begin allowed.
func (t *tally) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.closed && t.count == 0 {
		close(t.idle)
	}
}

// close lets nothing more begin, and waits for what is under way. It is called once.
func (t *tally) close() {
	t.mu.Lock()
	t.closed = true
	t.idle = make(chan struct{})
	if t.count == 0 {
		close(t.idle)
	}
	t.mu.Unlock()
	<-t.idle
}
