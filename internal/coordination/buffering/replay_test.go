package buffering_test

import (
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/buffering"
)

const (
	// An entry of 184 MB holds an eighth of it.
	replayLimit   = 184 << 20 / 8
	replayStreams = 10_000
	replayEvents  = 120
	replayBytes   = 1600
	replayStep    = 100 * time.Millisecond
)

// replayStream is one answer: one event for each step. Its caller takes takes bytes in each step; one that
// takes nothing is broken off by the write timeout at the latest.
type replayStream struct {
	id                   buffering.ID
	begins, takes        int
	produced, read, held int
	delivered, pauses    int
	lastTaken            time.Time
	unread, longest      int
	broken               bool
}

// step reads what the engine has produced, and delivers what the caller takes.
func (s *replayStream) step(b *buffering.Budget, n int, now time.Time) (breakOff []buffering.ID) {
	if s.broken || n < s.begins || s.delivered == replayEvents*replayBytes {
		return nil
	}
	s.produced = min(s.produced+1, replayEvents)
	s.unread++
	for s.read < s.produced {
		if v, ok := b.Take(s.id, int(s.id)%3, replayBytes, now).(buffering.Pause); ok {
			s.pauses++
			breakOff = v.BreakOff
			break
		}
		if s.held == 0 {
			s.lastTaken = now
		}
		s.read++
		s.held += replayBytes
		s.unread = 0
	}
	s.longest = max(s.longest, s.unread)
	if n := min(s.held, s.takes); n > 0 {
		b.Delivered(s.id, n, now)
		s.held -= n
		s.delivered += n
		s.lastTaken = now
	} else if s.held > 0 && now.Sub(s.lastTaken) > buffering.StallTimeout+time.Second {
		b.End(s.id)
		s.broken = true
	}
	return breakOff
}

// Guards against a few slow callers taking the memory of all: with one slow caller in ten, half of which take
// nothing, no other answer waits, every answer that is taken is delivered whole, and only stalled ones are
// broken off.
func TestSlowCallersReplay(t *testing.T) {
	b := buffering.New(replayLimit)
	var streams []*replayStream
	for i := range replayStreams {
		s := &replayStream{id: buffering.ID(i), begins: i % 100, takes: replayEvents * replayBytes}
		if i%10 == 0 {
			s.takes = replayBytes / 5 * (i / 10 % 2)
		}
		streams = append(streams, s)
	}
	peak, broken, delivered, pauses, longest, early := 0, 0, 0, 0, 0, 0
	for n := range 1200 {
		now := start.Add(time.Duration(n) * replayStep)
		for _, s := range streams {
			for _, id := range s.step(b, n, now) {
				v := streams[id]
				if v.takes > 0 || now.Sub(v.lastTaken) < buffering.StallTimeout {
					t.Fatalf("answer %d is broken off, and its caller took something %s ago", id, now.Sub(v.lastTaken))
				}
				b.End(id)
				v.broken = true
				early++
			}
			peak = max(peak, b.Used())
		}
	}
	for _, s := range streams {
		fast := s.takes > replayBytes
		switch {
		case s.broken:
			broken++
		case s.delivered == replayEvents*replayBytes:
			delivered++
		}
		if fast && s.pauses > 0 || s.takes > 0 && s.broken {
			t.Fatalf("answer %d, of which %d bytes are taken in each step, was paused %d times, broken off: %t", s.id, s.takes, s.pauses, s.broken)
		}
		if s.pauses > 0 {
			pauses++
			longest = max(longest, s.longest)
		}
	}
	t.Logf("peak %d of %d bytes; %d delivered, %d broken off (%d of them by the budget); %d paused, the longest for %s",
		peak, replayLimit, delivered, broken, early, pauses, time.Duration(longest)*replayStep)
	if peak > replayLimit || delivered != replayStreams*95/100 || broken != replayStreams*5/100 || b.Used() != 0 {
		t.Errorf("peak %d, %d delivered, %d broken off, %d bytes left", peak, delivered, broken, b.Used())
	}
}
