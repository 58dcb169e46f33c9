package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// These tests guard against configurations that are too large to come in force. When a
// configuration had grown to 555 KB, and later to 825 KB, it was acknowledged, but 56 entries on
// links of 10 Mbit/s kept serving by the previous one, and after a restart of the whole fleet they
// had none and never became ready.
//
// An entry requested the whole text from one control instance and gave up after 400 ms, in which
// such a link carries 500 KB. It discarded what it had received and tried the next control
// instance. The text thus never came in force, however long this went on, and the attempts
// saturated the links, which delayed other traffic too.
//
// The evidence: all but 5 of 1,456 failed attempts ended while the body was being read. The links
// of the entries were saturated from the first attempt on (1.0 to 1.2 MB/s), while entries used 1%
// of their CPU and control instances at most 22%. Versions of 285 KB came in force, those of 555
// and 825 KB nowhere.

const (
	// linkRate is the rate of an entry's link in bytes per second: 10 Mbit/s.
	linkRate = 10_000_000 / 8
	// linkBurst is the number of bytes that a link carries at once.
	linkBurst = 16 << 10
	// observedRoutes is the number of routes in that configuration.
	observedRoutes = 4200
	// observedEntries and observedControls are the numbers of processes in that deployment.
	observedEntries, observedControls = 56, 8
	// inForceWithin is the time within which a change must come in force. The race detector slows
	// the code under test, so the tests are run without it as well.
	inForceWithin = slowdown * inForceOnLinksWithin
	// inForceOnLinksWithin is that time if the processing takes none.
	inForceOnLinksWithin = 2500 * time.Millisecond
)

// slowLink returns the addresses of proxies of some control instances. The proxies share one link
// of linkRate towards the caller.
func slowLink(t *testing.T, controls []*controlServer) []string {
	t.Helper()
	limit := rate.NewLimiter(linkRate, linkBurst)
	var addresses []string
	for _, c := range controls {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
		go func() {
			for {
				caller, err := listener.Accept()
				if err != nil {
					return
				}
				go proxy(t.Context(), caller, c.address(), limit)
			}
		}()
	}
	return addresses
}

// proxy forwards a connection to an address; see forward.
func proxy(ctx context.Context, caller net.Conn, address string, limit *rate.Limiter) {
	source, err := net.Dial("tcp", address)
	if err != nil {
		_ = caller.Close()
		return
	}
	forward(ctx, caller, source, limit)
}

