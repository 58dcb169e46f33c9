package arbiter

import (
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// grantDelay is the longest time until the reports that arrive include a granted request.
	grantDelay = balance.MaxLoadDelay
	// releaseDelay is the time from a release until the reports that arrive do not include the run: engines
	// report their loads 0.2 s late, and entries send releases 0.05 s late. A longer one grants memory that
	// is not free, and prompts then wait for it at the engine.
	releaseDelay = 150 * time.Millisecond
	// maxLoadAge is the age from which a load is not used. Several polls of the engine have failed then.
	maxLoadAge = 1500 * time.Millisecond
)

// engine is what is known of an engine.
type engine struct {
	target registry.Incarnation
	// hash is the hash of its id.
	hash uint64
	// load is its latest report, and reported when that arrived; zero if there is none.
	load     balance.EngineLoad
	reported time.Time
	// recent holds the open grants that the report may not include yet, and released the grants that it may
	// still include although they were released, the oldest first.
	recent   []*grant
	released []releasedGrant
	// granted is when it was last granted a request.
	granted time.Time
}

type releasedGrant struct {
	tokens int
	at     time.Time
}

// known reports whether the engine's load is recent enough to be used.
func (e *engine) known(now time.Time) bool {
	return !e.reported.IsZero() && now.Sub(e.reported) <= maxLoadAge
}

// free returns how many tokens of its memory are free.
func (e *engine) free(memory int) int {
	used := e.load.Used
	for _, g := range e.released {
		used -= g.tokens
	}
	return memory - max(used, 0) - e.reserved()
}

// reserved returns the tokens of the grants that the report may not include yet.
func (e *engine) reserved() (tokens int) {
	for _, g := range e.recent {
		tokens += g.tokens
	}
	return tokens
}

// fits reports whether a long prompt has room.
func (e *engine) fits(tokens, memory int) bool {
	return e.load.FitsLong(tokens, memory, e.free(memory))
}

// record takes over a report, unless it is older than the known one.
func (e *engine) record(load balance.EngineLoad, at time.Time) {
	if at.Before(e.reported) {
		return
	}
	e.load, e.reported = load, at
	e.recent = slices.DeleteFunc(e.recent, func(g *grant) bool { return at.Sub(g.at) > grantDelay })
	e.released = slices.DeleteFunc(e.released, func(g releasedGrant) bool { return at.Sub(g.at) > releaseDelay })
}

func (e *engine) grant(g *grant) {
	e.recent = append(e.recent, g)
	e.granted = g.at
}

// release ends a grant. The report may include it unless it may also not include its beginning yet.
func (e *engine) release(g *grant, now time.Time) {
	if !e.drop(g) && now.Sub(e.reported) <= maxLoadAge {
		e.released = append(e.released, releasedGrant{tokens: g.tokens, at: now})
	}
}

// drop forgets a grant, and reports whether the report may not include it yet.
func (e *engine) drop(g *grant) bool {
	i := slices.Index(e.recent, g)
	if i < 0 {
		return false
	}
	e.recent = slices.Delete(e.recent, i, i+1)
	return true
}
