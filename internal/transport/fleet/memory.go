package fleet

import (
	"context"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/disk"
)

const (
	// persistInterval is how often the instances' reports are written to the file, if they have
	// changed: a heartbeat that repeats the last one is no change.
	persistInterval = 500 * time.Millisecond
	// minPersistPause is the minimum time between two writes because of departures, which are written at once.
	minPersistPause = 50 * time.Millisecond
	// restoredHeartbeats is the number of heartbeat intervals for which a restored instance counts
	// as live before it reports itself. Without that, entries that start would have no instances.
	restoredHeartbeats = 2
)

// Persist restores the instances from a file written before a restart, and keeps the file up to
// date until ctx ends. Nothing depends on the file: if it is missing or outdated, the instances are
// known again when they report, one heartbeat later.
func (s *Source) Persist(ctx context.Context, path string) {
	s.restore(path)
	s.mu.Lock()
	s.persistedChange = new(uint64)
	s.mu.Unlock()
	go func() {
		ticker := time.NewTicker(persistInterval)
		defer ticker.Stop()
		written, failed := uint64(0), false
		for {
			select {
			case <-ticker.C:
			case <-s.persistRequested:
			case <-ctx.Done():
				return
			}
			change, instances, text := s.encodeState(written)
			if text == nil {
				continue
			}
			err := disk.WriteFileAtomic(path, text)
			if err == nil {
				written = change
				s.notePersisted(instances)
			}
			s.logPersistence(err, failed)
			failed = err != nil
			pauseBetweenWrites(ctx)
		}
	}()
}

// pauseBetweenWrites limits how often the file is written while instances depart one after the other.
func pauseBetweenWrites(ctx context.Context) {
	select {
	case <-time.After(minPersistPause):
	case <-ctx.Done():
	}
}

// notePersisted notes that the file holds all changes of the registry up to the given one.
func (s *Source) notePersisted(change uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.persistedChange = change
	s.notifyConfirming()
}

// encodeState returns the state to be written, or nil if it has not changed since the change
// written. instances is the newest change of the registry in it.
func (s *Source) encodeState(written uint64) (change, instances uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances = s.registry.Change()
	change = instances + s.own.facts.Change()
	if change == written {
		return change, instances, nil
	}
	out := &wire.FleetResponse{Entries: uint32(s.countEntries())}
	now := clock.Now()
	facts, _ := s.own.facts.Since(0, s.own.facts.Len())
	out.Facts = wire.FromFacts(facts, now)
	for _, r := range s.registry.Since(0) {
		out.Instances = append(out.Instances, fromReport(r, now))
	}
	text, err := proto.Marshal(out)
	if err != nil {
		panic("fleet: encode state: " + err.Error())
	}
	return change, instances, text
}

// logPersistence logs when writing starts to fail, and when it succeeds again; failed is whether
// the last write failed.
func (s *Source) logPersistence(err error, failed bool) {
	if (err != nil) == failed {
		return
	}
	if err != nil {
		s.log.Error().Str("event", "instances_not_written").Str("error", err.Error()).Msg("")
		return
	}
	s.log.Info().Str("event", "instances_written").Msg("")
}

// restore restores the state from a file.
func (s *Source) restore(path string) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return
	}
	var in wire.FleetResponse
	if err == nil {
		err = proto.Unmarshal(text, &in)
	}
	if err != nil {
		s.log.Error().Str("event", "instances_not_recalled").Str("path", path).Str("error", err.Error()).Msg("")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.restoredEntries, s.restoredAt = int(in.Entries), now
	for _, r := range in.Instances {
		s.registry.Restore(toReport(r, "", now), now, restoredHeartbeats*s.heartbeat)
	}
	for _, f := range wire.ToFacts(in.Facts, now) {
		s.own.facts.Merge(f)
	}
	s.notifyNow()
	s.log.Info().Str("event", "instances_recalled").Int("instances", len(in.Instances)).Msg("")
}
