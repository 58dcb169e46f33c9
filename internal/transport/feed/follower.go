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
	// pollWait is how long a follower's long poll waits for a change. It is also the
	// interval of a follower's reports while nothing changes.
	pollWait = 5 * time.Second
	// pollGrace is how long after pollWait a source counts as unreachable.
	pollGrace = 2 * time.Second
	// searchTimeout bounds a poll while no source is known to be reachable.
	searchTimeout = time.Second
	// minRetryWait is the shortest wait after a failure; a random time of up to
	// maxRetryJitter is added.
	minRetryWait   = 100 * time.Millisecond
	maxRetryJitter = 200 * time.Millisecond
)

// Follower keeps a feed up to date by polling a source. Set the exported fields, then
// call Run.
type Follower struct {
	// Feed receives the changes.
	Feed *Feed
	// Source returns the address to poll; ok is false if there is none. It is called
	// before each poll, so that a change of relay takes effect at the next one.
	Source func() (address string, ok bool)
	// Self returns this process's report of the revision in force.
	Self func() *wire.Applied
	// Enforce puts a state in force in this process. It returns once the state is in
	// force, so that the next poll reports it.
	Enforce func(*declared.State)
	// Store, when set, stores each new state durably before it is put in force.
	Store func(*declared.State) error
	// Client is used for the polls.
	Client *http.Client
	Log    *log.Logger
	// requestFull makes the next poll request all documents.
	requestFull bool
}

// Run polls the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil && f.Feed.State().Revision() > 0 && !f.Feed.Unconfirmed() {
			continue
		}
		if err == nil {
			err = errors.New("the source has no declared state, or cannot reach its own source")
		}
		f.Log.Debug().Str("event", "feed_retry").Str("error", err.Error()).Msg("")
		select {
		case <-ctx.Done():
		case <-time.After(minRetryWait + rand.N(maxRetryJitter)):
		}
	}
}

func (f *Follower) poll(ctx context.Context) error {
	address, ok := f.Source()
	if !ok {
		f.Feed.SetUnconfirmed(true)
		return errors.New("no source is reachable")
	}
	wait, timeout := pollWait, pollWait+pollGrace
	if f.Feed.Unconfirmed() || f.Feed.State().Revision() == 0 {
		// No source is known to be reachable: do not wait for a change, so that a source
		// that does not answer is soon given up.
		wait, timeout = 0, searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &wire.WatchRequest{
		Revision:         f.Feed.State().Revision(),
		Applied:          append(f.Feed.Applied(2*pollWait), f.Self()),
		WaitMilliseconds: uint32(wait.Milliseconds()),
		Full:             f.requestFull,
	}
	answer, err := wire.NewFeedProtobufClient("http://"+address, f.Client).Watch(ctx, request)
	if err != nil {
		f.Feed.SetUnconfirmed(true)
		return err
	}
	f.Feed.SetUnconfirmed(answer.Unconfirmed)
	return f.ApplyResponse(answer)
}

// ApplyResponse puts the state of a response in force, unless it is not newer than the
// current one. If the response cannot be applied, the next poll requests all documents.
func (f *Follower) ApplyResponse(answer *wire.WatchResponse) error {
	f.requestFull = false
	state := f.Feed.State()
	if answer.Revision <= state.Revision() {
		return nil
	}
	next, err := nextState(state, answer)
	if err != nil {
		f.requestFull = true
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

// nextState returns the state that results from a response. Deltas are applied to the
// texts first, so that each document is parsed once, however many deltas it has.
func nextState(state *declared.State, answer *wire.WatchResponse) (*declared.State, error) {
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
			return nil, errors.Errorf("cannot parse a document that is in force at the source: %s", faults[0])
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

// patchAll applies consecutive deltas and returns the texts of the documents that changed.
func patchAll(state *declared.State, deltas []*wire.DocumentDelta) ([]*wire.DocumentText, error) {
	changed := map[string][]byte{}
	revision := state.Revision()
	for _, delta := range deltas {
		if delta.Revision != revision+1 {
			return nil, errors.Errorf("delta to revision %d does not follow revision %d", delta.Revision, revision)
		}
		revision = delta.Revision
		old, ok := changed[delta.Kind]
		if !ok {
			old = textOf(state, delta.Kind)
		}
		d := declared.Delta{Prefix: int(delta.Prefix), Suffix: int(delta.Suffix), Middle: delta.Middle}
		next, ok := d.Patch(old)
		if !ok || xxhash.Sum64(next) != delta.Checksum {
			return nil, errors.Errorf("delta to revision %d does not match the current document", delta.Revision)
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
