package placement_test

import (
	"math"
	"math/rand/v2"
	"slices"
)

// scenario is the size and workload of one deployment.
type scenario struct {
	name                string
	engines, slots      int
	contexts            int
	meanBlocks          int
	shortestGap         float64 // seconds
	longestGap          float64
	cacheBlocks         int // per engine
	storeBlocks         int // per store
	stores              int
	linkRate            float64 // bytes per second
	bytesPerToken       float64
	prefillRate         float64
	outTokens           float64
	hours               float64
	recompute           float64 // weight of recomputed tokens
	loseStore, slowLink bool
	noEvents            bool
}

func compressor() scenario {
	return scenario{
		name: "compressor host", engines: 20, slots: 16, contexts: 16000, meanBlocks: 180, shortestGap: 120, longestGap: 86400,
		cacheBlocks: 14000, storeBlocks: 1000000, stores: 2, linkRate: 1.25e9, bytesPerToken: 32768, prefillRate: 8000,
		outTokens: 150, hours: 5, recompute: 0.0005,
	}
}

func nordmjol() scenario {
	return scenario{
		name: "Nordmjöl", engines: 15, slots: 16, contexts: 24000, meanBlocks: 60, shortestGap: 60, longestGap: 86400,
		cacheBlocks: 8000, storeBlocks: 500000, stores: 2, linkRate: 1.25e9, bytesPerToken: 32768, prefillRate: 8000,
		outTokens: 60, hours: 5, recompute: 0.00002,
	}
}

// peakDomain is one failure domain of a large deployment in its peak hour: a thirteenth of 2.7 million
// contexts and of 1,500 requests per second, with 447 tokens per answer. SHEDROCK_BENCH=letter
// selects it.
func peakDomain() scenario {
	return scenario{
		name: "letter's size, one failure domain", engines: 240, slots: 16, contexts: 208000, meanBlocks: 60, shortestGap: 60, longestGap: 9000,
		cacheBlocks: 8000, storeBlocks: 2000000, stores: 8, linkRate: 1.25e9, bytesPerToken: 32768, prefillRate: 8000,
		outTokens: 447, hours: 1, recompute: 0.00002,
	}
}

// arrival is the arrival of one prompt that continues a context.
type arrival struct {
	at      float64
	context int
}

// arrivals generates the arrivals; for the same random source they are the same for every policy.
func arrivals(s scenario, random *rand.Rand) []arrival {
	gap := func() float64 {
		return s.shortestGap * math.Exp(random.Float64()*math.Log(s.longestGap/s.shortestGap))
	}
	var out []arrival
	end := s.hours * 3600
	for context := range s.contexts {
		at := gap() * random.Float64()
		for at < end {
			out = append(out, arrival{at, context})
			at += gap()
		}
	}
	slices.SortFunc(out, func(a, b arrival) int {
		if a.at != b.at {
			return int(math.Copysign(1, a.at-b.at))
		}
		return a.context - b.context
	})
	return out
}
