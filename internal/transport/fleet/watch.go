package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
)

const (
	// pollWait is how long a source holds a poll; it is short enough that two of them
	// lie within the 3 s after which a healed cut must not matter any more.
	pollWait = time.Second
	// pollTimeout gives up a source that is cut off or frozen.
	pollTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// retryWait is the pause after a failed poll; the first after an answer is retryFirst, so
	// that processes that start together find each other at once.
	retryWait  = 200 * time.Millisecond
	retryFirst = 20 * time.Millisecond
	// behindAnswers is after how many answers that do not hold everything a follower logs that
	// it lags: with fewer it has caught up within 0.1 s of a link of 10 Mbit/s.
	behindAnswers = 3
)

// knownSource is what a Follower knows of one control instance.
type knownSource struct {
	cancel context.CancelFunc
	epoch  uint64
	// change and backlog are how far it told of instances, stores.change and stores.backlog
	// how far of stores.
	change, backlog uint64
	// restarted is true from when it began anew until it has told of all instances again.
	restarted bool
	// unasked is true from when what it told of instances was forgotten until it is asked with
	// those marks; an answer to an earlier question leaves out what did not change.
	unasked bool
	// answers counts the last answers in a row that did not hold everything, and behind is
	// when the first of them came.
	answers int
	behind  time.Time
	// answered is when it last answered, and reached whether the last poll did.
	answered time.Time
	reached  bool
	// asked is when the last poll was sent, and inVain when the last one was that found no
	// control log with a leader.
	asked, inVain time.Time
	// control holds the addresses of the control instances that it knows, and controlChange
	// its mark.
	control       []string
	controlChange uint64
	// entries is how many entries watch it, and rank this one's place among them.
	entries, rank int
	stores        storesKnown
	// version is the newest configuration that it told of.
	version uint64
	// avoidUntil is until when it is asked for the configuration after all others, because
	// it did not help.
	avoidUntil time.Time
	loads      loadsKnown
	// factsChange is up to where it told facts, and told what it knows of them.
	factsChange uint64
	told        *ends.ReceiverState
	// tellingFacts and tellingFailures are true while it is told of ends or failures: one that is
	// slow to answer would get more and more connections, and be slower.
	tellingFacts, tellingFailures bool
	// busy names the instances that the source's process has load weights.
	busy []registry.Incarnation
	// failing names the instances that fail by what entries told the source.
	failing []registry.Incarnation
}

// watch polls one source until ctx ends.
func (f *Follower) watch(ctx context.Context, address string) {
	client := wire.NewFleetProtobufClient("http://"+address, f.client)
	wait := retryFirst
	for ctx.Err() == nil {
		out, err := client.Watch(ctx, f.request(address))
		if err == nil {
			f.take(address, out)
			wait = retryFirst
			continue
		}
		f.lost(address, err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		wait = min(2*wait, retryWait)
	}
}

func (f *Follower) request(address string) *wire.FleetRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := &wire.FleetRequest{
		Name: f.Name, Entry: f.Entry, Weights: fromWeights(newestOf(f.named)), WaitMilliseconds: uint32(pollWait.Milliseconds()),
		ConfigVersion: f.newestVersion(), Paged: true, Evacuations: f.evacuations.Revision(),
	}
	if s := f.sources[address]; s != nil {
		s.asked = clock.Now()
		s.unasked = false
		in.Epoch = s.epoch
		in.Change = s.change
		in.Backlog = s.backlog
		in.StoreBacklog = s.stores.backlog
		in.StoreChange = s.stores.change
		in.StoresUntil = s.stores.until.Milliseconds()
		in.ControlChange = s.controlChange
		in.Busy = fromIncarnations(s.busy)
		in.Failing = fromIncarnations(s.failing)
		in.LoadsChange = s.loads.change
		in.EnginesChange = s.loads.enginesChange
		in.FactsChange = s.factsChange
	}
	return in
}

