package exchange

import (
	"math"
	"strconv"
	"time"
)

// maxRest limits the rest that an instance can request.
const maxRest = 24 * time.Hour

// Condition is the state that an instance reports with a reply. The zero value reports nothing.
type Condition struct {
	// ColdFor is the remaining duration of the instance's cold phase, or 0.
	ColdFor time.Duration
	// RestFor is the duration for which the instance asks this entry to send no requests, or 0.
	RestFor time.Duration
	// Leaving reports that the instance is shutting down and asks every entry to send no requests.
	Leaving bool
	// Limit is the rate of requests that the instance accepts from all entries together.
	Limit Limit
	// RefusalLimit is the rate of requests that the instance can refuse for lack of capacity, from all
	// entries together; at a higher rate it stops.
	RefusalLimit Limit
}

// Limit is one of NoLimit, RateLimit or UnreadableLimit, or nil if it is unknown.
type Limit interface{ limit() }

// NoLimit means that the instance reports no limit.
type NoLimit struct{}

// RateLimit is a limit that the instance reports.
type RateLimit struct {
	// PerSecond is the number of requests per second, finite and at least 0.
	PerSecond float64
}

// UnreadableLimit means that the instance reports a limit that is not a valid number of requests.
type UnreadableLimit struct{ Text string }

func (NoLimit) limit()         {}
func (RateLimit) limit()       {}
func (UnreadableLimit) limit() {}

// ConditionOf returns the condition that the instance reported with a reply.
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

// ParseRest parses the number of seconds, possibly fractional, for which an instance asks for no
// requests. It returns 0 for invalid text and at most 24 hours.
func ParseRest(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
