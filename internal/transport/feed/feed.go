// Package feed distributes the declared state: a feed answers long polls with
// deltas, or with every document when the caller is too far behind, and a
// follower keeps a copy up to date from other processes' feeds.
//
// Both ends have the same interface, so a relay is a follower whose copy feeds
// the rest of its failure domain.
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
	// keptDeltas is how many changes a caller may be behind before it is sent
	// every document.
	keptDeltas = 1024
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
)

type report struct {
	applied *wire.Applied
	at      time.Time
}

// Feed holds the newest declared state and the changes that led to it. It is
// safe for concurrent use.
type Feed struct {
	mu sync.Mutex
	// state is the newest one; it is a copy and never changes.
	state *declared.State
	// deltas are ordered by revision without a gap, and end at state's.
	deltas []*wire.DocumentDelta
	// changed is closed and replaced at each change.
	changed     chan struct{}
	unconfirmed bool
	applied     map[string]report
}

// New returns an empty feed.
func New() *Feed {
	return &Feed{state: declared.New(), changed: make(chan struct{}), applied: map[string]report{}}
}

// Publish makes a state the newest one; an older one than the newest is ignored,
// so a feed's revision only rises. When it is one step on, the difference is
// found here.
func (f *Feed) Publish(s *declared.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var deltas []*wire.DocumentDelta
	if s.Revision() == f.state.Revision()+1 {
		deltas = deltasBetween(f.state, s)
	}
	f.put(s, deltas)
}

// PublishDeltas does the same for a state that was made from deltas, which are
// passed on as they are.
func (f *Feed) PublishDeltas(s *declared.State, deltas []*wire.DocumentDelta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(s, deltas)
}

// put makes a state the newest one; mu must be held. Deltas that do not lead from
// the state before to the new one are useless to callers, and all are forgotten.
func (f *Feed) put(s *declared.State, deltas []*wire.DocumentDelta) {
	if s.Revision() <= f.state.Revision() {
		return
	}
	if len(deltas) == 0 || deltas[0].Revision != f.state.Revision()+1 {
		f.deltas = nil
		deltas = nil
	}
	f.deltas = append(f.deltas, deltas...)
	if len(f.deltas) > keptDeltas {
		f.deltas = append([]*wire.DocumentDelta(nil), f.deltas[len(f.deltas)-keptDeltas:]...)
	}
	f.state = s.Clone()
	close(f.changed)
	f.changed = make(chan struct{})
}

// deltasBetween finds the difference of one step, which changes one document.
func deltasBetween(before, after *declared.State) []*wire.DocumentDelta {
	var deltas []*wire.DocumentDelta
	for _, kind := range declared.Kinds() {
		old, next, changed := textsOf(before, after, kind)
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

func textsOf(a, b *declared.State, kind declared.Kind) (old, next []byte, changed bool) {
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

// State returns the newest state, which must not be changed.
func (f *Feed) State() *declared.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// SetUnconfirmed says whether the feed's source is out of reach.
func (f *Feed) SetUnconfirmed(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unconfirmed = v
}

// Unconfirmed reports what SetUnconfirmed said last.
func (f *Feed) Unconfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unconfirmed
}

// Watch answers a long poll.
func (f *Feed) Watch(ctx context.Context, in *wire.WatchRequest) *wire.WatchResponse {
	f.note(in.Applied)
	wait := min(time.Duration(in.WaitMilliseconds)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := f.answer(in)
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

func (f *Feed) note(applied []*wire.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	for _, a := range applied {
		f.applied[a.Name] = report{a, now}
	}
}

// Applied returns what processes reported within a lifetime, by name. Those
// heard from longer ago are forgotten.
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

// answer makes the answer for a caller as things stand.
func (f *Feed) answer(in *wire.WatchRequest) (*wire.WatchResponse, <-chan struct{}) {
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

// Service serves a feed to other processes.
type Service struct{ Feed *Feed }

// Watch answers with what is newer than the caller's revision.
func (s Service) Watch(ctx context.Context, in *wire.WatchRequest) (*wire.WatchResponse, error) {
	return s.Feed.Watch(ctx, in), nil
}
