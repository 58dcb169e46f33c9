package fleet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/ends"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// heartbeat is so long that a poll that was in progress at a restart ends before the restarted
// source would report an instance as silent.
const heartbeat = 400 * time.Millisecond

var discardLogger = &log.Logger{Level: log.PanicLevel}

// controlServer serves a source, which can be replaced as by a restart.
type controlServer struct {
	server *httptest.Server
	source atomic.Pointer[fleet.Source]
	// polls counts the polls, and textRequests the requests for the configuration's text.
	polls, textRequests atomic.Int64
	// unresponsive leaves requests for the configuration's text without an answer.
	unresponsive atomic.Bool
	t            *testing.T
}

func newControl(t *testing.T) *controlServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newControlAt(t, listener)
}

func newControlAt(t *testing.T, listener net.Listener) *controlServer {
	t.Helper()
	c := &controlServer{t: t}
	c.restart()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/ConfigurationPieces") {
			c.textRequests.Add(1)
			if c.unresponsive.Load() {
				// The server detects a closed connection only once the request's body has been
				// read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
		} else {
			c.polls.Add(1)
		}
		wire.NewFleetServer(c.source.Load()).ServeHTTP(w, r)
	})
	c.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	c.server.Start()
	t.Cleanup(c.server.Close)
	return c
}

func (c *controlServer) restart() {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	c.source.Store(fleet.NewSource(ctx, heartbeat, discardLogger))
}

func (c *controlServer) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *controlServer) publishConfig(version uint64) {
	c.source.Load().Publish(ledger.Installed{Version: version, Text: []byte(strconv.FormatUint(version, 10))}, nil)
}

func instance(id string, sequence uint64) registry.Instance {
	return registry.Instance{ID: id, Service: "s", Address: "at " + id, Sequence: sequence}
}

// follow starts a follower of some sources whose configurations are plain version numbers.
func follow(t *testing.T, controls ...*controlServer) *fleet.Follower {
	t.Helper()
	return followAs(t, "e", controls...)
}

func followAs(t *testing.T, name string, controls ...*controlServer) *fleet.Follower {
	t.Helper()
	return followWith(t, name, nil, controls...)
}

// followWith starts a follower that exchanges facts between the sources and a tracker.
func followWith(t *testing.T, name string, tracker *ends.Tracker, controls ...*controlServer) *fleet.Follower {
	t.Helper()
	f := &fleet.Follower{
		Name: name, Entry: true, Heartbeat: heartbeat, Ends: tracker, Log: discardLogger,
		Seeds: func() []string {
			var out []string
			for _, c := range controls {
				out = append(out, c.address())
			}
			return out
		},
		Decode: decodeVersion,
	}
	runFollower(t, f)
	return f
}

// decodeVersion decodes a configuration that is a plain version number.
func decodeVersion(text []byte) (*deployment.Config, error) {
	version, err := strconv.ParseUint(string(text), 10, 64)
	return &deployment.Config{Version: version}, errors.Wrap(err, "decode")
}

// runFollower runs a follower until the test ends, or until the returned function is called.
func runFollower(t *testing.T, f *fleet.Follower) (stop context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	await.Until(t, 20*time.Second, what, done)
}

func liveIDs(f *fleet.Follower) []string {
	out := []string{}
	for _, in := range f.View().Instances["s"] {
		out = append(out, in.ID)
	}
	return out
}
