// Package limits shares a team's declared rate of tokens among the entries of a region.
//
// One entry, the owner of the team's part of the directory, lends tokens from a token bucket that
// is refilled at the declared rate. The other entries borrow somewhat more than they need at once,
// and spend the tokens until the loan expires. An entry that cannot reach the owner falls back to a
// local bucket with its fair share of the rate.
//
// What all entries admit together exceeds the declared rate by one bucket, which holds a second's
// tokens or the largest request; by one more bucket whenever the owner changes; and, while entries
// that cannot reach the owner use their local shares, by those shares. The package does no I/O and
// is not safe for concurrent use.
package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loanTTL is how long borrowed tokens may be spent.
	loanTTL = 2 * time.Second
	// loanRequests is how many requests of the present size a loan is meant to cover.
	loanRequests = 8
	// zeroRateRetryAfter is the retry delay while there is nothing to lend: the rate is 0 only
	// until failure domains that were cut off can be reached again.
	zeroRateRetryAfter = time.Minute
	// maxLoanShare is the share of the bucket's tokens that one loan may take beyond the present
	// request.
	maxLoanShare = 0.25
)

// bucket is a token bucket with a rate in tokens per second. It holds a second's tokens or the
// largest request, whichever is more.
type bucket struct{ limiter *rate.Limiter }

func (b *bucket) set(perSecond, cost float64, now time.Time) {
	burst := max(ceil(perSecond), ceil(cost))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		// The limiter measures time from its first use.
		b.limiter.AllowN(now, 0)
		return
	}
	if burst > b.limiter.Burst() {
		b.limiter.SetBurstAt(now, burst)
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
}

// wait returns how long it takes until the bucket holds enough tokens for a request.
func (b *bucket) wait(cost float64, now time.Time) time.Duration {
	if b.limiter.Limit() <= 0 {
		return zeroRateRetryAfter
	}
	missing := float64(ceil(cost)) - b.limiter.TokensAt(now)
	return time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
}

func ceil(tokens float64) int { return int(math.Ceil(tokens)) }

// Loan is the answer to a request for tokens.
type Loan struct {
	// Tokens is the number of tokens that may be spent; 0 means that the request must not run.
	Tokens float64
	// RetryAfter is when there will be enough tokens for the request, if no other request takes
	// them.
	RetryAfter time.Duration
}

// Lender holds the buckets of the teams whose rates an entry owns. Use NewLender to make one.
type Lender struct{ buckets map[string]*bucket }

// NewLender returns a Lender whose buckets are full.
func NewLender() *Lender { return &Lender{buckets: map[string]*bucket{}} }

// Lend lends at least cost tokens of a team's rate, which is in tokens per second, or none.
func (l *Lender) Lend(team string, perSecond, cost float64, now time.Time) Loan {
	b, ok := l.buckets[team]
	if !ok {
		b = &bucket{}
		l.buckets[team] = b
	}
	b.set(perSecond, cost, now)
	extra := min(cost*(loanRequests-1), maxLoanShare*(b.limiter.TokensAt(now)-cost))
	lent := ceil(cost + max(extra, 0))
	if !b.limiter.AllowN(now, lent) {
		return Loan{RetryAfter: b.wait(cost, now)}
	}
	return Loan{Tokens: float64(lent)}
}

// credit holds the tokens of a team that one entry may spend.
type credit struct {
	// tokens were borrowed and may be spent until expires.
	tokens  float64
	expires time.Time
	local   bucket
}

// Borrower holds the tokens that an entry may spend. Use NewBorrower to make one.
type Borrower struct{ credits map[string]*credit }

// NewBorrower returns a Borrower without loans.
func NewBorrower() *Borrower { return &Borrower{credits: map[string]*credit{}} }

func (b *Borrower) credit(team string) *credit {
	c, ok := b.credits[team]
	if !ok {
		c = &credit{}
		b.credits[team] = c
	}
	return c
}

// Take spends borrowed tokens on a request; it returns false when there are not enough.
func (b *Borrower) Take(team string, cost float64, now time.Time) bool {
	c := b.credit(team)
	if now.After(c.expires) {
		c.tokens = 0
	}
	if c.tokens < cost {
		return false
	}
	c.tokens -= cost
	return true
}

// AddLoan adds a loan to a team's tokens.
func (b *Borrower) AddLoan(team string, l Loan, now time.Time) {
	if l.Tokens <= 0 {
		return
	}
	c := b.credit(team)
	if now.After(c.expires) {
		c.tokens = 0
	}
	c.tokens += l.Tokens
	c.expires = now.Add(loanTTL)
}

// TakeLocal spends tokens of this entry's share of the rate, while the owner cannot be reached.
func (b *Borrower) TakeLocal(team string, perSecond, cost float64, now time.Time) Loan {
	c := b.credit(team)
	c.local.set(perSecond, cost, now)
	if !c.local.limiter.AllowN(now, ceil(cost)) {
		return Loan{RetryAfter: c.local.wait(cost, now)}
	}
	return Loan{Tokens: cost}
}
