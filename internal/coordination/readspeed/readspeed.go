// Package readspeed learns how fast engines compute prompts, and from that how long the shared
// parts of a prompt must be to be kept in a store.
package readspeed

import (
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

const (
	// DefaultMinTokens is the minimum while the reading speed or the speed of the store's link is not
	// known, and the highest minimum. Fewer tokens are computed again in less time (19 ms at 54
	// tokens/ms) than a transfer takes to set up (8 ms), plus a slow store's first byte (6 ms), plus
	// their queues.
	//
	// A learned minimum is not above it: engines also reuse what they have in their own memory, which
	// an entry cannot see and which makes them look faster. With parts kept no longer, all prompts
	// would look like that, and the minimum would stay too high.
	DefaultMinTokens = 1024
	// LowestMinTokens is the lowest minimum.
	LowestMinTokens = 128
	// minSampleTokens is the number of computed tokens from which a prompt is counted. With fewer,
	// most of the time to the first piece is not computing.
	minSampleTokens = 1024
	// window is the number of prompts from which the speed is determined, and minSamples the number
	// from which it is known.
	window     = 64
	minSamples = 32
	// fastestShare is the share of the prompts, 1/fastestShare, that the speed is the least of: the
	// slower ones waited for other prompts, for the network or for a fetch.
	fastestShare = 10
	// setupTime is the time that a fetch takes in addition to the first byte and the transfer.
	setupTime = 3 * time.Millisecond
	// bitsPerMegabit and bitsPerByte convert the units of links and of tokens.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// Estimator determines the reading speed of the engines of one service. The zero value has seen no
// prompts. It is not safe for concurrent use.
type Estimator struct {
	// samples holds the speeds of the last prompts in tokens per second; count is that of all prompts.
	samples [window]float64
	count   int
	speed   float64
}

// Record records that an engine sent the first piece of an answer in the given time, for which it
// computed some tokens. Prompts that are too short are ignored.
func (e *Estimator) Record(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	e.samples[e.count%window] = float64(tokens) / took.Seconds()
	e.count++
	if e.count < minSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(e.samples[:min(e.count, window)]))
	e.speed = sorted[len(sorted)-1-len(sorted)/fastestShare]
}

// Speed returns the reading speed in tokens per second, or 0 while it is not known.
func (e *Estimator) Speed() float64 { return e.speed }

// MinTokens returns the number of shared tokens from which a prompt's parts are kept in a store: from
// there on, an engine in the given failure domain computes them, at a speed in tokens per second, for
// longer than it fetches them.
func MinTokens(speed float64, store deployment.Store, tokenBytes int, domain string) int {
	if speed <= 0 || store.LinkRate <= 0 || tokenBytes <= 0 {
		return DefaultMinTokens
	}
	transfer := float64(tokenBytes) * bitsPerByte / (store.LinkRate * bitsPerMegabit)
	if store.FailureDomain != domain {
		transfer *= keeping.CrossDomainFactor
	}
	gain := 1/speed - transfer
	if gain <= 0 {
		return DefaultMinTokens
	}
	tokens := math.Floor((setupTime+store.FirstByte).Seconds()/gain) + 1
	return int(min(max(tokens, LowestMinTokens), DefaultMinTokens))
}
