package fleet

import (
	"iter"
	"math"
)

// answerBytes is about how much of what a watcher lacks one answer holds. The answers of 8
// control instances at once take 0.42 s on an entry's link of 10 Mbit/s, a fifth of
// pollTimeout; what comes later is thrown away and asked for again.
const answerBytes = 64 << 10

// progress is how far a watcher was told of numbered changes: all those up to change, but
// none up to backlog. News goes before the backlog, of which the newest goes first, so that a
// watcher with much to learn hears at once of what changes meanwhile. What is in the backlog
// and changes is news.
type progress struct{ change, backlog uint64 }

// anew is the progress of a watcher that knows nothing, while last is the newest change.
func anew(last uint64) progress { return progress{change: last, backlog: last} }

// page counts what goes into one answer.
type page struct {
	// left is how many bytes may still be added; the last item may take more.
	left int
	// more is true once something had to be left out.
	more bool
}

// newPage returns an empty page, which has no bound for a watcher that can't ask for the rest.
func newPage(bounded bool) *page {
	if bounded {
		return &page{left: answerBytes}
	}
	return &page{left: math.MaxInt}
}

// addNews adds changes behind a mark in their order, with add, which returns their bytes. It
// returns the mark behind them; last is the newest change of all.
func addNews[K any](p *page, changes iter.Seq2[uint64, K], mark, last uint64, add func(K) int) uint64 {
	for number, item := range changes {
		if p.left <= 0 {
			p.more = true
			return mark
		}
		p.left -= add(item)
		mark = number
	}
	return last
}

// addBacklog adds changes of the backlog, the newest first, and returns what is left of it.
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
