package arbiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
)

// withholdTime is for how long room that was refused to a request is withheld from less urgent ones.
const withholdTime = time.Second

// refusals holds the requests that were refused lately, the oldest first.
type refusals []refusedRequest

type refusedRequest struct {
	digest quarantine.Digest
	// room is the room that the request required, in tokens.
	room, urgency int
	at            time.Time
}

// add records a refusal. One request counts once, however often it is refused.
func (l *refusals) add(r Request, memory int, now time.Time) {
	l.remove(r.Digest)
	*l = append(*l, refusedRequest{digest: r.Digest, room: balance.RequiredRoom(r.Tokens, memory), urgency: r.Urgency, at: now})
}

func (l *refusals) remove(digest quarantine.Digest) {
	*l = slices.DeleteFunc(*l, func(r refusedRequest) bool { return r.digest == digest })
}

func (l *refusals) forget(now time.Time) {
	for len(*l) > 0 && now.Sub((*l)[0].at) > withholdTime {
		*l = (*l)[1:]
	}
}

// moreUrgent returns the more urgent refused requests, the most urgent first and of equal ones the oldest.
func (l refusals) moreUrgent(urgency int) []refusedRequest {
	var out []refusedRequest
	for _, r := range l {
		if r.urgency < urgency {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b refusedRequest) int { return cmp.Compare(a.urgency, b.urgency) })
	return out
}

// before returns the room that was refused to more urgent requests.
func (l refusals) before(urgency int) (tokens int) {
	for _, r := range l {
		if r.urgency < urgency {
			tokens += r.room
		}
	}
	return tokens
}
