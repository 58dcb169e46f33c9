package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/peers"
)

// crashingServer is a service and engine whose process crashes on requests that contain
// "crash", and restarts after restartDelay.
type crashingServer struct {
	t       *testing.T
	address string

	mu sync.Mutex
	// server is the HTTP server of the current process; crashes counts the crashes, and
	// ran the requests that completed.
	server       *http.Server
	crashes, ran int
}

func newCrashingServer(t *testing.T) *crashingServer {
	t.Helper()
	m := &crashingServer{t: t, address: "127.0.0.1:0"}
	m.start()
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = m.server.Close()
	})
	return m
}

func (m *crashingServer) start() {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(m.serve)}
	m.server = server
	go func() { _ = server.Serve(l) }()
}

func (m *crashingServer) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load":
		_, _ = io.WriteString(w, `{"slots":8,"version":"v1"}`)
		return
	case "/v1/cache/events":
		_, _ = io.WriteString(w, `{"start":"s"}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.Contains(string(body), "crash") {
		m.crash()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	m.ran++
	m.mu.Unlock()
	w.Header().Set("X-Run-Id", r.Header.Get("X-Run-Id"))
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	_, _ = io.WriteString(w, "done")
}

// restartDelay is how long a process takes to restart; until then its address refuses
// connections.
const restartDelay = 150 * time.Millisecond

func (m *crashingServer) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	_ = m.server.Close()
	time.AfterFunc(restartDelay, m.start)
}

func (m *crashingServer) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

// A request that crashes every instance that runs it must not be retried without bound:
// after the third crash it is held, at the entry that sent it and at the others, while
// other requests are still served. A request that ran must never be reported as not
// run.
func TestCrashingRequestIsHeld(t *testing.T) {
	const maxCrashes = 4
	cases := []struct {
		name, path, body string
		headers          func(n int) []string
	}{
		{"repeatable call", "/v1/services/safe/x", "crash", func(int) []string { return nil }},
		{"at-most-once call", "/v1/services/once/x", "crash", func(n int) []string { return []string{"Idempotency-Key", fmt.Sprint("key-", n)} }},
		{"prompt", "/v1/chat/completions", chat("crash", false, 4), func(int) []string { return nil }},
		{"streamed prompt", "/v1/chat/completions", chat("crash", true, 4), func(int) []string { return nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newDeployment(t)
			instances := []*crashingServer{newCrashingServer(t), newCrashingServer(t), newCrashingServer(t), newCrashingServer(t)}
			s.declareInstances(instances)
			first, second := s.startPair()
			crashes := func() int {
				n := 0
				for _, m := range instances {
					n += m.crashCount()
				}
				return n
			}
			for n := 0; crashes() < 3; n++ {
				before := crashes()
				a := first.send(t, "POST", c.path, c.body, c.headers(n)...)
				if a.header.Get("X-Shedrock-Outcome") == "not run" && crashes() > before {
					t.Errorf("the request ran but was reported as not run: %+v", a)
				}
			}
			n := 0
			eventually(t, "both entries hold the request", func() bool {
				for _, e := range []*runningEntry{first, second} {
					n--
					a := e.send(t, "POST", c.path, c.body, c.headers(n)...)
					if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "ends_instances") {
						return false
					}
				}
				return true
			})
			if got := crashes(); got > maxCrashes {
				t.Errorf("%d processes crashed", got)
			}
			eventually(t, "a different call is served", func() bool {
				return second.send(t, "POST", "/v1/services/safe/x", "harmless").status == http.StatusOK
			})
			if diff := cmp.Diff(true, crashes() <= maxCrashes); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// declareInstances declares the instances both as services and as upstreams.
func (s *deployment) declareInstances(instances []*crashingServer) {
	s.t.Helper()
	var addresses []string
	upstreams := "upstreams:\n"
	for i, m := range instances {
		addresses = append(addresses, `"`+m.address+`"`)
		upstreams += fmt.Sprintf("  - {name: u%d, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 1e6, link_bytes_per_second: 1e9}\n", i+1, m.address)
	}
	list := strings.Join(addresses, ", ")
	s.docs["upstreams"] = upstreams
	s.docs["services"] = "services:\n  - {name: safe, instances: [" + list + "]}\n  - {name: once, instances: [" + list + "], not_repeatable: [\"POST *\"]}\n"
	s.docs["teams"] = strings.ReplaceAll(s.docs["teams"], "services: [orders]", "services: [safe, once]")
	s.declare()
}

// startPair starts two entries that are peers of each other.
func (s *deployment) startPair() (first, second *runningEntry) {
	s.t.Helper()
	var all []*runningEntry
	var seeds []string
	for range 2 {
		listener := listen(s.t)
		r := s.start(func(e *entry.Entry) {
			e.Peers = &peers.Peers{
				Name: e.Name, FailureDomain: e.FailureDomain, Listener: listener, Seeds: seeds, Feed: feed.New(),
				LookUpHints: e.FindHints, StoreNotes: e.ApplyNotes, GrantLoan: e.LendTokens, Log: discardLogger(), Interval: 20 * time.Millisecond,
			}
		})
		r.Peers.Ends = r.Ends
		runInBackground(s.t, r.Peers.Run)
		seeds = append(seeds, listener.Addr().String())
		all = append(all, r)
	}
	for _, r := range all {
		eventually(s.t, "the entries see each other as peers", func() bool { return r.Peers.LiveInRegion() == 2 })
	}
	return all[0], all[1]
}
