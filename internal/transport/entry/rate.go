package entry

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// takeTokens charges a request's tokens to its team's declared rate; ok is false when
// the request is refused.
func (e *Entry) takeTokens(ctx context.Context, c caller, cost float64) (refused outcome.Outcome, ok bool) {
	team := c.team.Name()
	if c.team.TokenRate() == 0 || e.takeBorrowed(team, cost) {
		return nil, true
	}
	loan := e.borrow(ctx, c.team, cost)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	e.borrower.AddLoan(team, loan, now)
	if e.borrower.Take(team, cost, now) {
		return nil, true
	}
	return outcome.NotRun{RetryAfter: max(loan.RetryAfter, time.Second), Reason: outcome.ReasonTeamRate}, false
}

func (e *Entry) takeBorrowed(team string, cost float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.borrower.Take(team, cost, clock.Now())
}

// borrow requests tokens from the owner of the team's rate, which may be this entry. If
// the owner does not answer, the entry uses its own share of the rate.
func (e *Entry) borrow(ctx context.Context, team declared.Team, cost float64) limits.Loan {
	if e.Peers == nil {
		return e.LendTokens(team.Name(), cost)
	}
	loan, isOwner, err := e.Peers.Borrow(ctx, team.Name(), cost)
	switch {
	case isOwner:
		return e.LendTokens(team.Name(), cost)
	case err != nil:
		return e.takeLocalShare(team, cost)
	}
	return loan
}

// LendTokens lends tokens of a team's rate to another entry or to this one, as the
// owner of the rate.
func (e *Entry) LendTokens(name string, cost float64) limits.Loan {
	state := e.state.Load()
	team, ok := state.Team(name)
	if !ok {
		return limits.Loan{RetryAfter: time.Second}
	}
	perSecond := team.TokenRate()
	if perSecond == 0 {
		// The borrower has a newer or an older state in which the team has a limit; in
		// the state of this entry it has none.
		return limits.Loan{Tokens: cost}
	}
	if e.Peers != nil {
		unreachable := e.Peers.SilentDomains()
		perSecond *= slotShare(state, e.FailureDomain, func(domain string) bool { return !unreachable[domain] })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lender.Lend(name, perSecond, cost, clock.Now())
}

// takeLocalShare takes tokens from this entry's own share of the rate: the failure
// domain's share divided by the number of entries in the domain.
func (e *Entry) takeLocalShare(team declared.Team, cost float64) limits.Loan {
	perSecond := team.TokenRate() / float64(e.Peers.LiveInDomain())
	perSecond *= slotShare(e.state.Load(), e.FailureDomain, func(domain string) bool { return domain == e.FailureDomain })
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.borrower.TakeLocal(team.Name(), perSecond, cost, clock.Now())
}

// slotShare returns the fraction of a region's declared slots that is in the selected
// failure domains. The shares of disjoint network partitions add up to one. In a region
// without upstreams it returns 1, since there is nothing to divide.
func slotShare(state *declared.State, failureDomain string, includes func(domain string) bool) float64 {
	total, included := 0, 0
	for _, u := range state.UpstreamsInRegionOf(failureDomain) {
		total += u.Slots()
		if includes(u.FailureDomain()) {
			included += u.Slots()
		}
	}
	if total == 0 {
		return 1
	}
	return float64(included) / float64(total)
}
