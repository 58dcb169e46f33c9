package fleet

import "time"

// unreachableAfter is how long after the last answer from a control instance that knew a leader a
// process considers the control log unreachable: three long polls. An election takes 0.5 s to 1.5
// s, and the others do not wait for an instance that is lost.
const unreachableAfter = 3 * time.Second

// Contact tells whether a process can reach a control log with a leader, and when it last could
// not.
type Contact struct {
	// LastAnswer is when a control instance that knew a leader last answered. It is zero before the
	// first such answer.
	LastAnswer time.Time
	// LastUnreachable is when the control log was last unreachable, taken as the time of the last
	// failed poll before it was reachable again. It is zero if the log was never unreachable since
	// this process started.
	LastUnreachable time.Time
}

// Unreachable reports whether the control log is unreachable. It is false for a process that has
// never reached it, which has no state to continue with.
func (c Contact) Unreachable(now time.Time) bool {
	return !c.LastAnswer.IsZero() && now.Sub(c.LastAnswer) > unreachableAfter
}

// logReachability logs when the control log becomes unreachable and when it is reachable again; mu
// must be held.
func (f *Follower) logReachability(now time.Time) {
	unreachable := f.contact.Unreachable(now)
	if unreachable == f.loggedUnreachable {
		return
	}
	f.loggedUnreachable = unreachable
	if unreachable {
		f.Log.Info().Str("event", "control_out_of_reach").Dur("unheard_ms", now.Sub(f.contact.LastAnswer)).Msg("")
		return
	}
	f.Log.Info().Str("event", "control_in_reach").Dur("lost_ms", now.Sub(f.contact.LastUnreachable)).Msg("")
}

// withAnswer returns the contact after an answer from a control instance that knows a leader.
// lastFailedPoll is when the last failed poll was sent.
func (c Contact) withAnswer(lastFailedPoll, now time.Time) Contact {
	if c.Unreachable(now) {
		c.LastUnreachable = lastFailedPoll
	}
	c.LastAnswer = now
	return c
}
