package cli

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedBytes bounds the log lines that wait: a reader that stalls for a second at a
	// thousand lines a second loses nothing.
	queuedBytes = 256 << 10
	// flushInterval joins lines into one write.
	flushInterval = 100 * time.Millisecond
)

// logQueue takes log lines without ever blocking and writes them in batches. What does not
// fit is dropped and counted. Make one with newLogQueue.
type logQueue struct {
	w    io.Writer
	done chan struct{}
	// ended is closed when the last line is written.
	ended chan struct{}
	// pending holds a token while lines are waiting.
	pending chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	waiting bytes.Buffer
	dropped int
}

// newLogQueue starts the goroutine that writes; Close ends it.
func newLogQueue(w io.Writer) *logQueue {
	q := &logQueue{w: w, pending: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(q.ended)
		for q.awaitLines() {
			q.flush()
		}
		q.flush()
	}()
	return q
}

// awaitLines returns flushInterval after there are lines, or false once the queue is closed. A process
// that logs nothing is not woken.
func (q *logQueue) awaitLines() bool {
	select {
	case <-q.pending:
	case <-q.done:
		return false
	}
	select {
	case <-time.After(flushInterval):
		return true
	case <-q.done:
		return false
	}
}

// Write queues one line.
func (q *logQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.pending <- struct{}{}:
	default:
	}
	if q.waiting.Len()+len(line) > queuedBytes {
		q.dropped++
		return len(line), nil
	}
	return q.waiting.Write(line)
}

func (q *logQueue) flush() {
	q.mu.Lock()
	batch := bytes.Clone(q.waiting.Bytes())
	q.waiting.Reset()
	if q.dropped > 0 {
		batch = fmt.Appendf(batch, "time=%s level=warn event=log_lines_dropped count=%d\n", time.Now().Format(timeFormat), q.dropped)
		q.dropped = 0
	}
	q.mu.Unlock()
	if len(batch) > 0 {
		// There is nowhere else to say that the log cannot be written.
		_, _ = q.w.Write(batch)
	}
}

// Close writes what waits.
func (q *logQueue) Close() {
	close(q.done)
	<-q.ended
}