// forward forwards a connection until either side closes it or ctx ends; limit is the rate limit towards the
// caller.
func forward(ctx context.Context, caller, source net.Conn, limit *rate.Limiter) {
	defer func() { _ = caller.Close() }()
	defer func() { _ = source.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = source.Close() })
	defer stop()
	go func() {
		buffer := make([]byte, limit.Burst())
		for {
			n, err := caller.Read(buffer)
			if err != nil {
				_ = source.Close()
				return
			}
			if _, err := source.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, limit.Burst())
	for {
		n, err := source.Read(buffer)
		if err != nil || limit.WaitN(ctx, n) != nil {
			return
		}
		proxiedBytes.Add(int64(n))
		if _, err := caller.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// proxiedBytes counts the bytes received over slow links.
var proxiedBytes atomic.Int64

// routesText returns a configuration's text with the given number of routes, in the form that
// operators send. It starts with the version; the names are generated from the seed.
func routesText(version uint64, routes int, seed uint64) []byte {
	draw := rand.New(rand.NewPCG(seed, 1))
	out := &bytes.Buffer{}
	fmt.Fprintf(out, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(out, `{"name":"r-%07x","host":"host%d.example","prefix":"/%08x/%04x/","type":"safe","timeout_ms":%d,"objective_ms":250,"priority":0,"service":"s%05x","max_attempts":2,"public":true}`,
			draw.Uint32()>>4, draw.IntN(30), draw.Uint32(), draw.Uint32()>>16, 1000+500*draw.IntN(4), draw.IntN(3))
	}
	out.WriteString(`]}`)
	return out.Bytes()
}

// decodeRoutes decodes the version of a text of routesText, and fails unless the text is complete.
func decodeRoutes(text []byte) (*deployment.Config, error) {
	var version uint64
	_, err := fmt.Sscanf(string(text[:min(len(text), 40)]), `{"version":%d,`, &version)
	if err != nil || !bytes.HasSuffix(text, []byte("]}")) {
		return nil, errors.Errorf("incomplete text: %v", err)
	}
	return &deployment.Config{Version: version}, nil
}

// startEntries starts entries, each with a slow link of its own.
func startEntries(t *testing.T, n int, controls []*controlServer) []*fleet.Follower {
	t.Helper()
	var followers []*fleet.Follower
	for i := range n {
		f := newEntry(i, slowLink(t, controls))
		runFollower(t, f)
		followers = append(followers, f)
	}
	return followers
}

func newEntry(i int, addresses []string) *fleet.Follower {
	return &fleet.Follower{
		Name: fmt.Sprint("e", i), Entry: true, Heartbeat: heartbeat, Log: discardLogger,
		Seeds: func() []string { return addresses }, Decode: decodeRoutes,
	}
}

func startControls(t *testing.T, n int) []*controlServer {
	t.Helper()
	var controls []*controlServer
	for range n {
		controls = append(controls, newControl(t))
	}
	return controls
}

// takeProxiedBytes returns the number of bytes received over all slow links since the last call.
func takeProxiedBytes() int64 { return proxiedBytes.Swap(0) }

func publish(controls []*controlServer, version uint64, text []byte) {
	for _, c := range controls {
		c.source.Load().Publish(ledger.Installed{Version: version, Text: text}, nil)
	}
}

// isInForce reports whether a version is in force at a follower.
func isInForce(f *fleet.Follower, version uint64) bool {
	c := f.View().Config
	return c != nil && c.Version >= version
}

// waitInForce fails unless a version comes in force at all followers in time.
func waitInForce(t *testing.T, followers []*fleet.Follower, version uint64) {
	t.Helper()
	began := time.Now()
	waitFor(t, fmt.Sprintf("version %d is in force everywhere", version), func() bool {
		for _, f := range followers {
			if !isInForce(f, version) {
				return false
			}
		}
		return true
	})
	took := time.Since(began)
	t.Logf("in force after %s", took)
	if took > inForceWithin {
		t.Errorf("in force after %s, must be within %s", took, inForceWithin)
	}
}

// A configuration must come in force in time however large it has grown, and so must each small
// change of it.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	for _, test := range []struct{ times, entries int }{{1, observedEntries}, {2, observedEntries}, {10, 4}} {
		t.Run(fmt.Sprintf("%d times the observed size", test.times), func(t *testing.T) {
			controls := startControls(t, observedControls)
			followers := startEntries(t, test.entries, controls)
			publish(controls, 1, routesText(1, 20, 1))
			waitInForce(t, followers, 1)
			routes := test.times * observedRoutes
			publish(controls, 2, routesText(2, routes, 1))
			waitInForce(t, followers, 2)
			publish(controls, 3, routesText(3, routes, 1))
			waitInForce(t, followers, 3)
		})
	}
}

// After a restart of the whole fleet, all entries request a large configuration at once, and all
// must have it in time.
func TestAllEntriesStartWithALargeConfiguration(t *testing.T) {
	for _, test := range []struct{ times, entries int }{{1, observedEntries}, {2, 2 * observedEntries}, {10, 4}} {
		t.Run(fmt.Sprintf("%d times the observed size, %d entries", test.times, test.entries), func(t *testing.T) {
			testOnPipes(t, func(t *testing.T, network *pipeNetwork) {
				controls := network.startControls(t, observedControls)
				publish(controls, 1, routesText(1, test.times*observedRoutes, 1))
				watch := startStopwatch(t)
				watch.awaitInForce(t, network.startEntries(t, test.entries, controls), 1)
			})
		})
	}
}

