package fleet

import (
	"iter"
	"math"
)

// maxAnswerBytes is the approximate maximum size of one answer. The answers of 8 control instances
// at once take 0.42 s on an entry's link of 10 Mbit/s, a fifth of pollTimeout; an answer that comes
// after that is discarded and requested again.
const maxAnswerBytes = 64 << 10

// cursor is a poller's position in a sequence of numbered changes: it has received all changes up
// to change, but none up to backlog. New changes are sent before the backlog, and the backlog
// newest first, so that a poller that is catching up learns of new changes at once. An item in the
// backlog that changes becomes a new change.
type cursor struct{ change, backlog uint64 }

// resyncFrom returns the cursor of a poller that knows nothing, where last is the newest change.
func resyncFrom(last uint64) cursor { return cursor{change: last, backlog: last} }

// page tracks the size of one answer.
type page struct {
	// left is the number of bytes that may still be added. The last item may exceed it.
	left int
	// more is true if something had to be left out.
	more bool
}

// newPage returns an empty page. It is unlimited for a poller that cannot request the rest.
func newPage(bounded bool) *page {
	if bounded {
		return &page{left: maxAnswerBytes}
	}
	return &page{left: math.MaxInt}
}

// addChanges adds the changes after a position in their order, with add, which returns their size
// in bytes. It returns the new position; last is the newest change of all.
func addChanges[K any](p *page, changes iter.Seq2[uint64, K], position, last uint64, add func(K) int) uint64 {
	for number, item := range changes {
		if p.left <= 0 {
			p.more = true
			return position
		}
		p.left -= add(item)
		position = number
	}
	return last
}

// addBacklog adds the changes of the backlog, newest first, and returns the remaining backlog.
func addBacklog[K any](p *page, changes iter.Seq2[uint64, K], add func(K) int) uint64 {
	for number, item := range changes {
		if p.left <= 0 {
			p.more = true
			return number
		}
		p.left -= add(item)
	}
	return 0
}
