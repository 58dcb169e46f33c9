package system_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// TestAcceptedChangesSurviveKills kills the leader, then a follower, while changes
// go on, and starts them again: nothing accepted is lost or accepted twice.
func TestAcceptedChangesSurviveKills(t *testing.T) {
	g := newGroup(t, 3)
	version := 0
	change := func(n int) {
		for range n {
			version++
			if a := g.apply("models", version, models(fmt.Sprint("v", version))); a.Revision != uint64(version) {
				t.Fatalf("version %d: %v", version, a)
			}
		}
	}
	change(5)
	for round := range 4 {
		victim := g.leader()
		if round%2 == 1 {
			victim = (victim + 1) % 3
		}
		g.replicas[victim].Kill()
		change(5)
		g.replicas[victim].Start()
		change(5)
	}
	// All of them at once, and back.
	for _, r := range g.replicas {
		r.Kill()
	}
	for _, r := range g.replicas {
		r.Start()
	}
	change(1)
	eventually(t, "every replica holds every change", func() bool {
		for i := range g.replicas {
			s, ok := g.status(i)
			if !ok || s.Revision != uint64(version) {
				return false
			}
		}
		return true
	})
}

// TestRacingAndResentChanges has two operators submit different texts under one
// version, and each resend its own after a lost answer.
func TestRacingAndResentChanges(t *testing.T) {
	g := newGroup(t, 3)
	g.apply("models", 1, models("v1"))
	answers := make(chan *wire.ApplyResponse, 2)
	for _, weights := range []string{"v2", "v3"} {
		go func() { answers <- g.apply("models", 2, models(weights)) }()
	}
	counts := map[wire.ApplyResponse_Result]int{}
	for range 2 {
		a := <-answers
		counts[a.Result]++
		if a.Result == wire.ApplyResponse_CONFLICT && (a.CurrentVersion != 2 || len(a.Differences) == 0) {
			t.Fatalf("conflict: %v", a)
		}
	}
	want := map[wire.ApplyResponse_Result]int{wire.ApplyResponse_ACCEPTED: 1, wire.ApplyResponse_CONFLICT: 1}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Fatal(diff)
	}
	// The resent change is answered as before, also once it is superseded.
	g.apply("models", 3, models("v4"))
	again := g.apply("models", 1, models("v1"))
	if again.Result != wire.ApplyResponse_ACCEPTED || again.Revision != 1 || !again.Resent {
		t.Fatalf("resent: %v", again)
	}
	if s, _ := g.status(g.leader()); s.Revision != 3 {
		t.Fatalf("revision %d", s.Revision)
	}
	bad := g.apply("models", 4, "models:\n  - {name: demo, weight_version: v5, kv_bytes_per_token: 0, max_prompt_tokens: 1}\n")
	if bad.Result != wire.ApplyResponse_REJECTED || bad.Faults[0].Line != 4 || bad.Faults[0].Field != "models[0].kv_bytes_per_token" {
		t.Fatalf("bad: %v", bad)
	}
}

// TestLostDiskIsReplaced loses a replica's folder, replaces it by a change of the
// control document, and then loses another replica for good.
func TestLostDiskIsReplaced(t *testing.T) {
	g := newGroup(t, 3)
	version := 0
	for range 20 {
		version++
		g.apply("models", version, models(fmt.Sprint("v", version)))
	}
	lost := (g.leader() + 1) % 3
	g.replicas[lost].Kill()
	if err := os.RemoveAll(g.folders[lost]); err != nil {
		t.Fatal(err)
	}
	g.replicas[lost].Start()
	var fresh string
	eventually(t, "the blank replica answers", func() bool {
		s, ok := g.status(lost)
		if ok {
			fresh = s.Incarnation
		}
		return ok && s.Blank
	})
	body := "control:\n  replicas:\n"
	for i, address := range g.addresses {
		body += fmt.Sprintf("    - {id: %d, address: %q, failure_domain: d%d", i+1, address, i+1)
		if i == lost {
			body += ", incarnation: " + quote(fresh)
		}
		body += "}\n"
	}
	if a := g.apply("control", 1, body); a.Result != wire.ApplyResponse_ACCEPTED {
		t.Fatalf("control: %v", a)
	}
	eventually(t, "the replacement is complete", func() bool {
		s, ok := g.status(g.leader())
		if !ok || s.Repair != "" || len(s.Replicas) != 3 {
			return false
		}
		for _, r := range s.Replicas {
			if !r.Voter || r.Id == uint64(lost+1) && r.Incarnation != fresh {
				return false
			}
		}
		return true
	})
	second := (lost + 1) % 3
	g.replicas[second].Kill()
	version++
	if a := g.apply("models", version, models("after")); a.Result != wire.ApplyResponse_ACCEPTED {
		t.Fatalf("after the second loss: %v", a)
	}
	eventually(t, "the new replica holds everything", func() bool {
		s, ok := g.status(lost)
		return ok && s.Revision == uint64(version)+1
	})
}

