package orders

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// quietAfterOrder is how long an engine is not asked after an order: a load takes more
	// than a second, and questions are charged for.
	quietAfterOrder = time.Second
	// loadOverdue is after how long a load holds no place any more, as it may never end: that is
	// several loads one after the other, and leaves time for the engines that wait. The bound
	// on how many serve meanwhile holds all the same.
	loadOverdue = 5 * time.Second
	// busyShare bounds how often an engine is asked that loads, to once in a part of the time for
	// which it has: its end is known late by a part of what the load takes. mostBusyWait bounds
	// the pause where a load never ends.
	busyShare    = 8
	mostBusyWait = time.Second
	// reportHolds is how long the answer of an engine that is not busy is believed: its weights
	// change by an order of another leader that is carried out late, seconds after it was given.
	reportHolds = 5 * time.Second
)

// engineState is what is known of one engine.
type engineState struct {
	instance registry.Instance
	// report is its last answer, which came at reported, and asked is false when the next round
	// must ask again.
	report   EngineReport
	reported time.Time
	asked    bool
	// given is when it was last ordered, and named since when entries avoid it.
	given, named time.Time
	// busy is since when it has been known to load, or zero.
	busy time.Time
}

// mustAsk reports whether the engine must be asked before it can be decided about.
func (s *engineState) mustAsk(now time.Time) bool {
	switch {
	case now.Sub(s.given) < quietAfterOrder:
		return false
	case !s.busy.IsZero():
		return now.Sub(s.reported) >= min(mostBusyWait, now.Sub(s.busy)/busyShare)
	}
	return !s.asked || now.Sub(s.reported) >= reportHolds
}

// overdue reports whether the engine has been loading for too long.
func (s *engineState) overdue(now time.Time) bool {
	return !s.busy.IsZero() && now.Sub(s.busy) >= loadOverdue
}

// take notes an answer; it reports whether the engine's load became overdue with it.
func (s *engineState) take(report EngineReport, now time.Time) (overdue bool) {
	before := s.overdue(s.reported)
	s.report = report
	s.reported = now
	// An engine that is not busy stays as it is until it is ordered.
	s.asked = !report.Busy
	switch {
	case !report.Busy:
		s.busy = time.Time{}
	case s.busy.IsZero():
		s.busy = now
	}
	return s.overdue(now) && !before
}
