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
	// rememberInterval is how often what instances reported is written down, if anything
	// changed: heartbeats that repeat the last one change nothing.
	rememberInterval = 500 * time.Millisecond
	// recalledBeats is for how many heartbeats an instance that was written down counts
	// before it reports itself: until then, entries that start would have none.
	recalledBeats = 2
)

// Persist takes up the instances that were written to a file in an earlier life, and keeps
// it up to date until ctx ends. The file is no promise: without it, or with an old one, the
// instances are known again when they report, a heartbeat later.
func (s *Source) Persist(ctx context.Context, path string) {
	s.recall(path)
	go func() {
		ticker := time.NewTicker(rememberInterval)
		defer ticker.Stop()
		written, failed := uint64(0), false
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			change, text := s.memory(written)
			if text == nil {
				continue
			}
			err := disk.WriteFileAtomic(path, text)
			if err == nil {
				written = change
			}
			s.noteMemory(err, failed)
			failed = err != nil
		}
	}()
}

// memory returns what is to be written, or nil when nothing changed since a change.
func (s *Source) memory(written uint64) (change uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change = s.registry.Change() + s.facts.Change()
	if change == written {
		return change, nil
	}
	out := &wire.FleetResponse{Entries: uint32(s.countEntries())}
	now := clock.Now()
	facts, _ := s.facts.Since(0, s.facts.Len())
	out.Facts = wire.FromFacts(facts, now)
	for _, r := range s.registry.Since(0) {
		out.Instances = append(out.Instances, fromReport(r, now))
	}
	text, err := proto.Marshal(out)
	if err != nil {
		panic("fleet: reports failed to encode: " + err.Error())
	}
	return change, text
}

// noteMemory logs when writing begins to fail, and when it works again; failed is how the last
// one went.
func (s *Source) noteMemory(err error, failed bool) {
	if (err != nil) == failed {
		return
	}
	if err != nil {
		s.log.Error().Str("event", "instances_not_written").Str("error", err.Error()).Msg("")
		return
	}
	s.log.Info().Str("event", "instances_written").Msg("")
}

// recall takes up what was written.
func (s *Source) recall(path string) {
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
	s.recalledEntries, s.recalledAt = int(in.Entries), now
	for _, r := range in.Instances {
		s.registry.Restore(toReport(r, "", now), now, recalledBeats*s.heartbeat)
	}
	for _, f := range wire.ToFacts(in.Facts, now) {
		s.facts.Merge(f)
	}
	s.wake()
	s.log.Info().Str("event", "instances_recalled").Int("instances", len(in.Instances)).Msg("")
}
