package system_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/shedrock/shedrock/internal/system/processes"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// applied returns what the control log heard of an entry.
func (f *fleet) applied(name string) (revision uint64, unconfirmed, ok bool) {
	for _, s := range controlclient.New(controlclient.StaticAddresses(f.addresses)).Status(context.Background()) {
		for _, a := range s.Applied {
			if a.Name == name && a.Revision >= revision {
				revision, unconfirmed, ok = a.Revision, a.Unconfirmed, true
			}
		}
	}
	return revision, unconfirmed, ok
}

// TestDomainCutOff cuts two entries off from the whole control log, as when their failure
// domain is cut off: they serve prompts, refuse orders with the truth, one of them restarts
// without a disk and takes what its peer has, and after the heal both have every change in
// force.
func TestDomainCutOff(t *testing.T) {
	f := startFleet(t, startGroup(t, 3, processes.NewLinks(t)), 2)
	replicas := []string{replicaName(0), replicaName(1), replicaName(2)}
	domain := []string{entryName(0), entryName(1)}
	f.links.Cut(domain, replicas)
	f.links.Cut(replicas, domain)
	f.apply("models", 2, models("v1"))
	for i := range f.entries {
		if outcome, status := f.prompt(i); outcome != "ran" || status != http.StatusOK {
			t.Fatalf("prompt at entry %d: %q %d", i, outcome, status)
		}
	}
	f.entries[0].Kill()
	f.entries[0].Start()
	f.ready(0)
	if outcome, status := f.prompt(0); outcome != "ran" || status != http.StatusOK {
		t.Fatalf("prompt after the restart: %q %d", outcome, status)
	}
	if outcome, status, _ := f.order(0, "k", "bread"); outcome != "not run" || status != http.StatusServiceUnavailable {
		t.Fatalf("order while cut off: %q %d", outcome, status)
	}
	f.links.Heal()
	eventually(t, "both entries have the change in force, confirmed", func() bool {
		for i := range f.entries {
			revision, unconfirmed, ok := f.applied(fmt.Sprint("e", i+1))
			if !ok || revision != 5 || unconfirmed {
				return false
			}
		}
		return true
	})
	if n := f.ran("bread"); n != 0 {
		t.Fatalf("a refused order ran %d times", n)
	}
}

// TestEntryWithDiskStartsAlone restarts an entry that has a disk while nobody else is
// in reach.
func TestEntryWithDiskStartsAlone(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.entries[0].Kill()
	f.entries[0].Args = append(f.entries[0].Args, "--data", t.TempDir())
	f.entries[0].Start()
	f.ready(0)
	f.entries[0].Kill()
	f.replicas[0].Signal(syscall.SIGSTOP)
	f.entries[0].Start()
	f.ready(0)
	if outcome, _ := f.prompt(0); outcome != "ran" {
		t.Fatalf("prompt: %q", outcome)
	}
}

// TestContextIsFoundThroughAnotherEntry sends a long prompt through one entry and its
// continuation through the other: the engine that has it must be chosen of four.
func TestContextIsFoundThroughAnotherEntry(t *testing.T) {
	f := newFleet(t, 1, 2)
	upstreams := "upstreams:\n"
	for i := range 4 {
		address := processes.FreeAddress(t)
		startStandin(t, "upstream", address, "--token-interval", "1ms", "--load-lag", "10ms")
		upstreams += fmt.Sprintf("  - {name: w%d, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 8000, link_bytes_per_second: 1e9}\n", i, address)
	}
	f.apply("upstreams", 2, upstreams)
	eventually(t, "both entries know each other", func() bool {
		return strings.Contains(f.entries[0].Text(), "event=entries live=2") && strings.Contains(f.entries[1].Text(), "event=entries live=2")
	})
	reused := 0
	const manuals = 12
	for n := range manuals {
		manual := strings.Repeat(fmt.Sprintf("manual %d, a page; ", n), 200)
		body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"` + manual + `"}]}`
		if _, status, text := f.call(0, "POST", "/v1/chat/completions", "", body); status != http.StatusOK {
			t.Fatalf("%d %s", status, text)
		}
		eventually(t, "the note has arrived", func() bool {
			before := strings.Count(f.entries[1].Text(), "event=reuse")
			_, status, _ := f.call(1, "POST", "/v1/chat/completions", "", body)
			if status != http.StatusOK || strings.Count(f.entries[1].Text(), "event=reuse") <= before {
				return false
			}
			lines := strings.Split(f.entries[1].Text(), "event=reuse")
			return !strings.Contains(lines[len(lines)-1], "cached_tokens=0")
		})
		reused++
	}
	if reused != manuals {
		t.Fatalf("%d of %d", reused, manuals)
	}
}

// relearned sums what an entry learned from stores.
func relearned(p *processes.Process) int {
	sum := 0
	for line := range strings.Lines(p.Text()) {
		_, rest, ok := strings.Cut(line, "event=relearned")
		if !ok {
			continue
		}
		_, rest, _ = strings.Cut(rest, "objects=")
		n := 0
		_, _ = fmt.Sscan(rest, &n)
		sum += n
	}
	return sum
}

// TestDeadOwnersPartIsRelearned kills one of two entries that share the directory, again
// and again: the other learns the dead one's part from the store each time.
func TestDeadOwnersPartIsRelearned(t *testing.T) {
	f := newFleet(t, 1, 2)
	store := processes.FreeAddress(t)
	startStandin(t, "store", store)
	f.apply("stores", 1, "stores:\n  - {name: s1, address: "+quote(store)+", failure_domain: d1, memory_bytes: 67108864, link_bytes_per_second: 1e9}\n")
	eventually(t, "both entries know each other", func() bool {
		return strings.Contains(f.entries[0].Text(), "event=entries live=2") && strings.Contains(f.entries[1].Text(), "event=entries live=2")
	})
	const manuals = 16
	copies := func() int { return strings.Count(f.entries[0].Text(), "event=copy") }
	for n := range manuals {
		before := copies()
		body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"` + strings.Repeat(fmt.Sprintf("manual %d, a page; ", n), 100) + `"}]}`
		if _, status, text := f.call(0, "POST", "/v1/chat/completions", "", body); status != http.StatusOK {
			t.Fatalf("%d %s", status, text)
		}
		eventually(t, "its context is kept", func() bool { return copies() > before })
	}
	// An entry that knew of the store before anything was kept there has listed its part
	// already, so it learns that only when it begins anew.
	both := func() int { return strings.Count(f.entries[1].Text(), "event=entries live=2") }
	met, before := both(), relearned(f.entries[1])
	f.entries[1].Kill()
	f.entries[1].Start()
	eventually(t, "both know each other again", func() bool { return both() > met })
	eventually(t, "it has learned its own part", func() bool { return relearned(f.entries[1]) > before })
	// Twice, because parts that come back must be learned anew.
	for range 2 {
		met, before = both(), relearned(f.entries[1])
		f.entries[0].Kill()
		eventually(t, "the other has learned the dead one's part", func() bool { return relearned(f.entries[1]) > before })
		f.entries[0].Start()
		eventually(t, "it is back", func() bool { return both() > met })
	}
	if n := relearned(f.entries[1]); n > 3*manuals {
		t.Fatalf("%d objects of %d", n, manuals)
	}
}
