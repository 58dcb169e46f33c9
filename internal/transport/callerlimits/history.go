package callerlimits

import (
	"slices"
	"time"
)

// maxFormer bounds the former values that are kept; beyond that, the two oldest become one.
const maxFormer = 64

// never is longer than any time that is waited for.
const never = 100 * 365 * 24 * time.Hour

// values is what holds under one configuration.
type values struct {
	// newTimeout limits the time until the first byte on a new connection, and bodyTimeout the time without a byte of
	// a body; never stands for no limit.
	idleTimeout, newTimeout, headerTimeout, bodyTimeout time.Duration
	headerBytes                                         int
}

// most returns the larger of each value.
func most(a, b values) values {
	return values{
		idleTimeout:   max(a.idleTimeout, b.idleTimeout),
		newTimeout:    max(a.newTimeout, b.newTimeout),
		headerTimeout: max(a.headerTimeout, b.headerTimeout),
		bodyTimeout:   max(a.bodyTimeout, b.bodyTimeout),
		headerBytes:   max(a.headerBytes, b.headerBytes),
	}
}

// timeout returns the value of a limit that is a time.
func (v values) timeout(l limit) time.Duration {
	switch l {
	case idleTimeout:
		return v.idleTimeout
	case newTimeout:
		return v.newTimeout
	case headerTimeout:
		return v.headerTimeout
	case bodyTimeout:
		return v.bodyTimeout
	case headerBytes:
	}
	panic("callerlimits: not a time: " + string(l))
}

// former is values that held until a time.
type former struct {
	values values
	until  time.Time
}

// history is the values in force and those that were, as far as connections may still depend on them.
type history struct {
	current values
	// former is in the order of until.
	former []former
}

// change takes up other values in force now. hold is for how long callers may act by values that were replaced.
func (h *history) change(now time.Time, current values, hold time.Duration) {
	h.former = append(h.former, former{h.current, now})
	h.current = current
	longest := h.since(time.Time{}).idleTimeout + hold
	h.former = slices.DeleteFunc(h.former, func(f former) bool { return now.Sub(f.until) > longest })
	if len(h.former) > maxFormer {
		h.former[1].values = most(h.former[0].values, h.former[1].values)
		h.former = slices.Delete(h.former, 0, 1)
	}
}

// since returns the largest values that were in force at t or later.
func (h *history) since(t time.Time) values {
	out := h.current
	for _, f := range slices.Backward(h.former) {
		if f.until.Before(t) {
			break
		}
		out = most(out, f.values)
	}
	return out
}
