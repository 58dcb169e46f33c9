package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// A departure is acknowledged only when it outlives this control instance: an instance that has got its acknowledgement
// may end, and does not report again. Each other control instance that receives a departure adopts it: from then on it
// publishes the departure as its own, and keeps it over a restart. The cursor of its next poll confirms that.

const (
	// confirmTimeout limits the wait for other control instances. Instances call the next control instance after a
	// second without a response, so a refusal reaches them in time.
	confirmTimeout = 700 * time.Millisecond
	// diskTimeout limits the wait for the own disk. The copies at other control instances suffice unless all of
	// them are killed at the same time, so a disk that stalls does not delay the acknowledgement for longer.
	diskTimeout = 250 * time.Millisecond
	// departureInterval is the minimum time between two notifications because of departures: in a release of a large
	// fleet, hundreds of instances depart each second.
	departureInterval = 20 * time.Millisecond
	// relayLostAfter is how long after its last poll a control instance does not count any more: a poll and its timeout.
	relayLostAfter = pollWait + pollTimeout
)

// UnconfirmedError is returned when too few other control instances hold a departure.
type UnconfirmedError struct {
	// Instance is the id of the instance that departs.
	Instance string
	// Held is the number of other control instances that hold the departure, and Needed the number that must.
	Held, Needed int
	// Elsewhere is true if one of them is, or need not be, in another failure domain.
	Elsewhere bool
}

// Error returns the reason.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("the departure of %s is held by %d other control instances of %d needed, in another failure domain: %t", e.Instance, e.Held, e.Needed, e.Elsewhere)
}

// relayPoller is another control instance that polls this one.
type relayPoller struct {
	polledAt      time.Time
	failureDomain string
	// instances is the cursor of its last poll.
	instances cursor
}

// received reports whether a poller with the cursor has received the report with the given number.
func (c cursor) received(change uint64) bool { return change <= c.change && change > c.backlog }

// recordRelayPoll records a poll of another control instance; mu must be held.
func (s *Source) recordRelayPoll(in *wire.FleetRequest, now time.Time) {
	if !in.Relays || in.Name == s.Name {
		return
	}
	if s.relayPollers == nil {
		s.relayPollers = map[string]relayPoller{}
	}
	s.relayPollers[in.Name] = relayPoller{now, in.FailureDomain, s.own.cursorsOf(in).instances}
	for name, p := range s.relayPollers {
		if now.Sub(p.polledAt) > sourceLostAfter {
			delete(s.relayPollers, name)
		}
	}
	s.notifyConfirming()
}

// notifyConfirming wakes the calls of ConfirmDeparture; mu must be held.
func (s *Source) notifyConfirming() {
	if s.confirming != nil {
		close(s.confirming)
		s.confirming = nil
	}
}

// confirmation is how far a departure is held outside of this process.
type confirmation struct {
	held, needed int
	// elsewhere is true if one of the holders is, or need not be, in another failure domain.
	elsewhere bool
	// reachable is the number of other control instances that have polled lately.
	reachable int
	// onDisk is true if the departure is in the file, or no file is written.
	onDisk bool
}

// copied reports whether enough other control instances hold the departure.
func (c confirmation) copied() bool { return c.held >= c.needed && c.elsewhere }

// confirmation returns how far the departure of an instance is held; mu must be held.
func (s *Source) confirmation(id string, now time.Time) confirmation {
	change, ok := s.registry.Position(id)
	if !ok {
		return confirmation{elsewhere: true, onDisk: true}
	}
	out := confirmation{needed: s.neededCopies(), onDisk: s.persistedChange == nil || *s.persistedChange >= change}
	out.elsewhere = out.needed == 0 || !s.otherDomainExists()
	for _, p := range s.relayPollers {
		if now.Sub(p.polledAt) > relayLostAfter {
			continue
		}
		out.reachable++
		if p.instances.received(change) {
			out.held++
			out.elsewhere = out.elsewhere || p.failureDomain != s.FailureDomain
		}
	}
	return out
}

// neededCopies returns how many other control instances must hold a departure; mu must be held.
func (s *Source) neededCopies() int {
	if len(s.control) == 0 {
		return s.Copies
	}
	return min(s.Copies, len(s.control)-1)
}

