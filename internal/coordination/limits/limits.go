// Package limits shares a team's declared rate of tokens among the entries of a region.
//
// One entry, the owner of the team's part of the directory, lends tokens from a bucket
// that fills at the declared rate; the others borrow some more than they need now, and
// spend them until the loan ends. Whoever cannot reach the owner falls back to a fair
// part of the rate that is its own.
//
// What all entries admit together exceeds the declared rate by one bucket, which holds a
// second's tokens or the largest request; by one more whenever the owner changes; and, for
// as long as entries that cannot reach the owner take their own part beside it, by that
// part. The package is pure and not safe for concurrent use.
package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loanTime is how long borrowed tokens may be spent.
	loanTime = 2 * time.Second
	// loanRequests is how many requests like the present one are borrowed for.
	loanRequests = 8
	// noRateWait is when a caller comes back while there is nothing to lend: the rate is 0
	// only until cut-off failure domains are heard again.
	noRateWait = time.Minute
	// loanShare is the part of what the bucket holds that one loan may take beyond the
	// present request.
	loanShare = 0.25
)

// bucket fills at a rate, in tokens a second, up to the largest request or a second's
// tokens.
type bucket struct{ limiter *rate.Limiter }

func (b *bucket) set(perSecond, cost float64, now time.Time) {
	burst := max(ceil(perSecond), ceil(cost))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		// The limiter counts from its first use.
		b.limiter.AllowN(now, 0)
		return
	}
	if burst > b.limiter.Burst() {
		b.limiter.SetBurstAt(now, burst)
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
}

// wait is how long it takes until the bucket holds enough for a request.
func (b *bucket) wait(cost float64, now time.Time) time.Duration {
	if b.limiter.Limit() <= 0 {
		return noRateWait
	}
	missing := float64(ceil(cost)) - b.limiter.TokensAt(now)
	return time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
}

func ceil(tokens float64) int { return int(math.Ceil(tokens)) }

// Loan is the answer to a request for tokens. It is a plain value.
type Loan struct {
	// Tokens may be spent; 0 means that the request must not run.
	Tokens float64
	// RetryAfter is when there will be enough for the request, if nobody else asks.
	RetryAfter time.Duration
}

// Lender is what a team's owner keeps. Make one with NewLender.
type Lender struct{ buckets map[string]*bucket }

// NewLender returns a lender whose buckets are full.
func NewLender() *Lender { return &Lender{buckets: map[string]*bucket{}} }

// Lend lends at least cost tokens of a team's rate, in tokens a second, or none.
func (l *Lender) Lend(team string, perSecond, cost float64, now time.Time) Loan {
	b, ok := l.buckets[team]
	if !ok {
		b = &bucket{}
		l.buckets[team] = b
	}
	b.set(perSecond, cost, now)
	more := min(cost*(loanRequests-1), loanShare*(b.limiter.TokensAt(now)-cost))
	lent := ceil(cost + max(more, 0))
	if !b.limiter.AllowN(now, lent) {
		return Loan{RetryAfter: b.wait(cost, now)}
	}
	return Loan{Tokens: float64(lent)}
}

// credit is what one entry has of a team's tokens.
type credit struct {
	// tokens were borrowed and may be spent until until.
	tokens float64
	until  time.Time
	own    bucket
}

// Borrower is what an entry keeps. Make one with NewBorrower.
type Borrower struct{ credits map[string]*credit }

// NewBorrower returns a borrower that has borrowed nothing.
func NewBorrower() *Borrower { return &Borrower{credits: map[string]*credit{}} }

func (b *Borrower) credit(team string) *credit {
	c, ok := b.credits[team]
	if !ok {
		c = &credit{}
		b.credits[team] = c
	}
	return c
}

// Take spends borrowed tokens on a request; it reports false when there are not enough.
func (b *Borrower) Take(team string, cost float64, now time.Time) bool {
	c := b.credit(team)
	if now.After(c.until) {
		c.tokens = 0
	}
	if c.tokens < cost {
		return false
	}
	c.tokens -= cost
	return true
}

// AddLoan adds a loan.
func (b *Borrower) AddLoan(team string, l Loan, now time.Time) {
	if l.Tokens <= 0 {
		return
	}
	c := b.credit(team)
	if now.After(c.until) {
		c.tokens = 0
	}
	c.tokens += l.Tokens
	c.until = now.Add(loanTime)
}

// TakeLocal spends this entry's own part of the rate, while the owner is out of reach.
func (b *Borrower) TakeLocal(team string, perSecond, cost float64, now time.Time) Loan {
	c := b.credit(team)
	c.own.set(perSecond, cost, now)
	if !c.own.limiter.AllowN(now, ceil(cost)) {
		return Loan{RetryAfter: c.own.wait(cost, now)}
	}
	return Loan{Tokens: cost}
}
