package feed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
)

const (
	// pollWait is how long a follower's long poll waits for a change; it is also
	// how often a follower is heard when nothing changes.
	pollWait = 5 * time.Second
	// pollSlack is added to pollWait before a source counts as out of reach.
	pollSlack = 2 * time.Second
	// searchTimeout bounds a poll while no source is known to be in reach.
	searchTimeout = time.Second
	// retryWait is the shortest wait after a failure, and retryJitter is added.
	retryWait   = 100 * time.Millisecond
	retryJitter = 200 * time.Millisecond
)

// Follower keeps a feed up to date from a source. Set the fields, then Run.
type Follower struct {
	// Feed receives the changes.
	Feed *Feed
	// Source returns the address to follow now; it is asked before each poll, so
	// a change of relay takes effect at the next one.
	Source func() (address string, ok bool)
	// Self names this process in reports of what is in force.
	Self func() *wire.Applied
	// Enforce puts a state in force in this process. It returns when it is, so
	// that the next poll reports it.
	Enforce func(*declared.State)
	// Store, when set, stores each new state durably before it is in force.
	Store func(*declared.State) error
	// Client carries the calls.
	Client *http.Client
	// Log receives one line for each event.
	Log *log.Logger
	// full asks for every document at the next poll.
	full bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil && f.Feed.State().Revision() > 0 && !f.Feed.Unconfirmed() {
			continue
		}
		if err == nil {
			err = errors.New("the source has nothing, or is cut off itself")
		}
		f.Log.Debug().Str("event", "feed_retry").Str("error", err.Error()).Msg("")
		select {
		case <-ctx.Done():
		case <-time.After(retryWait + rand.N(retryJitter)):
		}
	}
}

func (f *Follower) poll(ctx context.Context) error {
	address, ok := f.Source()
	if !ok {
		f.Feed.SetUnconfirmed(true)
		return errors.New("no source is in reach")
	}
	wait, limit := pollWait, pollWait+pollSlack
	if f.Feed.Unconfirmed() || f.Feed.State().Revision() == 0 {
		// Looking for a source: one that does not answer at once is passed over.
		wait, limit = 0, searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := &wire.WatchRequest{
		Revision:         f.Feed.State().Revision(),
		Applied:          append(f.Feed.Applied(2*pollWait), f.Self()),
		WaitMilliseconds: uint32(wait.Milliseconds()),
		Full:             f.full,
	}
	answer, err := wire.NewFeedProtobufClient("http://"+address, f.Client).Watch(ctx, request)
	if err != nil {
		f.Feed.SetUnconfirmed(true)
		return err
	}
	f.Feed.SetUnconfirmed(answer.Unconfirmed)
	return f.Take(answer)
}

// Take puts an answer in force, unless it is older than what is.
func (f *Follower) Take(answer *wire.WatchResponse) error {
	f.full = false
	state := f.Feed.State()
	if answer.Revision <= state.Revision() {
		return nil
	}
	next, err := stateOf(state, answer)
	if err != nil {
		f.full = true
		return err
	}
	if f.Store != nil {
		err := f.Store(next)
		if err != nil {
			return errors.Wrap(err, "store the declared state")
		}
	}
	f.Enforce(next)
	f.Feed.PublishDeltas(next, answer.Deltas)
	f.Log.Info().Str("event", "in_force").Uint64("revision", answer.Revision).Bool("full", answer.Full).Msg("")
	return nil
}

// stateOf makes the state that an answer leads to. Texts are patched step by
// step, and each document is parsed once, however many steps there are.
func stateOf(state *declared.State, answer *wire.WatchResponse) (*declared.State, error) {
	texts := answer.Documents
	if !answer.Full {
		var err error
		texts, err = patchAll(state, answer.Deltas)
		if err != nil {
			return nil, err
		}
	}
	var docs []*declared.Document
	for _, t := range texts {
		d, faults := declared.Parse(t.Kind, t.Text)
		if len(faults) > 0 {
			return nil, errors.Errorf("a document in force does not parse here: %s", faults[0])
		}
		docs = append(docs, d)
	}
	next := state.Clone()
	next.Install(answer.Revision, docs...)
	if answer.Full {
		next.SetSupersededVersions(answer.Superseded)
		next.SetEvacuatedDomains(answer.Evacuated)
	}
	return next, nil
}

// patchAll applies deltas in order and returns the texts that they changed.
func patchAll(state *declared.State, deltas []*wire.DocumentDelta) ([]*wire.DocumentText, error) {
	changed := map[string][]byte{}
	revision := state.Revision()
	for _, delta := range deltas {
		if delta.Revision != revision+1 {
			return nil, errors.Errorf("a delta to revision %d does not follow %d", delta.Revision, revision)
		}
		revision = delta.Revision
		old, ok := changed[delta.Kind]
		if !ok {
			old = textOf(state, delta.Kind)
		}
		d := declared.Delta{Prefix: int(delta.Prefix), Suffix: int(delta.Suffix), Middle: delta.Middle}
		next, ok := d.Patch(old)
		if !ok || xxhash.Sum64(next) != delta.Checksum {
			return nil, errors.Errorf("the delta to revision %d does not fit", delta.Revision)
		}
		changed[delta.Kind] = next
	}
	var texts []*wire.DocumentText
	for _, kind := range declared.Kinds() {
		if text, ok := changed[string(kind)]; ok {
			texts = append(texts, &wire.DocumentText{Kind: string(kind), Text: text})
		}
	}
	return texts, nil
}

func textOf(state *declared.State, kind string) []byte {
	d, ok := state.Document(declared.Kind(kind))
	if !ok {
		return nil
	}
	return d.Text()
}
