package arbiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
)

// spacing is for how long after a grant an engine gets no other long prompt while others have room: an engine
// computes the prompts that it gets one after the other, 0.2 s each if little of them is kept.
const spacing = 250 * time.Millisecond

// outcome is what is to be done with a request. It is one of placement, refused and undecided.
type outcome interface{ outcome() }

// placement says that the request runs at an engine. reader says that the engine reads the same prefix.
type placement struct {
	engine *engine
	reader bool
}

type refused struct{ reason Reason }

// undecided says that too few loads are known.
type undecided struct{}

func (placement) outcome() {}
func (refused) outcome()   {}
func (undecided) outcome() {}

// decide chooses an engine for a request, or refuses it. It changes nothing.
func (s *service) decide(r Request, now time.Time) outcome {
	fallback, known := s.findFitting(r, now)
	switch {
	case !known:
		return undecided{}
	case r.Resumes && len(s.fitting) == 0:
		return placement{engine: fallback}
	case r.Resumes:
		return s.choose(r, now)
	case len(s.fitting) == 0:
		return refused{s.withoutRoom(r, now)}
	}
	due := s.returns != nil && s.returns.Due(r.Digest, now)
	left := s.room() - s.withheld(r, due, now) - balance.RequiredRoom(r.Tokens, s.memory)
	switch {
	case left < 0, !s.fitsAfterMoreUrgent(r, now):
		return refused{NoRoom}
	case !due && left < s.shares.owed(r):
		return refused{OverShare}
	}
	return s.choose(r, now)
}

// findFitting lists the usable engines with room for a request. fallback is the one with the shortest queue,
// and of these the one with the most free memory. known is false if too few loads are known.
func (s *service) findFitting(r Request, now time.Time) (fallback *engine, known bool) {
	s.fitting = s.fitting[:0]
	usable, reported := 0, 0
	for _, e := range s.engines {
		if r.Excluded[e.target.ID] {
			continue
		}
		usable++
		if !e.known(now) {
			continue
		}
		reported++
		if fallback == nil || s.emptier(e, fallback) {
			fallback = e
		}
		if e.fits(r.Tokens, s.memory) {
			s.fitting = append(s.fitting, e)
		}
	}
	return fallback, s.memory > 0 && reported > 0 && 2*reported >= usable
}

func (s *service) emptier(e, other *engine) bool {
	return cmp.Or(cmp.Compare(e.load.Waiting, other.load.Waiting), cmp.Compare(other.free(s.memory), e.free(s.memory))) < 0
}

// withoutRoom returns why a request is refused for which no engine has room.
func (s *service) withoutRoom(r Request, now time.Time) Reason {
	if wait, ok := s.nextRelease(now); ok && wait > r.Remaining {
		return NoTime
	}
	return NoRoom
}

// nextRelease returns the time until the next release is expected, by the rate of the latest ones. ok is
// false if there were none.
func (s *service) nextRelease(now time.Time) (wait time.Duration, ok bool) {
	if len(s.releases) == 0 {
		return 0, false
	}
	interval := releaseWindow / time.Duration(len(s.releases))
	last := s.releases[len(s.releases)-1]
	return max(0, interval-now.Sub(last)), true
}

// room returns the room in the engines that fit the request in progress. It must not grow with the size of the
// request: then a large request could be admitted after a smaller, more urgent one was refused.
func (s *service) room() (tokens int) {
	for _, e := range s.fitting {
		tokens += balance.UsableRoom(s.memory, e.free(s.memory))
	}
	return tokens
}

// fitsAfterMoreUrgent reports whether an engine still fits a request once the more urgent requests that were
// refused lately have their room. They are placed by urgency, each where it leaves the least room, so that what
// is too small for a request does not count as room for it.
func (s *service) fitsAfterMoreUrgent(r Request, now time.Time) bool {
	pending := s.refusals.moreUrgent(r.Urgency)
	if len(pending) == 0 {
		return true
	}
	s.rooms = s.rooms[:0]
	for _, e := range s.engines {
		if !r.Excluded[e.target.ID] && e.known(now) && e.load.Waiting == 0 {
			s.rooms = append(s.rooms, balance.UsableRoom(s.memory, e.free(s.memory)))
		}
	}
	for _, q := range pending {
		takeRoom(s.rooms, q.room)
	}
	return takeRoom(s.rooms, balance.RequiredRoom(r.Tokens, s.memory))
}

// takeRoom takes room for one request where it leaves the least, and reports whether there is any.
func takeRoom(rooms []int, required int) bool {
	best := -1
	for i, room := range rooms {
		if room >= required && (best < 0 || room < rooms[best]) {
			best = i
		}
	}
	if best >= 0 {
		rooms[best] -= required
	}
	return best >= 0
}

// withheld returns the room that is kept for requests that go before this one: the more urgent ones that
// were refused lately, and those that are about to return and at least as urgent. A request that comes
// back itself leaves room to more urgent ones only. The two overlap, so the larger counts.
func (s *service) withheld(r Request, due bool, now time.Time) int {
	tokens := s.refusals.before(r.Urgency)
	if s.returns == nil {
		return tokens
	}
	urgency := r.Urgency
	if due {
		urgency--
	}
	return max(tokens, s.returns.Reserved(urgency, now))
}

// choose returns the engine for a request among those with room. One that reads the same prefix is first:
// the others would compute the prefix again.
func (s *service) choose(r Request, now time.Time) placement {
	if last, ok := s.readers[r.Key]; ok && now.Sub(last.at) <= readerTime && slices.Contains(s.fitting, last.engine) {
		return placement{engine: last.engine, reader: true}
	}
	key := r.Key
	if key == 0 {
		// Prompts without a shared prefix would all go to the same engines first.
		key = s.random.Uint64()
	}
	var best *engine
	for _, e := range s.fitting {
		if best == nil || before(e, best, key, now) {
			best = e
		}
	}
	return placement{engine: best}
}

// before reports whether an engine is chosen before another: those without a recent grant first, then by
// their scores for the key.
func before(e, other *engine, key uint64, now time.Time) bool {
	if a, b := now.Sub(e.granted) < spacing, now.Sub(other.granted) < spacing; a != b {
		return b
	}
	return balance.Score(e.hash, key) > balance.Score(other.hash, key)
}
