package exchange

import (
	"math"
	"strconv"
	"time"
)

// maxRest is the longest time for which an instance is left alone at its word.
const maxRest = 24 * time.Hour

// Condition is what an instance says of itself with an answer. Its zero value says nothing.
type Condition struct {
	// ColdFor is for how much longer the instance is cold, or 0.
	ColdFor time.Duration
	// RestFor is for how long the instance wants no request from this entry, or 0.
	RestFor time.Duration
	// Leaving says that the instance will end, and wants nothing more from anybody.
	Leaving bool
	// Limit is how many requests a second the instance takes from all entries together.
	Limit Limit
}

// Limit is one of NoLimit, RateLimit or UnreadableLimit, or nil when nothing is known.
type Limit interface{ limit() }

// NoLimit says that the instance names no limit.
type NoLimit struct{}

// RateLimit is a limit that the instance names.
type RateLimit struct {
	// PerSecond is a finite number of requests a second, at least 0.
	PerSecond float64
}

// UnreadableLimit says that the instance names a limit that is no number of requests.
type UnreadableLimit struct{ Text string }

func (NoLimit) limit()         {}
func (RateLimit) limit()       {}
func (UnreadableLimit) limit() {}

// ConditionOf returns what the instance says of itself with a reply.
func ConditionOf(reply Reply) Condition {
	switch reply := reply.(type) {
	case Whole:
		return reply.Head.Condition
	case Stream:
		return reply.Head.Condition
	case NotRun:
		return reply.Condition
	case Broken:
		return reply.Condition
	case Unreached:
		return Condition{}
	}
	panic("exchange: reply outside the sealed set")
}

// ParseRest reads for how many seconds an instance wants no request, fractions included; what does not
// read says nothing, and no rest is longer than a day.
func ParseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
