package entry

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/limits"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// withinRate takes a request's tokens from its team's declared rate; ok is false when
// the request is refused.
func (e *Entry) withinRate(ctx context.Context, c caller, cost float64) (refused outcome.Outcome, ok bool) {
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

// borrow asks the owner of the team's rate, which may be this entry. While it does not
// answer, this entry has a part of the rate of its own.
func (e *Entry) borrow(ctx context.Context, team declared.Team, cost float64) limits.Loan {
	if e.Peers == nil {
		return e.LendTokens(team.Name(), cost)
	}
	loan, own, err := e.Peers.Borrow(ctx, team.Name(), cost)
	switch {
	case own:
		return e.LendTokens(team.Name(), cost)
	case err != nil:
		return e.ownPart(team, cost)
	}
	return loan
}

// LendTokens lends tokens of a team's rate, as its owner.
func (e *Entry) LendTokens(name string, cost float64) limits.Loan {
	state := e.state.Load()
	team, ok := state.Team(name)
	if !ok {
		return limits.Loan{RetryAfter: time.Second}
	}
	perSecond := team.TokenRate()
	if perSecond == 0 {
		// Whoever asks has a newer or an older state, with a limit; here there is none.
		return limits.Loan{Tokens: cost}
	}
	if e.Peers != nil {
		silent := e.Peers.SilentDomains()
		perSecond *= slotShare(state, e.FailureDomain, func(domain string) bool { return !silent[domain] })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lender.Lend(name, perSecond, cost, clock.Now())
}

// ownPart takes tokens of this entry's part of the rate: its failure domain's, shared
// among the domain's entries.
func (e *Entry) ownPart(team declared.Team, cost float64) limits.Loan {
	perSecond := team.TokenRate() / float64(e.Peers.LiveHere())
	perSecond *= slotShare(e.state.Load(), e.FailureDomain, func(domain string) bool { return domain == e.FailureDomain })
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.borrower.TakeLocal(team.Name(), perSecond, cost, clock.Now())
}

// slotShare is the part of a region's declared slots that lies in some of its failure domains.
// Islands of domains that are cut off from each other have shares that add up to one. A
// region without upstreams has nothing to divide.
func slotShare(state *declared.State, failureDomain string, in func(domain string) bool) float64 {
	all, some := 0, 0
	for _, u := range state.UpstreamsNear(failureDomain) {
		all += u.Slots()
		if in(u.FailureDomain()) {
			some += u.Slots()
		}
	}
	if all == 0 {
		return 1
	}
	return float64(some) / float64(all)
}