// A small change of a large configuration must cause little traffic to entries that have the
// previous version.
func TestSmallChangeOfALargeConfigurationMovesLittle(t *testing.T) {
	const mostBytes = 64 << 10
	controls := startControls(t, 3)
	followers := startEntries(t, 1, controls)
	publish(controls, 1, routesText(1, observedRoutes, 1))
	waitInForce(t, followers, 1)
	takeProxiedBytes()
	publish(controls, 2, routesText(2, observedRoutes, 1))
	waitInForce(t, followers, 2)
	if moved := takeProxiedBytes(); moved > mostBytes {
		t.Errorf("%d bytes were transferred", moved)
	}
}

// Fetched pieces must be kept even if the link carries far less than the whole text within one
// request's timeout, if the text does not compress, and if sources fail in between: hardly any
// piece may be fetched twice.
func TestFetchedPiecesAreKept(t *testing.T) {
	noise := make([]byte, 3<<20)
	source := rand.New(rand.NewPCG(7, 7))
	for i := range noise {
		noise[i] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"[source.IntN(64)]
	}
	text := fmt.Appendf(nil, `{"version":1,"noise":"%s"]}`, noise)
	controls := startControls(t, 4)
	publish(controls, 1, text)
	takeProxiedBytes()
	followers := startEntries(t, 1, controls)
	waitFor(t, "half of the text was received", func() bool { return proxiedBytes.Load() > int64(len(noise)/2) })
	controls[0].unresponsive.Store(true)
	controls[1].server.CloseClientConnections()
	controls[1].unresponsive.Store(true)
	waitFor(t, "the configuration is in force", func() bool { return followers[0].View().Config != nil })
	// The extra quarter allows for aborted answers, of up to 64 KB each, and for all other traffic.
	if moved := takeProxiedBytes(); moved > int64(len(text))*5/4 {
		t.Errorf("%d bytes were transferred for a text of %d bytes", moved, len(text))
	}
}

// When all entries fetch at once, all sources must send the text, not only the one that announced
// it first.
func TestAllSourcesGiveALargeConfiguration(t *testing.T) {
	testOnPipes(t, func(t *testing.T, network *pipeNetwork) {
		controls := network.startControls(t, 4)
		watch := startStopwatch(t)
		followers := network.startEntries(t, 96, controls)
		publish(controls, 1, routesText(1, 20, 1))
		watch.awaitInForce(t, followers, 1)
		for _, c := range controls {
			c.textRequests.Store(0)
		}
		watch = startStopwatch(t)
		publish(controls, 2, routesText(2, observedRoutes, 1))
		watch.awaitInForce(t, followers, 2)
		total := int64(0)
		for _, c := range controls {
			total += c.textRequests.Load()
		}
		for i, c := range controls {
			n := c.textRequests.Load()
			t.Logf("source %d received %d of %d requests", i, n, total)
			if n < total/16 || n > total/2 {
				t.Errorf("source %d received %d of %d requests", i, n, total)
			}
		}
	})
}

// A version that fails to decode must not be fetched again and again, and the previous one must
// stay in force.
func TestUndecodableConfigurationIsNotRefetched(t *testing.T) {
	controls := startControls(t, 2)
	followers := startEntries(t, 1, controls)
	publish(controls, 1, routesText(1, 20, 1))
	waitInForce(t, followers, 1)
	requests := func() int64 { return controls[0].textRequests.Load() + controls[1].textRequests.Load() }
	before := requests()
	publish(controls, 2, []byte("no text"))
	waitFor(t, "version 2 was requested", func() bool { return requests() > before })
	polls := controls[0].polls.Load()
	waitFor(t, "polls continue", func() bool { return controls[0].polls.Load() > polls+1 })
	if n := requests() - before; n > 4 {
		t.Errorf("requested %d times", n)
	}
	publish(controls, 3, routesText(3, 20, 1))
	waitInForce(t, followers, 3)
}
