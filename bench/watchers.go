package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

// watchers follow the declared state as entries do: some as relays, the rest behind
// them, all in this process.
type watchers struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// seen holds, for each watcher, its revision and when it came into force.
	seen    []uint64
	at      []time.Time
	changed chan struct{}
	gate    sync.RWMutex
}

func newWatchers(l *lab, control []string, relays, each int) *watchers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watchers{cancel: cancel, changed: make(chan struct{})}
	l.cancels = append(l.cancels, cancel)
	for i := range relays {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		f := w.follow(ctx, control[i%len(control)])
		mux := http.NewServeMux()
		server := wire.NewFeedServer(feed.Service{Feed: f})
		mux.Handle(server.PathPrefix(), server)
		w.wg.Go(func() { _ = rpc.Serve(ctx, listener, mux) })
		for range each {
			w.follow(ctx, listener.Addr().String())
		}
	}
	return w
}

// follow starts one watcher.
func (w *watchers) follow(ctx context.Context, source string) *feed.Feed {
	w.mu.Lock()
	n := len(w.seen)
	w.seen = append(w.seen, 0)
	w.at = append(w.at, time.Time{})
	w.mu.Unlock()
	f := feed.New()
	follower := &feed.Follower{
		Feed: f, Client: rpc.NewClient(), Log: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Source: func() (string, bool) {
			w.gate.RLock()
			defer w.gate.RUnlock()
			return source, true
		},
		Self:    func() *wire.Applied { return &wire.Applied{Name: source} },
		Enforce: func(s *declared.State) { w.note(n, s.Revision()) },
	}
	w.wg.Go(func() { follower.Run(ctx) })
	return f
}

func (w *watchers) note(n int, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[n] = revision
	w.at[n] = time.Now()
	close(w.changed)
	w.changed = make(chan struct{})
}

// waitFor waits until every watcher has a revision.
func (w *watchers) waitFor(revision uint64) {
	for {
		w.mu.Lock()
		ok := true
		for _, s := range w.seen {
			ok = ok && s >= revision
		}
		changed := w.changed
		w.mu.Unlock()
		if ok {
			return
		}
		<-changed
	}
}

// times says how long after a moment each watcher had its revision.
func (w *watchers) times(since time.Time) []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []time.Duration
	for _, at := range w.at {
		out = append(out, at.Sub(since))
	}
	return out
}

// pause keeps the watchers from asking until the returned function is called.
func (w *watchers) pause() (resume func()) {
	w.gate.Lock()
	return w.gate.Unlock
}

func (w *watchers) stop() {
	w.cancel()
	w.wg.Wait()
}
