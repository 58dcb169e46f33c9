package returns

import "time"

const (
	// rateWindow is the time over which the rate of releases is learned, in slots of slotTime.
	rateWindow = 4 * time.Second
	slotTime   = 100 * time.Millisecond
	slots      = int64(rateWindow / slotTime)
	// minRateTime is the shortest time that the first releases are taken to stand for.
	minRateTime = 500 * time.Millisecond
)

// rate is the rate of releases in the last rateWindow.
type rate struct {
	// tokens holds the released tokens by slot, modulo the number of slots; slot is the newest, in
	// slots since began, the time of the first release after a window without any.
	tokens [slots]int
	slot   int64
	began  time.Time
}

func (r *rate) add(tokens int, now time.Time) {
	r.advance(now)
	if r.sum() == 0 {
		*r = rate{began: now}
	}
	r.tokens[r.slot%slots] += tokens
}

// advance clears the slots that are outside the window. Time does not go back.
func (r *rate) advance(now time.Time) {
	newest := int64(now.Sub(r.began) / slotTime)
	if newest-r.slot >= slots {
		r.tokens = [slots]int{}
		r.slot = newest
	}
	for r.slot < newest {
		r.slot++
		r.tokens[r.slot%slots] = 0
	}
}

func (r *rate) sum() (tokens int) {
	for _, n := range r.tokens {
		tokens += n
	}
	return tokens
}

// perSecond returns the rate in tokens per second, if any release is known.
func (r *rate) perSecond(now time.Time) (tokens float64, known bool) {
	r.advance(now)
	sum := r.sum()
	length := min(rateWindow, max(minRateTime, now.Sub(r.began)))
	return float64(sum) / length.Seconds(), sum > 0
}
