// Package buffering decides how much of the answers that callers have not taken yet a process holds. Engines
// cut off answers that stay unread, so answers are read at the engines' pace, as far as memory allows.
//
// It holds no clock, socket or goroutine: callers pass the time, and carry out the verdicts.
package buffering

import (
	"cmp"
	"slices"
	"time"
)

const (
	// StallTimeout is how long a caller must have taken nothing before its answer may be broken off.
	StallTimeout = 10 * time.Second
	// checkInterval is the shortest time between two searches for stalled answers, each of which visits
	// all answers.
	checkInterval = time.Second
	// answerShare is the part of the limit that one answer may hold once half of the limit is used. It is
	// at least minAnswerBytes.
	answerShare    = 16
	minAnswerBytes = 64 << 10
	// freeShare bounds what one answer may hold by a part of what is free: as room becomes scarce, the answers
	// that hold most are paused first.
	freeShare = 4
	// reserveShare is the part of the limit that is left to answers that hold nothing yet, of which each may
	// take reserveBytes, so that many slow answers leave room for those whose callers keep up.
	reserveShare = 16
	reserveBytes = 4 << 10
)

// ID identifies an answer within a Budget.
type ID uint64

// Verdict is one of Hold and Pause.
type Verdict interface{ verdict() }

// Hold means that the bytes were taken from the budget.
type Hold struct{}

// Pause means that there is no room: the bytes were not taken, and no more of the answer should be read until
// some of it was delivered or others need less.
type Pause struct {
	// BreakOff lists the answers to break off so that others can go on. Each is named once.
	BreakOff []ID
}

func (Hold) verdict()  {}
func (Pause) verdict() {}

// Budget accounts for the bytes of undelivered answers. It is not safe for concurrent use.
type Budget struct {
	limit int
	// used is the sum of the bytes that answers hold. It never exceeds limit.
	used int
	// answers holds the answers with undelivered bytes.
	answers map[ID]*answer
	// checkedAt is when stalled answers were last searched for.
	checkedAt time.Time
}

// answer is an answer that holds at least one byte.
type answer struct {
	held, urgency int
	// progressAt is when the caller last took a part of it, or when it began to hold bytes.
	progressAt time.Time
	brokenOff  bool
}

// New returns a budget of limit bytes.
func New(limit int) *Budget { return &Budget{limit: limit, answers: map[ID]*answer{}} }

// Used returns the bytes held, and Answers the number of answers that hold any.
func (b *Budget) Used() int { return b.used }

// Answers returns the number of answers that hold bytes.
func (b *Budget) Answers() int { return len(b.answers) }

// Take requests to hold more bytes of an answer; urgency 0 is the most urgent.
func (b *Budget) Take(id ID, urgency, bytes int, now time.Time) Verdict {
	a := b.answers[id]
	held := 0
	if a != nil {
		held = a.held
	}
	fits := held+bytes <= b.answerLimit() || held == 0 && bytes <= reserveBytes
	if b.used+bytes > b.limit || !fits {
		return Pause{BreakOff: b.stalled(now)}
	}
	if a == nil {
		a = &answer{urgency: urgency, progressAt: now}
		b.answers[id] = a
	}
	a.held += bytes
	b.used += bytes
	return Hold{}
}

// answerLimit returns how many bytes one answer may hold now.
func (b *Budget) answerLimit() int {
	if b.used < b.limit/2 {
		return b.limit
	}
	return min(max(b.limit/answerShare, minAnswerBytes), (b.limit-b.limit/reserveShare-b.used)/freeShare)
}

// Delivered records that the caller took bytes that the answer held.
func (b *Budget) Delivered(id ID, bytes int, now time.Time) {
	a := b.answers[id]
	if a == nil {
		return
	}
	if bytes > a.held {
		panic("buffering: more bytes delivered than held")
	}
	a.held -= bytes
	b.used -= bytes
	a.progressAt = now
	if a.held == 0 {
		delete(b.answers, id)
	}
}

// End releases what an answer holds. It may be called more than once.
func (b *Budget) End(id ID) {
	if a := b.answers[id]; a != nil {
		b.used -= a.held
		delete(b.answers, id)
	}
}

// stalled returns the stalled answers to break off: those with the most bytes, weighted by how little urgent
// they are, until a quarter of the budget would be free. There are none while that much is free.
func (b *Budget) stalled(now time.Time) []ID {
	enough := b.limit - b.limit/freeShare
	if b.used <= enough || now.Sub(b.checkedAt) < checkInterval {
		return nil
	}
	b.checkedAt = now
	var ids []ID
	for id, a := range b.answers {
		if !a.brokenOff && now.Sub(a.progressAt) >= StallTimeout {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y ID) int {
		return cmp.Or(cmp.Compare(b.answers[y].weight(), b.answers[x].weight()), cmp.Compare(x, y))
	})
	used := b.used
	for i, id := range ids {
		if used <= enough {
			return ids[:i]
		}
		b.answers[id].brokenOff = true
		used -= b.answers[id].held
	}
	return ids
}

// weight orders stalled answers: larger and less urgent ones have more.
func (a *answer) weight() int { return a.held * (1 + a.urgency) }
