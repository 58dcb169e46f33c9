package registry

// Start is when an instance started, in Unix milliseconds by the clock of its own host; 0 where
// it does not tell.
//
// Only starts of one id are compared, and starts at one address: a host's clock orders its own
// starts as long as it does not go back by more than the instance was down. If it does, the
// later start is taken for the earlier one until the instance was not heard of for a minute
// (leftFor); nothing is sent to it until then. Our own clocks are never compared with a start.
type Start int64

// Incarnation is one life of an instance. Whatever is counted, believed or promised of an
// instance belongs to an incarnation and ends with it.
type Incarnation struct {
	ID    string
	Start Start
}

// Incarnation returns whose report this is.
func (in Instance) Incarnation() Incarnation { return Incarnation{in.ID, in.Start} }

// RestartedError says that an answer came from another start of an instance than the one that
// was asked.
type RestartedError struct {
	// Expected is the incarnation that was asked, and Answered the start that answered.
	Expected    Incarnation
	ActualStart Start
}

// Error names the instance.
func (e *RestartedError) Error() string {
	return "instance " + e.Expected.ID + " started again since"
}