// otherDomainExists reports whether there is a control instance in another failure domain; mu must be held.
func (s *Source) otherDomainExists() bool {
	for _, c := range s.control {
		if c.FailureDomain != s.FailureDomain {
			return true
		}
	}
	return false
}

// ConfirmDeparture waits until the recorded departure of an instance outlives the loss of this control instance, or of its
// failure domain. It returns an UnconfirmedError if that is not so in time, or cannot be. The departure is then still
// published to all that can be reached, but must not be acknowledged.
func (s *Source) ConfirmDeparture(ctx context.Context, id string) error {
	began := clock.Now()
	timeout, diskTimeout := time.NewTimer(confirmTimeout), time.NewTimer(diskTimeout)
	defer timeout.Stop()
	defer diskTimeout.Stop()
	diskIsSlow := false
	for {
		c, changed := s.awaitConfirmation(id)
		if c.copied() && (c.onDisk || diskIsSlow) {
			s.noteConfirmation(id, c, clock.Since(began))
			return nil
		}
		if c.reachable < c.needed {
			return s.unconfirmed(id, c, began)
		}
		select {
		case <-changed:
		case <-diskTimeout.C:
			diskIsSlow = true
		case <-timeout.C:
			return s.unconfirmed(id, c, began)
		case <-ctx.Done():
			return s.unconfirmed(id, c, began)
		}
	}
}

func (s *Source) unconfirmed(id string, c confirmation, began time.Time) error {
	s.noteConfirmation(id, c, clock.Since(began))
	return &UnconfirmedError{Instance: id, Held: c.held, Needed: c.needed, Elsewhere: c.elsewhere}
}

// awaitConfirmation returns how far the departure of an instance is held, and a channel that is closed when that may have
// changed.
func (s *Source) awaitConfirmation(id string) (confirmation, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirming == nil {
		s.confirming = make(chan struct{})
	}
	return s.confirmation(id, clock.Now()), s.confirming
}

// noteConfirmation logs and counts the end of ConfirmDeparture.
func (s *Source) noteConfirmation(id string, c confirmation, took time.Duration) {
	event := "departure_confirmed"
	if !c.copied() {
		event = "departure_not_confirmed"
	}
	s.log.Info().Str("event", event).Str("instance", id).Int("held", c.held).Int("needed", c.needed).Int("reachable", c.reachable).Bool("elsewhere", c.elsewhere).Bool("on_disk", c.onDisk).Dur("took_ms", took).Msg("")
	s.Metrics.observeConfirmation(c.copied(), took)
}

// publishDeparture answers the polls of the other control instances at once, or after departureInterval, and has the file
// written; mu must be held.
func (s *Source) publishDeparture() {
	select {
	case s.persistRequested <- struct{}{}:
	default:
	}
	s.own.pending, s.own.urgentPending = true, true
	wait := departureInterval - clock.Since(s.own.notifiedAt)
	if wait <= 0 {
		s.own.notifyNow()
		return
	}
	if s.departuresScheduled {
		return
	}
	s.departuresScheduled = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.departuresScheduled = false
		if s.own.pending {
			s.own.notifyNow()
		}
	})
}

// adoptDepartures records the departures among the reports of another control instance.
func (s *Source) adoptDepartures(reports []registry.Report, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for _, r := range reports {
		if !s.registry.Adopt(r, now) {
			continue
		}
		s.publishDeparture()
		s.log.Info().Str("event", "departure_adopted").Str("instance", r.ID).Int64("start", int64(r.Start)).Bool("left", r.Left).Str("address", from).Dur("age_ms", now.Sub(r.DepartedAt)).Msg("")
	}
}

// startOf returns the start that a departure without one stands for: that of the latest incarnation of the id that any
// control instance knows, or 0. mu must be held.
func (s *Source) startOf(id string) registry.Start {
	return max(s.registry.LatestStart(id), s.table.Start(id))
}

// noteDepartures logs and counts the departures of instances in use that were learned from the source at an address; mu
// must be held.
func (f *Follower) noteDepartures(address string, now time.Time) {
	for _, r := range f.merged.TakeDepartures() {
		age := now.Sub(r.DepartedAt)
		f.Log.Info().Str("event", "departure_known").Str("instance", r.ID).Int64("start", int64(r.Start)).Bool("left", r.Left).Str("address", address).Dur("age_ms", age).Msg("")
		if !r.DepartedAt.IsZero() {
			f.Metrics.observeKnown(age)
		}
	}
}