func quote(s string) string { return `"` + s + `"` }

// TestFrozenLeader stops a leader's process, lets the rest go on, and thaws it.
func TestFrozenLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.apply("models", 1, models("v1"))
	frozen := g.leader()
	g.replicas[frozen].Signal(syscall.SIGSTOP)
	for version := 2; version <= 4; version++ {
		if a := g.apply("models", version, models(fmt.Sprint("v", version))); a.Result != wire.ApplyResponse_ACCEPTED {
			t.Fatalf("%v", a)
		}
	}
	g.replicas[frozen].Signal(syscall.SIGCONT)
	// It is asked directly, and must not accept a second version 2.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	only := controlclient.New(controlclient.StaticAddresses(g.addresses[frozen : frozen+1]))
	a, err := only.Apply(ctx, "models.yaml", []byte("document: models\nversion: 2\n"+models("stale")))
	if err == nil && a.Result == wire.ApplyResponse_ACCEPTED {
		t.Fatalf("the thawed leader accepted: %v", a)
	}
	eventually(t, "it has caught up", func() bool {
		s, ok := g.status(frozen)
		return ok && s.Revision == 4
	})
}

// TestReplicaCutOffThroughManyChanges is away for 700 changes, more than the log
// keeps for it, and comes back.
func TestReplicaCutOffThroughManyChanges(t *testing.T) {
	g := newGroup(t, 3)
	g.apply("models", 1, models("v1"))
	away := (g.leader() + 1) % 3
	g.replicas[away].Signal(syscall.SIGSTOP)
	for version := 2; version <= 700; version++ {
		g.apply("models", version, models(fmt.Sprint("v", version)))
	}
	term := uint64(0)
	if s, ok := g.status(g.leader()); ok {
		term = s.Term
	}
	g.replicas[away].Signal(syscall.SIGCONT)
	eventually(t, "it has caught up", func() bool {
		s, ok := g.status(away)
		return ok && s.Revision == 700
	})
	if s, ok := g.status(away); ok && s.Term != term {
		t.Fatalf("its return moved the term from %d to %d", term, s.Term)
	}
}

// TestDamagedFolderIsRefused tears the log's tail, which a crash may do, and then
// damages its middle, which a crash cannot.
func TestDamagedFolderIsRefused(t *testing.T) {
	g := newGroup(t, 1)
	for version := 1; version <= 5; version++ {
		g.apply("models", version, models(fmt.Sprint("v", version)))
	}
	g.replicas[0].Kill()
	path := g.folders[0] + "/log"
	log, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn := append(append([]byte(nil), log...), log[:20]...)
	if err := os.WriteFile(path, torn, 0o600); err != nil {
		t.Fatal(err)
	}
	g.replicas[0].Start()
	if a := g.apply("models", 6, models("v6")); a.Revision != 6 {
		t.Fatalf("after a torn tail: %v", a)
	}
	g.replicas[0].Kill()
	log, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	log[len(log)/2] ^= 0xff
	if err := os.WriteFile(path, log, 0o600); err != nil {
		t.Fatal(err)
	}
	g.replicas[0].Start()
	err = g.replicas[0].Wait()
	if err == nil || !strings.Contains(g.replicas[0].Text(), "data folder is damaged") {
		t.Fatalf("a damaged folder was opened: %v", err)
	}
}

// TestPlannedStopHandsOver stops the leader as planned: it steps down first, and the rest
// goes on. How long changes are held up is printed, beside a kill.
func TestPlannedStopHandsOver(t *testing.T) {
	g := newGroup(t, 3)
	version := 1
	g.apply("models", version, models("v1"))
	for _, planned := range []bool{true, false, true, false} {
		victim := g.leader()
		began := time.Now()
		if planned {
			g.replicas[victim].Terminate()
		} else {
			g.replicas[victim].Kill()
		}
		stopped := time.Since(began)
		version++
		if a := g.apply("models", version, models(fmt.Sprint("v", version))); a.Result != wire.ApplyResponse_ACCEPTED {
			t.Fatalf("after the stop: %v", a)
		}
		t.Logf("planned %v: stopped after %v, the next change accepted after %v", planned, stopped, time.Since(began))
		if planned && !strings.Contains(g.replicas[victim].Text(), "event=handed_over leader=") {
			t.Fatal("the leader did not hand over")
		}
		g.replicas[victim].Start()
		eventually(t, "it is back", func() bool { s, ok := g.status(victim); return ok && s.Revision == uint64(version) })
	}
}
