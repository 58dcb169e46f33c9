package registry

// Start is when an instance started, in Unix milliseconds by the clock of its own host; 0 if
// the instance does not report it.
//
// Only starts of the same id or at the same address are compared: a host's clock orders its own
// starts unless it is set back by more than the instance's downtime. If it is, the
// later start is taken for the earlier one until nothing has been heard of the earlier one for a minute
// (endedRetention); no requests are sent to the instance until then. A start is never compared with the
// clock of this process.
type Start int64

// Incarnation identifies one run of an instance, from its start to its end. All counters, state and
// reservations that concern an instance belong to one incarnation and end with it.
type Incarnation struct {
	ID    string
	Start Start
}

// Incarnation returns the incarnation that in describes.
func (in Instance) Incarnation() Incarnation { return Incarnation{in.ID, in.Start} }

// RestartedError is returned when another incarnation of an instance answered than the one that
// was queried.
type RestartedError struct {
	// Expected is the incarnation that was queried, and ActualStart the start of the one that answered.
	Expected    Incarnation
	ActualStart Start
}

func (e *RestartedError) Error() string {
	return "instance " + e.Expected.ID + " started again since"
}
