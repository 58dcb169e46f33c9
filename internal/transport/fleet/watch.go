package fleet

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
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
)

// knownSource is what a Follower knows of one control instance.
type knownSource struct {
	cancel context.CancelFunc
	epoch  uint64
	change uint64
	// answered is when it last answered, and reached whether the last poll did.
	answered time.Time
	reached  bool
	// control holds the addresses of the control instances that it knows, and controlChange
	// its mark.
	control       []string
	controlChange uint64
	entries       int
	stores        storesKnown
	// version is the newest configuration that it told of.
	version uint64
	// avoidUntil is until when it is asked for the configuration after all others, because
	// it did not help.
	avoidUntil time.Time
	// loads holds the engines' load as the source knows it, loadsAt when it told of it, and
	// loadsChange its mark.
	loads       map[string]balance.EngineLoad
	loadsAt     time.Time
	loadsChange uint64
	// busy names the instances that the source's process has load weights.
	busy []string
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
		Name: f.Name, Entry: f.Entry, Weights: fromWeights(f.weights), WaitMilliseconds: uint32(pollWait.Milliseconds()),
		ConfigVersion: f.newestVersion(),
	}
	if s := f.sources[address]; s != nil {
		in.Epoch = s.epoch
		in.Change = s.change
		in.StoreChange = s.stores.change
		in.StoresUntil = s.stores.until.Milliseconds()
		in.ControlChange = s.controlChange
		in.Busy = s.busy
		in.LoadsChange = s.loadsChange
	}
	return in
}

func (f *Follower) lost(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || !s.reached {
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
	if s == nil {
		return
	}
	now := time.Now()
	if !s.reached {
		f.Log.Info().Str("event", "control_reached").Str("address", address).Uint64("epoch", out.Epoch).Msg("")
	}
	if s.epoch != out.Epoch {
		f.merged.Forget(address, now)
		s.stores = storesKnown{}
	}
	s.take(out, now)
	reports := make([]registry.Report, 0, len(out.Instances))
	for _, r := range out.Instances {
		reports = append(reports, toReport(r, now))
	}
	f.merged.Take(address, reports, now)
	if len(reports) > 0 {
		f.joinInstances()
	}
	f.takeWeights(toWeights(out.Weights), now)
	f.wantConfig()
	f.publish()
}

// take notes what an answer says of its source and of what the source alone vouches for.
func (s *knownSource) take(out *wire.FleetResponse, now time.Time) {
	began := s.epoch != out.Epoch
	s.reached = true
	s.answered = now
	s.epoch = out.Epoch
	s.change = out.Change
	if s.controlChange != out.ControlChange || len(out.Control) > 0 {
		s.control = out.Control
	}
	s.controlChange = out.ControlChange
	if s.loadsChange != out.LoadsChange || began {
		s.loads = toLoads(out.Loads)
		s.loadsAt = now
	}
	s.loadsChange = out.LoadsChange
	s.entries = int(out.Entries)
	s.busy = out.Busy
	s.version = out.ConfigVersion
	s.stores.take(out, now)
}

func (f *Follower) takeWeights(weights map[string]uint64, now time.Time) {
	for model, version := range weights {
		if version <= f.weights[model] {
			continue
		}
		f.weights[model] = version
		f.weightsAt[model] = now
		f.Log.Info().Str("event", "weights_named").Str("model", model).Uint64("version", version).Msg("")
	}
}
