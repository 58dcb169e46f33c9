// Package changes keeps the changes of many items in their order, so that whoever lacks some
// of them can be told a bounded number at a time without a look at all items.
package changes

import (
	"iter"
	"slices"
	"sort"
)

// minStale is how many outdated changes are kept at least, so that a log of few items is not
// tidied at each change.
const minStale = 1024

// Log numbers changes of items and lists them in either order. Only the newest change of an
// item counts. It is not safe for concurrent use.
type Log[K any] struct {
	// Newest returns the number of an item's newest change, and 0 once the item is forgotten.
	Newest func(K) uint64

	last uint64
	// changes are ordered by their numbers; some are outdated, at most as many as are not,
	// and minStale, when they were tidied last.
	changes []change[K]
	// tidyAt is the length at which outdated changes are dropped.
	tidyAt int
}

type change[K any] struct {
	number uint64
	item   K
}

// Last returns the number of the newest change.
func (l *Log[K]) Last() uint64 { return l.last }

// Skip numbers a change that is not listed.
func (l *Log[K]) Skip() uint64 {
	l.last++
	return l.last
}

// Add numbers a change of an item.
func (l *Log[K]) Add(item K) uint64 {
	if len(l.changes) >= max(l.tidyAt, minStale) {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
		l.tidyAt = 2*len(l.changes) + minStale
	}
	l.last++
	l.changes = append(l.changes, change[K]{l.last, item})
	return l.last
}

func (l *Log[K]) outdated(c change[K]) bool { return l.Newest(c.item) != c.number }

// After lists the changes behind a number, the oldest first.
func (l *Log[K]) After(number uint64) iter.Seq2[uint64, K] {
	return func(yield func(uint64, K) bool) {
		for _, c := range l.changes[l.upTo(number):] {
			if !l.outdated(c) && !yield(c.number, c.item) {
				return
			}
		}
	}
}

// UpTo lists the changes up to a number, the newest first.
func (l *Log[K]) UpTo(number uint64) iter.Seq2[uint64, K] {
	return func(yield func(uint64, K) bool) {
		for i := l.upTo(number) - 1; i >= 0; i-- {
			c := l.changes[i]
			if !l.outdated(c) && !yield(c.number, c.item) {
				return
			}
		}
	}
}

// upTo returns how many changes have at most a number.
func (l *Log[K]) upTo(number uint64) int {
	return sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > number })
}
