package arbiter

import (
	"slices"
	"time"
)

// shareWindow is the time over which the memory that teams were granted and asked for is added up.
const shareWindow = 4 * time.Second

// shares holds what teams asked for and were granted lately, separately for each urgency.
type shares struct {
	// requests holds the latest requests, the oldest first.
	requests []teamRequest
	// totals holds the sums of the requests by urgency and team.
	totals map[int]map[string]*teamTotal
}

type teamRequest struct {
	urgency, tokens int
	team            string
	granted         bool
	at              time.Time
}

// teamTotal holds tokens of memory: all that a team asked for, and what it was granted.
type teamTotal struct{ asked, granted int }

func newShares() shares { return shares{totals: map[int]map[string]*teamTotal{}} }

func (s *shares) record(r Request, granted bool, now time.Time) {
	q := teamRequest{urgency: r.Urgency, tokens: r.Tokens, team: r.Team, granted: granted, at: now}
	s.requests = append(s.requests, q)
	s.add(q, q.tokens)
}

func (s *shares) add(q teamRequest, tokens int) {
	teams := s.totals[q.urgency]
	if teams == nil {
		teams = map[string]*teamTotal{}
		s.totals[q.urgency] = teams
	}
	t := teams[q.team]
	if t == nil {
		t = &teamTotal{}
		teams[q.team] = t
	}
	t.asked += tokens
	if q.granted {
		t.granted += tokens
	}
	if t.asked != 0 {
		return
	}
	delete(teams, q.team)
	if len(teams) == 0 {
		delete(s.totals, q.urgency)
	}
}

func (s *shares) forget(now time.Time) {
	for len(s.requests) > 0 && now.Sub(s.requests[0].at) > shareWindow {
		s.add(s.requests[0], -s.requests[0].tokens)
		s.requests = s.requests[1:]
	}
}

// owed returns the room that a request must leave to other teams: if its team holds more than its max-min
// fair share, what the teams of the same urgency lack of theirs. Otherwise it is 0.
func (s *shares) owed(r Request) int {
	teams := s.totals[r.Urgency]
	own := teams[r.Team]
	if own == nil || len(teams) == 1 {
		return 0
	}
	limit, short := fairLimit(teams)
	if !short || own.granted <= limit {
		return 0
	}
	owed := 0
	for _, t := range teams {
		owed += max(0, min(t.asked, limit)-t.granted)
	}
	return owed
}

// fairLimit divides all that was granted: a team's max-min fair share is what it asked for, or the limit if
// that is less. short is false if all teams were granted what they asked for.
func fairLimit(teams map[string]*teamTotal) (limit int, short bool) {
	asked, left := make([]int, 0, len(teams)), 0
	for _, t := range teams {
		asked = append(asked, t.asked)
		left += t.granted
	}
	slices.Sort(asked)
	for i, tokens := range asked {
		limit = left / (len(asked) - i)
		if tokens > limit {
			return limit, true
		}
		left -= tokens
	}
	return limit, false
}