func (f *Follower) lost(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return
	}
	s.inVain = s.asked
	if !s.reached {
		return
	}
	s.reached = false
	f.Log.Info().Str("event", "control_lost").Str("address", address).Str("error", err.Error()).Msg("")
}

// take joins one answer into the view.
func (f *Follower) take(address string, out *wire.FleetResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || s.unasked {
		return
	}
	now := clock.Now()
	if !s.reached {
		f.Log.Info().Str("event", "control_reached").Str("address", address).Uint64("epoch", out.Epoch).Msg("")
	}
	if s.epoch != out.Epoch {
		f.merged.BeginResync(address)
		s.restarted = true
		s.stores = storesKnown{}
		s.told.Reset()
	}
	caughtUp := s.backlog > 0 && out.Backlog == 0
	if s.take(out, now) {
		f.lookAtSources()
	}
	if out.Leaderless {
		s.inVain = s.asked
	} else {
		f.contact = f.contact.reach(s.inVain, now)
	}
	f.noteBehind(address, s, out, now)
	reports := make([]registry.Report, 0, len(out.Instances))
	for _, r := range out.Instances {
		reports = append(reports, toReport(r, address, now))
	}
	f.merged.Merge(address, reports, now)
	if s.restarted && out.Backlog == 0 {
		s.restarted = false
		f.merged.EndResync(address, now)
	}
	switch {
	case caughtUp:
		f.joinInstances()
	case len(reports) > 0:
		f.joinSoon(now)
	}
	f.takeNamed(address, out, now)
	f.takeEvacuations(address, out, now)
	f.takeFacts(address, s, out, now)
	f.wantConfig()
	f.publish()
}

// lookAtSources has the sources watched that are named now. Instances report to any one of them, so
// an entry that starts with few knows only some of the instances.
func (f *Follower) lookAtSources() {
	select {
	case f.renamed <- struct{}{}:
	default:
	}
}

// take notes what an answer says of its source and of what the source alone vouches for. It reports
// whether the source names other control instances than before.
func (s *knownSource) take(out *wire.FleetResponse, now time.Time) (renamed bool) {
	began := s.epoch != out.Epoch
	s.reached = true
	s.answered = now
	s.epoch = out.Epoch
	s.change = out.Change
	s.backlog = out.Backlog
	if s.controlChange != out.ControlChange || len(out.Control) > 0 {
		renamed = !slices.Equal(s.control, out.Control)
		s.control = out.Control
	}
	s.controlChange = out.ControlChange
	s.loads.take(out, began, now)
	s.factsChange = out.FactsChange
	s.entries = int(out.Entries)
	s.rank = int(out.Rank)
	s.busy = toIncarnations(out.Busy)
	s.failing = toIncarnations(out.Failing)
	s.version = out.ConfigVersion
	s.stores.take(out, now)
	return renamed
}

// forgetInstances makes the source tell of all instances again.
func (s *knownSource) forgetInstances() {
	if s.change > 0 {
		s.change, s.backlog = 0, 0
		s.unasked = true
	}
}

// noteBehind logs when a source has more to tell than fits into several answers, and when
// nothing is left; mu must be held.
func (f *Follower) noteBehind(address string, s *knownSource, out *wire.FleetResponse, now time.Time) {
	if out.More {
		if s.answers == 0 {
			s.behind = now
		}
		s.answers++
		if s.answers == behindAnswers {
			f.Log.Info().Str("event", "catching_up").Str("address", address).Uint64("change", out.Change).Uint64("backlog", out.Backlog).Uint64("store_change", out.StoreChange).Uint64("store_backlog", out.StoreBacklog).Msg("")
		}
		return
	}
	if s.answers >= behindAnswers {
		f.Log.Info().Str("event", "caught_up").Str("address", address).Int("answers", s.answers+1).Int64("took_ms", now.Sub(s.behind).Milliseconds()).Msg("")
	}
	s.answers = 0
}
