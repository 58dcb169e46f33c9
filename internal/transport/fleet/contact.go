package fleet

import "time"

// outOfReachAfter is after how long without a word of a control instance that knows a leader a
// process counts as out of reach of the control log: three long polls. An election takes half a
// second to a second and a half, and an instance that is lost is not waited for by the others.
const outOfReachAfter = 3 * time.Second

// Contact is since when, and whether, a process is in reach of a control log with a leader.
type Contact struct {
	// LastAnswer is when a control instance that knew a leader last answered; it is zero before the
	// first time.
	LastAnswer time.Time
	// LastUnreachable is when the control log was last out of reach, zero if it was not in this life: the
	// last question before it was in reach again was sent then.
	LastUnreachable time.Time
}

// Unreachable reports whether the control log is out of reach. Who has never reached it knows
// nothing that it could go on with.
func (c Contact) Unreachable(now time.Time) bool {
	return !c.LastAnswer.IsZero() && now.Sub(c.LastAnswer) > outOfReachAfter
}

// noteReach logs when the control log falls out of reach and when it is back; mu must be held.
func (f *Follower) noteReach(now time.Time) {
	out := f.contact.Unreachable(now)
	if out == f.outOfReach {
		return
	}
	f.outOfReach = out
	if out {
		f.Log.Info().Str("event", "control_out_of_reach").Dur("unheard_ms", now.Sub(f.contact.LastAnswer)).Msg("")
		return
	}
	f.Log.Info().Str("event", "control_in_reach").Dur("lost_ms", now.Sub(f.contact.LastUnreachable)).Msg("")
}

// reach returns the contact once a control instance that knows a leader has answered; asked is
// when it was last asked in vain.
func (c Contact) reach(asked, now time.Time) Contact {
	if c.Unreachable(now) {
		c.LastUnreachable = asked
	}
	c.LastAnswer = now
	return c
}
