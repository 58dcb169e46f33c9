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

// mortal is a stand-in of a service whose process ends under some requests, and is back at once.
type mortal struct {
	t       *testing.T
	address string

	mu sync.Mutex
	// server serves the present process; ends counts the processes that ended, and ran the
	// requests that came to a good end.
	server    *http.Server
	ends, ran int
}

func newMortal(t *testing.T) *mortal {
	t.Helper()
	m := &mortal{t: t, address: "127.0.0.1:0"}
	m.start()
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = m.server.Close()
	})
	return m
}

func (m *mortal) start() {
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

func (m *mortal) serve(w http.ResponseWriter, r *http.Request) {
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
	if strings.Contains(string(body), "deadly") {
		m.end()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	m.ran++
	m.mu.Unlock()
	w.Header().Set("X-Run-Id", r.Header.Get("X-Run-Id"))
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	_, _ = io.WriteString(w, "done")
}

// mortalBack is after how long a process is back: the address refuses connections until then.
const mortalBack = 150 * time.Millisecond

func (m *mortal) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends++
	_ = m.server.Close()
	time.AfterFunc(mortalBack, m.start)
}

func (m *mortal) ended() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// A call or a prompt that ends the instances which run it is held after the third, by the entry
// that saw it and by others; what else is called goes on. It is said to have not run only where it
// did not.
func TestDeadlyRequestIsHeld(t *testing.T) {
	const most = 4
	cases := []struct {
		name, path, body string
		headers          func(n int) []string
	}{
		{"a call that may be repeated", "/v1/services/safe/x", "deadly", func(int) []string { return nil }},
		{"a call that runs at most once", "/v1/services/once/x", "deadly", func(n int) []string { return []string{"Idempotency-Key", fmt.Sprint("key-", n)} }},
		{"a prompt", "/v1/chat/completions", chat("deadly", false, 4), func(int) []string { return nil }},
		{"a prompt that is streamed", "/v1/chat/completions", chat("deadly", true, 4), func(int) []string { return nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			instances := []*mortal{newMortal(t), newMortal(t), newMortal(t), newMortal(t)}
			s.declareMortal(instances)
			first, second := s.startPair()
			ends := func() int {
				n := 0
				for _, m := range instances {
					n += m.ended()
				}
				return n
			}
			for n := 0; ends() < 3; n++ {
				before := ends()
				a := first.send(t, "POST", c.path, c.body, c.headers(n)...)
				if a.header.Get("X-Shedrock-Outcome") == "not run" && ends() > before {
					t.Errorf("it ran, and was said not to have: %+v", a)
				}
			}
			n := 0
			eventually(t, "both entries hold it", func() bool {
				for _, e := range []*running{first, second} {
					n--
					a := e.send(t, "POST", c.path, c.body, c.headers(n)...)
					if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "ends_instances") {
						return false
					}
				}
				return true
			})
			if got := ends(); got > most {
				t.Errorf("%d processes ended", got)
			}
			eventually(t, "another call is served", func() bool {
				return second.send(t, "POST", "/v1/services/safe/x", "harmless").status == http.StatusOK
			})
			if diff := cmp.Diff(true, ends() <= most); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// declareMortal declares instances as services and as engines.
func (s *site) declareMortal(instances []*mortal) {
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

// startPair starts two entries that know each other.
func (s *site) startPair() (first, second *running) {
	s.t.Helper()
	var all []*running
	var seeds []string
	for range 2 {
		listener := listen(s.t)
		r := s.start(func(e *entry.Entry) {
			e.Peers = &peers.Peers{
				Name: e.Name, FailureDomain: e.FailureDomain, Listener: listener, Seeds: seeds, Feed: feed.New(),
				Find: e.FindHints, Apply: e.ApplyNotes, Lend: e.LendTokens, Log: quiet(), Interval: 20 * time.Millisecond,
			}
		})
		r.Peers.Ends = r.Ends
		background(s.t, r.Peers.Run)
		seeds = append(seeds, listener.Addr().String())
		all = append(all, r)
	}
	for _, r := range all {
		eventually(s.t, "the entries know each other", func() bool { return r.Peers.Live() == 2 })
	}
	return all[0], all[1]
}
