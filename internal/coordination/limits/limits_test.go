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

// demand has every entry ask for more than the team may have, and returns what was
// admitted a second and how many questions the owner had. reach says which entries reach
// the owner.
func demand(reach func(entry int) bool) (admitted float64, asked int) {
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
		case !reach(i):
			admitted += b.TakeLocal("team", perSecond/entries, cost, now).Tokens
		default:
			asked++
			b.AddLoan("team", lender.Lend("team", perSecond, cost, now), now)
			if b.Take("team", cost, now) {
				admitted += cost
			}
		}
	}
	return admitted, asked
}

// TestTogetherNoMoreThanDeclared holds all entries together to the declared rate and the
// stated margin.
func TestTogetherNoMoreThanDeclared(t *testing.T) {
	const bucket = perSecond
	cases := []struct {
		name   string
		reach  func(int) bool
		margin float64
		least  float64
	}{
		{"all reach the owner", func(int) bool { return true }, bucket, 0.85},
		{"none does", func(int) bool { return false }, entries * largest, 0.85},
		{"half do not", func(i int) bool { return i%2 == 0 }, bucket + entries*largest + perSecond*seconds/2, 0.85},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			admitted, asked := demand(c.reach)
			t.Logf("%.3f of the declared rate; the owner was asked for one in %.1f requests", admitted/(perSecond*seconds), float64(seconds*100)/max(float64(asked), 1))
			if admitted > perSecond*seconds+c.margin || admitted < c.least*perSecond*seconds {
				t.Fatalf("%.0f tokens were admitted of %.0f declared", admitted, perSecond*seconds)
			}
		})
	}
}

// TestRetryAfterIsHonest comes back when it was told to.
func TestRetryAfterIsHonest(t *testing.T) {
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

// TestNoRateIsNotForEver has nothing to lend for a while, as when every domain that has
// upstreams is cut off: a caller is told to come back soon, and then served.
func TestNoRateIsNotForEver(t *testing.T) {
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

// TestLoansEnd lends what an entry does not spend to others once it has run out.
func TestLoansEnd(t *testing.T) {
	b := limits.NewBorrower()
	now := time.Unix(1000, 0)
	b.AddLoan("team", limits.Loan{Tokens: 100}, now)
	got := fmt.Sprint(b.Take("team", 40, now), b.Take("other", 1, now), b.Take("team", 40, now.Add(3*time.Second)))
	if got != "true false false" {
		t.Fatal(got)
	}
}
