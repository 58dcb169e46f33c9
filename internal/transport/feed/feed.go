// Package feed distributes the declared state. A feed answers long polls with
// deltas, or with all documents if the caller is too far behind. A follower keeps
// a local feed up to date by polling another process's feed.
//
// A follower's local feed can be served in turn, so a relay is a follower whose
// feed is polled by the rest of its failure domain.
package feed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
)

const (
	// maxDeltas is the number of deltas that are retained. A caller that is further
	// behind gets all documents.
	maxDeltas = 1024
	// maxWait bounds how long a long poll waits for a change.
	maxWait = 30 * time.Second
)

type appliedReport struct {
	applied *wire.Applied
	at      time.Time
}

// Feed holds the newest declared state and the deltas of the last changes. It
// is safe for concurrent use.
type Feed struct {
	mu sync.Mutex
	// state is a copy of the newest state. It is replaced and never modified.
	state *declared.State
	// deltas are ordered by revision without gaps; the last one leads to state.
	deltas []*wire.DocumentDelta
	// changed is closed and replaced at each change of state.
	changed     chan struct{}
	unconfirmed bool
	applied     map[string]appliedReport
}

// New returns an empty feed.
func New() *Feed {
	return &Feed{state: declared.New(), changed: make(chan struct{}), applied: map[string]appliedReport{}}
}

// Publish makes s the newest state. It ignores a state that is not newer than the
// current one, so a feed's revision never decreases. If s is one revision ahead,
// its deltas are computed here.
func (f *Feed) Publish(s *declared.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var deltas []*wire.DocumentDelta
	if s.Revision() == f.state.Revision()+1 {
		deltas = deltasBetween(f.state, s)
	}
	f.setState(s, deltas)
}

// PublishDeltas is like Publish, for a state that was made from the given deltas,
// which are served unchanged.
func (f *Feed) PublishDeltas(s *declared.State, deltas []*wire.DocumentDelta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setState(s, deltas)
}

// setState makes s the newest state, if it is newer; mu must be held. If the deltas do
// not lead from the current state to s, they and all retained ones are discarded, since
// callers could not apply them.
func (f *Feed) setState(s *declared.State, deltas []*wire.DocumentDelta) {
	if s.Revision() <= f.state.Revision() {
		return
	}
	if len(deltas) == 0 || deltas[0].Revision != f.state.Revision()+1 {
		f.deltas = nil
		deltas = nil
	}
	f.deltas = append(f.deltas, deltas...)
	if len(f.deltas) > maxDeltas {
		f.deltas = append([]*wire.DocumentDelta(nil), f.deltas[len(f.deltas)-maxDeltas:]...)
	}
	f.state = s.Clone()
	close(f.changed)
	f.changed = make(chan struct{})
}

// deltasBetween returns the deltas between two consecutive revisions, of which each
// changes one document.
func deltasBetween(before, after *declared.State) []*wire.DocumentDelta {
	var deltas []*wire.DocumentDelta
	for _, kind := range declared.Kinds() {
		old, next, changed := changedTexts(before, after, kind)
		if !changed {
			continue
		}
		d := declared.DeltaBetween(old, next)
		deltas = append(deltas, &wire.DocumentDelta{
			Revision: after.Revision(),
			Kind:     string(kind),
			Prefix:   uint32(d.Prefix),
			Suffix:   uint32(d.Suffix),
			Middle:   d.Middle,
			Checksum: xxhash.Sum64(next),
		})
	}
	return deltas
}

func changedTexts(a, b *declared.State, kind declared.Kind) (old, next []byte, changed bool) {
	before, _ := a.Document(kind)
	after, ok := b.Document(kind)
	if !ok || before == after {
		return nil, nil, false
	}
	if before != nil {
		old = before.Text()
	}
	return old, after.Text(), true
}

// State returns the newest state, which must not be modified.
func (f *Feed) State() *declared.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// SetUnconfirmed sets whether the feed's source is unreachable or itself unconfirmed.
func (f *Feed) SetUnconfirmed(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unconfirmed = v
}

// Unconfirmed returns the value last set by SetUnconfirmed.
func (f *Feed) Unconfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unconfirmed
}

// Watch answers a long poll: at once if the caller is behind, else at the next change or
// when the poll's time is over.
func (f *Feed) Watch(ctx context.Context, in *wire.WatchRequest) *wire.WatchResponse {
	f.recordApplied(in.Applied)
	wait := min(time.Duration(in.WaitMilliseconds)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := f.currentResponse(in)
		if answer.Full || len(answer.Deltas) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

func (f *Feed) recordApplied(applied []*wire.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for _, a := range applied {
		f.applied[a.Name] = appliedReport{a, now}
	}
}

// Applied returns the reports received within the last lifetime, sorted by process
// name, and deletes older ones.
func (f *Feed) Applied(lifetime time.Duration) []*wire.Applied {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*wire.Applied
	for name, r := range f.applied {
		if clock.Since(r.at) > lifetime {
			delete(f.applied, name)
			continue
		}
		out = append(out, r.applied)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// currentResponse returns the response to a caller for the current state, and the channel
// that is closed at the next change.
func (f *Feed) currentResponse(in *wire.WatchRequest) (*wire.WatchResponse, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &wire.WatchResponse{Revision: f.state.Revision(), Unconfirmed: f.unconfirmed}
	if in.Revision >= f.state.Revision() {
		return out, f.changed
	}
	for i, d := range f.deltas {
		if d.Revision == in.Revision+1 && !in.Full {
			out.Deltas = f.deltas[i:]
			return out, f.changed
		}
	}
	out.Full = true
	out.Superseded = f.state.SupersededVersions()
	out.Evacuated = f.state.EvacuatedDomains()
	for _, kind := range declared.Kinds() {
		d, ok := f.state.Document(kind)
		if ok {
			out.Documents = append(out.Documents, &wire.DocumentText{Kind: string(kind), Text: d.Text()})
		}
	}
	return out, f.changed
}

// Service implements the feed's wire service.
type Service struct{ Feed *Feed }

// Watch returns the changes since the caller's revision.
func (s Service) Watch(ctx context.Context, in *wire.WatchRequest) (*wire.WatchResponse, error) {
	return s.Feed.Watch(ctx, in), nil
}
