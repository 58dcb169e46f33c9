package orders

import (
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// readDelayAfterOrder is how long an engine is not read after an order: a load takes more
	// than a second, and each read is charged as processor time.
	readDelayAfterOrder = time.Second
	// loadOverdueAfter is how long a load counts towards the limit of concurrent loads, as it may
	// never end. It is the time of several consecutive loads, and leaves time for the engines that
	// wait. The minimum number of serving engines is enforced all the same.
	loadOverdueAfter = 5 * time.Second
	// busyReadDivisor sets the interval at which a loading engine is read: the time that it has
	// been loading divided by this, so that the end of a load is detected late by a fraction of its
	// length. maxBusyReadInterval limits the interval when a load never ends.
	busyReadDivisor     = 8
	maxBusyReadInterval = time.Second
	// reportTTL is how long the report of an engine that is not busy is used: a late order of
	// another leader may change its weights seconds after the order was issued.
	reportTTL = 5 * time.Second
)

// engineState is the last known state of one engine.
type engineState struct {
	instance registry.Instance
	// report is its last report, received at reportedAt. reportValid is false when the next round
	// must read the engine again.
	report      EngineReport
	reportedAt  time.Time
	reportValid bool
	// orderedAt is when the last order was issued to it, and avoidedSince the time since which
	// entries have been told to avoid it, or zero.
	orderedAt, avoidedSince time.Time
	// busySince is when it was first seen to load, or zero.
	busySince time.Time
}

// needsRead reports whether the engine must be read before the next decision about it.
func (s *engineState) needsRead(now time.Time) bool {
	switch {
	case now.Sub(s.orderedAt) < readDelayAfterOrder:
		return false
	case !s.busySince.IsZero():
		return now.Sub(s.reportedAt) >= min(maxBusyReadInterval, now.Sub(s.busySince)/busyReadDivisor)
	}
	return !s.reportValid || now.Sub(s.reportedAt) >= reportTTL
}

// overdue reports whether the engine has been loading for loadOverdueAfter or longer.
func (s *engineState) overdue(now time.Time) bool {
	return !s.busySince.IsZero() && now.Sub(s.busySince) >= loadOverdueAfter
}

// update applies a report and returns whether the engine's load has just become overdue.
func (s *engineState) update(report EngineReport, now time.Time) (overdue bool) {
	before := s.overdue(s.reportedAt)
	s.report = report
	s.reportedAt = now
	// An engine that is not busy does not change until it is given an order.
	s.reportValid = !report.Busy
	switch {
	case !report.Busy:
		s.busySince = time.Time{}
	case s.busySince.IsZero():
		s.busySince = now
	}
	return s.overdue(now) && !before
}
