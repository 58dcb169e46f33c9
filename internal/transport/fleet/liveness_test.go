package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// startAll starts followers of some addresses, each of which tries the sources in a different
// order.
func startAll(t *testing.T, n int, addresses []string, decode func([]byte) (*deployment.Config, error)) []*fleet.Follower {
	t.Helper()
	var out []*fleet.Follower
	for i := range n {
		f := &fleet.Follower{
			Name: fmt.Sprint("e", i), Entry: true, Heartbeat: heartbeat, Log: discardLogger,
			Seeds: func() []string { return addresses }, Decode: decode,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
		out = append(out, f)
	}
	return out
}

func addressesOf(controls []*controlServer) []string {
	var out []string
	for _, c := range controls {
		out = append(out, c.address())
	}
	return out
}

// A source that lags at a version that fails to decode must not keep followers from the next
// version, although about half of them try it first.
func TestLaggardWithUnreadableConfiguration(t *testing.T) {
	controls := startControls(t, 2)
	decode := func(text []byte) (*deployment.Config, error) {
		if bytes.Equal(text, []byte("no text")) {
			return nil, errors.New("not a configuration")
		}
		return decodeRoutes(text)
	}
	followers := startAll(t, 16, addressesOf(controls), decode)
	publish(controls, 1, routesText(1, 20, 1))
	waitInForce(t, followers, 1)
	publish(controls, 2, []byte("no text"))
	waitFor(t, "version 2 is known everywhere", func() bool {
		for _, f := range followers {
			if f.View().NewestConfigVersion < 2 {
				return false
			}
		}
		return true
	})
	publish(controls[1:], 3, routesText(3, 20, 1))
	waitInForce(t, followers, 3)
}

// If the source that sent the manifest of a version is gone, and others split that version
// differently, as another release may, followers must fetch it from those.
func TestSourcesSplitConfigurationDifferently(t *testing.T) {
	controls := startControls(t, 2)
	text := routesText(1, 2*observedRoutes, 1)
	publish(controls[:1], 1, text)
	followers := startEntries(t, 1, controls)
	waitFor(t, "some pieces were requested", func() bool { return controls[0].textRequests.Load() > 2 })
	controls[0].unresponsive.Store(true)
	controls[0].server.CloseClientConnections()
	// A different text stands for a different split.
	publish(controls[1:], 1, routesText(1, observedRoutes, 9))
	waitFor(t, "the configuration is in force", func() bool { return followers[0].View().Config != nil })
}

// An answer that was made before a source announced a newer version must not hide that version.
func TestLateAnswerKeepsNewerVersion(t *testing.T) {
	const late = 300 * time.Millisecond
	source := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := httptest.NewRecorder()
		wire.NewFleetServer(source).ServeHTTP(out, r)
		if strings.HasSuffix(r.URL.Path, "/ConfigurationPieces") {
			<-time.After(late)
		}
		for name, values := range out.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(out.Code)
		_, _ = w.Write(out.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	followers := startAll(t, 1, []string{strings.TrimPrefix(server.URL, "http://")}, decodeRoutes)
	waitFor(t, "the source is polled", func() bool { return len(followers[0].View().Control) > 0 })
	source.Publish(ledger.Installed{Version: 1, Text: routesText(1, 20, 1)}, nil)
	waitFor(t, "version 1 is announced", func() bool { return followers[0].View().NewestConfigVersion == 1 })
	<-time.After(late / 4)
	source.Publish(ledger.Installed{Version: 2, Text: routesText(2, 20, 1)}, nil)
	began := time.Now()
	waitFor(t, "version 2 is in force", func() bool { c := followers[0].View().Config; return c != nil && c.Version == 2 })
	if took := time.Since(began); took > 3*late {
		t.Errorf("in force after %s, but two answers take only %s", took, 2*late)
	}
}
