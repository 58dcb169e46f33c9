package feed_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const waitTimeout = 20 * time.Second

// source is a feed served over RPC, and the state that is published to it.
type source struct {
	feed    *feed.Feed
	state   *declared.State
	address string
	answers []*wire.WatchResponse
}

// Watch calls the feed's Watch and records the answer.
func (s *source) Watch(ctx context.Context, in *wire.WatchRequest) (*wire.WatchResponse, error) {
	answer := s.feed.Watch(ctx, in)
	s.answers = append(s.answers, answer)
	return answer, nil
}

func newSource(t *testing.T) *source {
	t.Helper()
	s := &source{feed: feed.New(), state: declared.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := wire.NewFeedServer(s)
	mux := http.NewServeMux()
	mux.Handle(server.PathPrefix(), server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, listener, mux)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// publishChanges applies n changes to the state and publishes each.
func (s *source) publishChanges(t *testing.T, n int) {
	t.Helper()
	for range n {
		version := s.state.Revision() + 1
		text := fmt.Sprintf("document: models\nversion: %d\nmodels:\n  - {name: m, weight_version: v%d, kv_bytes_per_token: 1, max_prompt_tokens: 1}\n", version, version)
		d, faults := declared.Parse("f", []byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		s.state.Apply(d)
		s.feed.Publish(s.state)
	}
}

// follow runs a follower of the source until a revision is in force. It returns the revisions
// that were enforced.
func (s *source) follow(t *testing.T, f *feed.Feed, revision uint64) (enforced []uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	follower := &feed.Follower{
		Feed: f, Client: rpc.NewClient(), Log: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Source: func() (string, bool) { return s.address, true },
		Self:   func() *wire.Applied { return &wire.Applied{Name: "e", Revision: f.State().Revision()} },
		Enforce: func(state *declared.State) {
			enforced = append(enforced, state.Revision())
			if state.Revision() == revision {
				cancel()
			}
		},
	}
	follower.Run(ctx)
	if f.State().Revision() != revision {
		t.Fatalf("revision %d, want %d", f.State().Revision(), revision)
	}
	return enforced
}

// TestBehindByManyChanges checks that a follower that is 600 changes behind gets deltas, and
// that one behind by more changes than are retained gets all documents.
func TestBehindByManyChanges(t *testing.T) {
	s := newSource(t)
	s.publishChanges(t, 1)
	f := feed.New()
	s.follow(t, f, 1)
	s.publishChanges(t, 600)
	if diff := cmp.Diff([]uint64{601}, s.follow(t, f, 601)); diff != "" {
		t.Fatal(diff)
	}
	last := s.answers[len(s.answers)-1]
	if last.Full || len(last.Deltas) != 600 {
		t.Fatalf("full %v, %d deltas", last.Full, len(last.Deltas))
	}
	s.publishChanges(t, 1500)
	s.follow(t, f, 2101)
	if last := s.answers[len(s.answers)-1]; !last.Full {
		t.Fatalf("%d deltas", len(last.Deltas))
	}
	m, _ := f.State().Model("m")
	if m.WeightVersion() != "v2101" {
		t.Fatal(m.WeightVersion())
	}
}

// TestRelayPassesDeltasOn checks that the follower of a follower gets the deltas.
func TestRelayPassesDeltasOn(t *testing.T) {
	s := newSource(t)
	s.publishChanges(t, 1)
	relay := newSource(t)
	leaf := feed.New()
	s.follow(t, relay.feed, 1)
	relay.follow(t, leaf, 1)
	s.publishChanges(t, 40)
	s.follow(t, relay.feed, 41)
	relay.follow(t, leaf, 41)
	if last := relay.answers[len(relay.answers)-1]; last.Full || len(last.Deltas) != 40 {
		t.Fatalf("the relay sent full %v, %d deltas", last.Full, len(last.Deltas))
	}
}

// TestRevisionNeverDecreases publishes an older state and applies a delta that does not match
// the current document; neither may change the revision.
func TestRevisionNeverDecreases(t *testing.T) {
	s := newSource(t)
	s.publishChanges(t, 5)
	f := feed.New()
	s.follow(t, f, 5)
	old := newSource(t)
	old.publishChanges(t, 3)
	f.Publish(old.state)
	follower := &feed.Follower{Feed: f, Enforce: func(*declared.State) { t.Fatal("an older state was enforced") },
		Log: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}}
	if err := follower.ApplyResponse(&wire.WatchResponse{Revision: 3, Full: true}); err != nil {
		t.Fatal(err)
	}
	wrong := &wire.WatchResponse{Revision: 6, Deltas: []*wire.DocumentDelta{{Revision: 6, Kind: "models", Prefix: 1, Suffix: 1, Middle: []byte("x"), Checksum: 1}}}
	if err := follower.ApplyResponse(wrong); err == nil {
		t.Fatal("a delta that does not match the document was applied")
	}
	if f.State().Revision() != 5 {
		t.Fatalf("revision %d", f.State().Revision())
	}
}
