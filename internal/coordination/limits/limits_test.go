package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/limits"
)

const (
	entries   = 30
	perSecond = 20_000.0
	largest   = 4000.0
	seconds   = 120
)

// simulate has every entry ask for more than the team's rate. It returns the number of tokens that
// were admitted and of requests for loans that the owner got. reachesOwner says which entries reach
// the owner.
func simulate(reachesOwner func(entry int) bool) (admitted float64, loanRequests int) {
	random := rand.New(rand.NewPCG(1, 1))
	lender := limits.NewLender()
	var borrowers []*limits.Borrower
	for range entries {
		borrowers = append(borrowers, limits.NewBorrower())
	}
	now := time.Unix(1000, 0)
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		i := random.IntN(entries)
		cost := 1 + random.Float64()*(largest-1)
		b := borrowers[i]
		switch {
		case b.Take("team", cost, now):
			admitted += cost
		case !reachesOwner(i):
			admitted += b.TakeLocal("team", perSecond/entries, cost, now).Tokens
		default:
			loanRequests++
			b.AddLoan("team", lender.Lend("team", perSecond, cost, now), now)
			if b.Take("team", cost, now) {
				admitted += cost
			}
		}
	}
	return admitted, loanRequests
}

// All entries together must admit no more than the declared rate and the documented margin.
func TestAdmittedTokensStayWithinRate(t *testing.T) {
	const bucket = perSecond
	cases := []struct {
		name         string
		reachesOwner func(int) bool
		margin       float64
		minShare     float64
	}{
		{"all entries reach the owner", func(int) bool { return true }, bucket, 0.85},
		{"no entry reaches the owner", func(int) bool { return false }, entries * largest, 0.85},
		{"half of the entries reach the owner", func(i int) bool { return i%2 == 0 }, bucket + entries*largest + perSecond*seconds/2, 0.85},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			admitted, loanRequests := simulate(c.reachesOwner)
			t.Logf("admitted %.3f of the declared rate; one loan for %.1f requests", admitted/(perSecond*seconds), float64(seconds*100)/max(float64(loanRequests), 1))
			if admitted > perSecond*seconds+c.margin || admitted < c.minShare*perSecond*seconds {
				t.Fatalf("%.0f tokens admitted, %.0f declared", admitted, perSecond*seconds)
			}
		})
	}
}

// After RetryAfter has passed there must be enough tokens for the request.
func TestRetryAfterSuffices(t *testing.T) {
	l := limits.NewLender()
	now := time.Unix(1000, 0)
	for n := range 50 {
		loan := l.Lend("team", 10, 40, now)
		if loan.Tokens == 0 {
			now = now.Add(loan.RetryAfter + time.Millisecond)
			loan = l.Lend("team", 10, 40, now)
		}
		if loan.Tokens < 40 {
			t.Fatalf("request %d: %+v", n, loan)
		}
	}
}

// While the rate is 0, as when every failure domain with upstreams is cut off, a caller must be
// told to retry soon, and it must be served once the rate is back.
func TestLendsAgainAfterZeroRate(t *testing.T) {
	l := limits.NewLender()
	now := time.Unix(1000, 0)
	l.Lend("team", 0, 40, now)
	loan := l.Lend("team", 0, 40, now)
	if loan.Tokens != 0 || loan.RetryAfter != time.Minute {
		t.Fatalf("without a rate: %+v", loan)
	}
	now = now.Add(loan.RetryAfter)
	l.Lend("team", 10, 40, now)
	if loan := l.Lend("team", 10, 40, now.Add(5*time.Second)); loan.Tokens < 40 {
		t.Fatalf("with the rate back: %+v", loan)
	}
}

// Borrowed tokens that an entry has not spent must expire, and one team's tokens must not serve
// another.
func TestLoansExpire(t *testing.T) {
	b := limits.NewBorrower()
	now := time.Unix(1000, 0)
	b.AddLoan("team", limits.Loan{Tokens: 100}, now)
	got := fmt.Sprint(b.Take("team", 40, now), b.Take("other", 1, now), b.Take("team", 40, now.Add(3*time.Second)))
	if got != "true false false" {
		t.Fatal(got)
	}
}
