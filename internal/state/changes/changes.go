// Package changes logs which items changed, in order, so that a reader that has seen the changes
// up to some number can be sent the others in bounded batches, without a scan of all items.
package changes

import (
	"iter"
	"slices"
	"sort"
)

// minOutdated is the number of outdated changes that the log may always hold, so that a log of
// few items is not compacted at each change.
const minOutdated = 1024

// Log numbers the changes of items from 1, and lists them in ascending or descending order. Only
// an item's newest change is listed; its earlier ones are outdated. It is not safe for concurrent
// use.
type Log[K any] struct {
	// Newest returns the number of an item's newest change, or 0 if the item was deleted. The
	// owner of the log sets it.
	Newest func(K) uint64

	last uint64
	// changes is sorted by number. It may contain outdated changes, at most minOutdated more than
	// the number of changes left by the last compaction.
	changes []change[K]
	// compactAt is the length of changes at which Add drops the outdated ones; below minOutdated
	// it never does.
	compactAt int
}

type change[K any] struct {
	number uint64
	item   K
}

// Last returns the number of the newest change, including skipped numbers.
func (l *Log[K]) Last() uint64 { return l.last }

// Skip allocates and returns a number for a change that is not listed.
func (l *Log[K]) Skip() uint64 {
	l.last++
	return l.last
}

// Add logs a change of an item and returns its number.
func (l *Log[K]) Add(item K) uint64 {
	if len(l.changes) >= max(l.compactAt, minOutdated) {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
		l.compactAt = 2*len(l.changes) + minOutdated
	}
	l.last++
	l.changes = append(l.changes, change[K]{l.last, item})
	return l.last
}

func (l *Log[K]) outdated(c change[K]) bool { return l.Newest(c.item) != c.number }

// After iterates over the changes with a number above the given one, the oldest first.
func (l *Log[K]) After(number uint64) iter.Seq2[uint64, K] {
	return func(yield func(uint64, K) bool) {
		for _, c := range l.changes[l.countUpTo(number):] {
			if !l.outdated(c) && !yield(c.number, c.item) {
				return
			}
		}
	}
}

// UpTo iterates over the changes with at most the given number, the newest first.
func (l *Log[K]) UpTo(number uint64) iter.Seq2[uint64, K] {
	return func(yield func(uint64, K) bool) {
		for i := l.countUpTo(number) - 1; i >= 0; i-- {
			c := l.changes[i]
			if !l.outdated(c) && !yield(c.number, c.item) {
				return
			}
		}
	}
}

// countUpTo returns how many elements of changes have at most the given number.
func (l *Log[K]) countUpTo(number uint64) int {
	return sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > number })
}
