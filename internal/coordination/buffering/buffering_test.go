package buffering_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/shedrock/shedrock/internal/coordination/buffering"
)

var start = time.Unix(0, 0)

// Guards against a process that runs out of memory, and against bytes that are never released: in any order of
// calls, what is held is what was taken and not given back, and never above the limit.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1<<10, 2<<20).Draw(t, "limit")
		b := buffering.New(limit)
		held := map[buffering.ID]int{}
		named := map[buffering.ID]bool{}
		progress := map[buffering.ID]time.Time{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := buffering.ID(rapid.IntRange(1, 8).Draw(t, "id"))
			bytes := rapid.IntRange(1, limit).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				b.End(id)
				delete(held, id)
				delete(named, id)
			case 1:
				if held[id] > 0 {
					bytes = min(bytes, held[id])
					b.Delivered(id, bytes, now)
					held[id] -= bytes
					progress[id] = now
				}
			default:
				switch v := b.Take(id, int(id)%3, bytes, now).(type) {
				case buffering.Hold:
					if held[id] == 0 {
						progress[id] = now
						delete(named, id)
					}
					held[id] += bytes
				case buffering.Pause:
					for _, broken := range v.BreakOff {
						if named[broken] || held[broken] == 0 || now.Sub(progress[broken]) < buffering.StallTimeout {
							t.Fatalf("answer %d is broken off again, or its caller took something %s ago", broken, now.Sub(progress[broken]))
						}
						named[broken] = true
					}
				}
			}
			sum, answers := 0, 0
			for _, n := range held {
				sum += n
				answers += min(n, 1)
			}
			if b.Used() != sum || b.Answers() != answers || sum > limit {
				t.Fatalf("%d bytes of %d answers, want %d of %d, limit %d", b.Used(), b.Answers(), sum, answers, limit)
			}
		}
	})
}

// Guards against the bound of one answer being enforced while there is room, and against one that takes it all.
func TestOneAnswerIsBoundedOnceHalfIsUsed(t *testing.T) {
	const limit, piece = 16 << 20, 1 << 10
	b := buffering.New(limit)
	fill := func(id buffering.ID) (held int) {
		for {
			if _, ok := b.Take(id, 0, piece, start).(buffering.Hold); !ok {
				return held
			}
			held += piece
		}
	}
	if diff := cmp.Diff([]int{limit / 2, limit / 16, limit / 16}, []int{fill(1), fill(2), fill(3)}); diff != "" {
		t.Error(diff)
	}
}

// Guards against the wrong answers being broken off: only stalled ones, only until there is room, and the
// largest and least urgent first.
func TestBreakOffOrder(t *testing.T) {
	const limit = 1 << 20
	b := buffering.New(limit)
	take := func(id buffering.ID, urgency, bytes int, at time.Time) []buffering.ID {
		if v, ok := b.Take(id, urgency, bytes, at).(buffering.Pause); ok {
			return v.BreakOff
		}
		return nil
	}
	take(1, 0, 400<<10, start)
	// Each of the others has just enough room when it is asked.
	for id, bytes := range map[buffering.ID]int{2: 64 << 10, 3: 60 << 10, 4: 60 << 10} {
		take(id, int(id)%2*8, bytes, start)
	}
	for id := buffering.ID(10); b.Used() < limit*4/5; id++ {
		take(id, 0, 30<<10, start)
	}
	b.Delivered(1, 1, start.Add(5*time.Second))
	early := take(99, 0, limit, start.Add(buffering.StallTimeout-1))
	late := take(99, 0, limit, start.Add(buffering.StallTimeout+time.Second))
	again := take(99, 0, limit, start.Add(buffering.StallTimeout+1100*time.Millisecond))
	if diff := cmp.Diff([][]buffering.ID{nil, {3}, nil}, [][]buffering.ID{early, late, again}); diff != "" {
		t.Error(diff)
	}
}
