package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/platform/standin"
)

// site is a deployment of real processes that find each other by seeds. Each instance has
// a loopback address of its own, as all use the same ports.
type site struct {
	t        *testing.T
	controls []*instance
	entries  []*instance
	// upstream is a stand-in that answers with the request's id.
	upstream string
	sequence atomic.Int64
	next     int
}

type instance struct {
	*process
	settings settings.Settings
	path     string
}

const (
	callersPort = 7801
	readyPort   = 7802
	controlPort = 7803
	peerPort    = 7804
	heartbeat   = 300 * time.Millisecond
)

// address returns the next loopback address of this test process: its window of ports is
// nobody else's, so neither is what follows from it.
func (s *site) address() string {
	s.next++
	return fmt.Sprintf("127.%d.7.%d", 1+(window()-firstPort)/windowPorts, s.next)
}

func newSite(t *testing.T, controls, entries int) *site {
	t.Helper()
	s := &site{t: t}
	s.serveUpstream()
	var ips []string
	for range controls {
		ips = append(ips, s.address())
	}
	for i, ip := range ips {
		s.controls = append(s.controls, s.prepare(fmt.Sprint("c", i), ip, ips, true))
	}
	for i := range entries {
		s.entries = append(s.entries, s.prepare(fmt.Sprint("e", i), s.address(), ips, false))
	}
	for _, in := range append(s.controls, s.entries...) {
		in.launch(s)
	}
	return s
}

// prepare writes the settings of one instance.
func (s *site) prepare(name, ip string, controls []string, isControl bool) *instance {
	s.t.Helper()
	in := &instance{path: filepath.Join(s.t.TempDir(), name+".json")}
	in.settings = settings.Settings{
		Name: name, IP: ip, FailureDomain: "d" + name, PeerPort: peerPort, FirstStart: true, MemoryMB: 200,
		HeartbeatMs: int(heartbeat.Milliseconds()), Losses: 1, CatchUpMs: 4000, LeaseMs: 1000, GraceMs: 8000,
		RetryRatio: 0.2, RetryWindowMs: 10_000, RetrySlack: 50,
	}
	for _, c := range controls[:min(3, len(controls))] {
		in.settings.Seeds = append(in.settings.Seeds, fmt.Sprintf("%s:%d", c, controlPort))
	}
	if isControl {
		in.settings.Control = fmt.Sprintf("%s:%d", ip, controlPort)
		in.settings.Data = filepath.Join(s.t.TempDir(), name)
	} else {
		in.settings.Callers = fmt.Sprintf("%s:%d", ip, callersPort)
		in.settings.Ready = fmt.Sprintf("%s:%d", ip, readyPort)
	}
	return in
}

func (in *instance) launch(s *site) {
	s.t.Helper()
	in.write(s)
	role := "entry"
	if in.settings.Control != "" {
		role = "control"
	}
	in.process = start(s.t, "platform", role, "--config", in.path)
}

