// Package inbound limits what this process holds of the bytes that others send it. Each reader has a limit of its own, and
// all bodies that are being read share a budget.
package inbound

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

const (
	// MaxHeadBytes limits the head of a response, including the informational responses before it.
	MaxHeadBytes = 64 << 10
	// MaxDrainBytes is how much is read of a body that is not needed, so that its connection can be used again.
	MaxDrainBytes = 64 << 10
	// freeBytes is how much of each body is not counted.
	freeBytes = 4 << 10
	// firstBytes and maxPieceBytes are the sizes of the first and of the largest piece in which a body is read.
	firstBytes    = 512
	maxPieceBytes = 256 << 10
)

// ErrGivenUp reports that a body was given up because it was the largest when the budget was used up.
var ErrGivenUp = errors.New("given up as the largest when the memory for inbound bodies was used up")

// Budget is the memory for all bodies that are being read. When it is used up, the largest body is given up, so that
// a sender without end does not displace the others. Use NewBudget to make one. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// The fields below are guarded by mu. used is the sum of the holds' bytes, and givenUp counts the bodies that were
	// given up.
	used    int64
	holds   map[*Hold]bool
	givenUp uint64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, holds: map[*Hold]bool{}} }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is the share of one body in a budget.
type Hold struct {
	budget *Budget
	// giveUp ends the reading of the body.
	giveUp func()
	// The fields below are guarded by the budget's mu. ended is true once the share has none of the budget any more, and
	// givenUp if its body was given up.
	bytes          int64
	ended, givenUp bool
}

// Hold returns a share without bytes. giveUp is called, from any goroutine, when the body is given up. A nil budget
// has no limit.
func (b *Budget) Hold(giveUp func()) *Hold { return &Hold{budget: b, giveUp: giveUp} }

// Grow adds bytes to the share. It returns ErrGivenUp if the body was given up.
func (h *Hold) Grow(n int) error {
	if h == nil || h.budget == nil {
		return nil
	}
	given, err := h.budget.grow(h, int64(n))
	for _, other := range given {
		other.giveUp()
	}
	return err
}

// grow adds bytes to a share, and returns the shares that are given up for it.
func (b *Budget) grow(h *Hold, n int64) (given []*Hold, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return nil, ErrGivenUp
	}
	h.bytes += n
	b.used += n
	b.holds[h] = true
	for b.used > b.limit {
		largest := h
		for other := range b.holds {
			if other.bytes > largest.bytes {
				largest = other
			}
		}
		b.end(largest)
		largest.givenUp = true
		b.givenUp++
		given = append(given, largest)
	}
	if h.ended {
		return given, ErrGivenUp
	}
	return given, nil
}

// end removes a share; mu must be held.
func (b *Budget) end(h *Hold) {
	if h.ended {
		return
	}
	h.ended = true
	b.used -= h.bytes
	delete(b.holds, h)
}

// GivenUp reports whether the body was given up.
func (h *Hold) GivenUp() bool {
	if h == nil || h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.givenUp
}

// Release gives the share back. It may be called more than once.
func (h *Hold) Release() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.end(h)
}

// ReadAll reads a body to its end, which is at most limit bytes, and counts them in h. A longer one is a
// *exchange.LimitError.
func ReadAll(r io.Reader, limit int, h *Hold) ([]byte, error) {
	// The body is joined only at its end: a buffer that grows would leave as much again to the garbage collector.
	var full [][]byte
	last := make([]byte, 0, firstBytes)
	read, room := 0, firstBytes
	for {
		n, err := r.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		read += n
		switch {
		case read > limit:
			return nil, &exchange.LimitError{Part: "body", Limit: limit}
		case err == io.EOF:
			return join(full, last, read), nil
		case err != nil:
			return nil, err
		case len(last) < cap(last):
			continue
		}
		size := min(2*cap(last), maxPieceBytes)
		room += size
		if room > freeBytes {
			err = h.Grow(size)
			if err != nil {
				return nil, err
			}
		}
		full = append(full, last)
		last = make([]byte, 0, size)
	}
}

// join returns the pieces of a body as one.
func join(full [][]byte, last []byte, size int) []byte {
	if len(full) == 0 {
		return last
	}
	out := make([]byte, 0, size)
	for _, piece := range full {
		out = append(out, piece...)
	}
	return append(out, last...)
}