func (in *instance) write(s *site) {
	s.t.Helper()
	text, err := json.Marshal(in.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	err = os.WriteFile(in.path, text, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
}

// wipe ends a control instance and loses its disk; it starts again at its address.
func (s *site) wipe(in *instance) {
	s.t.Helper()
	in.kill()
	err := os.RemoveAll(in.settings.Data)
	if err != nil {
		s.t.Fatal(err)
	}
	in.settings.FirstStart = false
	in.launch(s)
}

// serveUpstream serves the stand-in of an upstream.
func (s *site) serveUpstream() {
	s.t.Helper()
	l, err := net.Listen("tcp", s.address()+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.upstream = l.Addr().String()
	server := &http.Server{Handler: standin.Upstream()}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

// put installs a configuration with one route to the stand-in's service through one
// control instance.
func (s *site) put(c *instance, version int) int { return standin.Put(c.settings.Control, version) }

// installed returns the version that one control instance reads back; 0 when it is not sure.
func installed(c *instance) int { return standin.Installed(c.settings.Control) }

// beat reports the stand-in to one control instance.
func (s *site) beat(c *instance, id string, leaving bool) bool {
	return standin.Beat(c.settings.Control, id, s.upstream, leaving, s.sequence.Add(1))
}

// keepBeating reports the stand-in to whichever control instance answers, until the test
// ends.
func (s *site) keepBeating(id string) {
	stop := make(chan struct{})
	done := make(chan struct{})
	s.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			for _, c := range s.controls {
				if s.beat(c, id, false) {
					break
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

func (s *site) call(e *instance, path, id string) (int, string) {
	return standin.Call(e.settings.Callers, path, id)
}

// A window of ports stays this process's own, whatever the collector does: two suites side
// by side had reached each other's processes.
func TestWindowOfPortsIsHeld(t *testing.T) {
	first := window()
	for range 3 {
		runtime.GC()
	}
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
	if err == nil {
		_ = l.Close()
		t.Error("another process could take this window")
	}
}

// A deployment founds itself from its seeds, takes a configuration through any control
// instance and serves; a lost disk, a lost leader and the loss of all processes at once
// lose nothing that was acknowledged, and are repaired with no operator.
func TestSeedsFoundServeAndHeal(t *testing.T) {
	s := newSite(t, 4, 2)
	for i, c := range s.controls {
		eventually(t, "a configuration is acknowledged", func() bool { return s.put(c, i+1) == http.StatusOK })
	}
	s.keepBeating("i-1")
	for i, e := range s.entries {
		eventually(t, "the entry serves the newest route", func() bool {
			status, _ := s.call(e, "/v4/x", fmt.Sprint("first-", i))
			return status == http.StatusOK
		})
		status, text := s.call(e, "/v4/x", fmt.Sprint("id-", i))
		if diff := cmp.Diff(fmt.Sprint("ran id-", i), text); diff != "" || status != http.StatusOK {
			t.Error(status, diff)
		}
		status, _ = s.call(e, "/v1/x", "old")
		if diff := cmp.Diff(http.StatusNotFound, status); diff != "" {
			t.Error(diff)
		}
	}
	version := 10
	for _, c := range s.controls[:3] {
		// Right after the acknowledgement, the one that gave it loses its disk.
		eventually(t, "the next configuration is acknowledged", func() bool { return s.put(c, version) == http.StatusOK })
		before := s.logged()
		s.wipe(c)
		for _, other := range s.controls {
			eventually(t, "it is read back everywhere", func() bool { return installed(other) >= version })
		}
		s.waitReplaced(before)
		version += 10
	}
	for _, c := range s.controls {
		c.kill()
	}
	for _, c := range s.controls {
		c.start()
	}
	for _, c := range s.controls {
		eventually(t, "it outlives all processes", func() bool { return installed(c) == version-10 })
	}
	status, _ := s.call(s.entries[0], fmt.Sprintf("/v%d/x", version-10), "last")
	if diff := cmp.Diff(http.StatusOK, status); diff != "" {
		t.Error(diff)
	}
}

// logged returns how much each control instance has logged.
func (s *site) logged() map[*process]int {
	out := map[*process]int{}
	for _, c := range s.controls {
		out[c.process] = len(c.text())
	}
	return out
}

// waitReplaced waits until a voter has been removed since some point of the logs: that is
// the last step of a replacement, after which another disk may be lost.
func (s *site) waitReplaced(since map[*process]int) {
	s.t.Helper()
	eventually(s.t, "the lost voter is replaced", func() bool {
		for _, c := range s.controls {
			if strings.Contains(c.text()[since[c.process]:], `event=replicas step="remove`) {
				return true
			}
		}
		return false
	})
}

// An instance that says that it leaves gets nothing more well within two seconds, from
// whichever control instance it told, also when that one has just come back empty-handed.
func TestLeavingInstanceGetsNothingMore(t *testing.T) {
	s := newSite(t, 3, 2)
	eventually(t, "a configuration is acknowledged", func() bool { return s.put(s.controls[0], 1) == http.StatusOK })
	for i, c := range s.controls {
		id := fmt.Sprint("i-", i)
		eventually(t, "the instance is known", func() bool { return s.beat(c, id, false) })
		for _, e := range s.entries {
			eventually(t, "the entry serves", func() bool { status, _ := s.call(e, "/v1/x", "a"); return status == http.StatusOK })
		}
		c.kill()
		c.start()
		eventually(t, "it takes the last heartbeat", func() bool { return s.beat(c, id, true) })
		told := time.Now()
		for _, e := range s.entries {
			eventually(t, "the entry has none", func() bool { status, _ := s.call(e, "/v1/x", "b"); return status == http.StatusServiceUnavailable })
		}
		t.Logf("nothing more after %s", time.Since(told).Round(time.Millisecond))
	}
}

// While an entry stops it is not ready, still serves, and closes each connection with its
// answer; a SIGHUP in between does not matter.
func TestEntryStopsInOrder(t *testing.T) {
	s := newSite(t, 3, 1)
	e := s.entries[0]
	eventually(t, "a configuration is acknowledged", func() bool { return s.put(s.controls[0], 1) == http.StatusOK })
	s.keepBeating("i-1")
	ready := func() int { return standin.Ready(e.settings.Ready) }
	eventually(t, "the entry is ready and serves", func() bool {
		status, _ := s.call(e, "/v1/x", "a")
		return ready() == http.StatusOK && status == http.StatusOK
	})
	e.signal(syscall.SIGTERM)
	eventually(t, "it is not ready", func() bool { return ready() == http.StatusServiceUnavailable })
	e.signal(syscall.SIGHUP)
	status, text := s.call(e, "/v1/x", "during")
	if diff := cmp.Diff("ran during", text); diff != "" {
		t.Error(status, diff)
	}
	e.terminate()
	if !bytes.Contains([]byte(e.text()), []byte("event=entry_stopped")) {
		t.Error("it did not end in order")
	}
}
