package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/protocol/wire"
)

// crowd passes messages between entries, second by second.
type crowd struct {
	t       *testing.T
	now     time.Time
	entries map[string]*membership.Entries
	states  map[string]membership.EntryState
	seeds   []string
	// cut says which messages are lost.
	cut func(from, to membership.EntryState) bool
	// bytes counts what each entry sent and received, messages and answers.
	bytes map[string]int
}

func newCrowd(t *testing.T, domains, each int) *crowd {
	c := &crowd{
		t: t, now: time.Unix(1000, 0), entries: map[string]*membership.Entries{}, states: map[string]membership.EntryState{},
		cut: func(_, _ membership.EntryState) bool { return false }, bytes: map[string]int{},
	}
	for d := range domains {
		for i := range each {
			c.start(fmt.Sprintf("d%d", d), fmt.Sprintf("e%02d-%02d", d, i))
		}
	}
	c.seeds = []string{c.states["e00-00"].Address, c.states["e00-01"].Address}
	return c
}

// start starts an entry, or starts it again.
func (c *crowd) start(domain, name string) {
	address := "10." + name + ":7080"
	s := membership.EntryState{Name: name, Address: address, FailureDomain: domain, Start: uint64(c.now.UnixNano())}
	c.states[address] = s
	c.states[name] = s
	c.entries[address] = membership.NewEntries(s, uint64(len(c.entries)))
}

func (c *crowd) kill(name string) { delete(c.entries, c.states[name].Address) }

func (c *crowd) addresses() []string {
	var out []string
	for a := range c.entries {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// send delivers a message, and the questions and answers that follow from it.
func (c *crowd) send(from, to string, g membership.Gossip) {
	receiver, ok := c.entries[to]
	if !ok || c.cut(c.states[from], c.states[to]) {
		return
	}
	c.count(from, to, g)
	heard := receiver.Receive(g, c.now)
	c.ask(to, from, heard)
	if len(heard.Reply.States) > 0 {
		c.count(to, from, heard.Reply)
		c.ask(from, to, c.entries[from].Receive(heard.Reply, c.now))
	}
}

func (c *crowd) ask(from, to string, heard membership.Heard) {
	if len(heard.Outdated) > 0 {
		c.send(from, to, c.entries[from].DomainRequest(heard.Outdated))
	}
}

func (c *crowd) count(from, to string, g membership.Gossip) {
	n := proto.Size(wire.FromGossip(g))
	c.bytes[from] += n
	c.bytes[to] += n
}

func (c *crowd) run(seconds int) {
	for range seconds {
		c.now = c.now.Add(time.Second)
		for _, address := range c.addresses() {
			e := c.entries[address]
			targets := e.Tick(c.seeds, c.now)
			for _, to := range targets.Local {
				c.send(address, to, e.LocalGossip(c.now))
			}
			for _, to := range targets.Remote {
				if to != address {
					c.send(address, to, e.RemoteGossip(c.now))
				}
			}
		}
	}
}

func everywhere(string) bool { return true }

// agree checks that every entry knows exactly the living, and that all choose the same
// owners.
func (c *crowd) agree(what string) {
	c.t.Helper()
	var want []string
	for a := range c.entries {
		want = append(want, a)
	}
	slices.Sort(want)
	owner := ""
	for _, address := range c.addresses() {
		var got []string
		contacts := c.entries[address].Contacts(everywhere, c.now)
		for _, m := range contacts {
			got = append(got, m.Address)
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			c.t.Fatalf("%s: at %s: %s", what, address, diff)
		}
		o := c.entries[address].Owners(1, contacts)[0].Name
		if owner != "" && o != owner {
			c.t.Fatalf("%s: owners %s and %s", what, owner, o)
		}
		owner = o
	}
}

func TestAllFindAllThroughRelays(t *testing.T) {
	c := newCrowd(t, 4, 3)
	c.run(30)
	c.agree("start")
	c.kill("e01-00")
	c.kill("e02-02")
	c.run(60)
	c.agree("a relay and another entry dead")
	c.start("d1", "e01-00")
	c.run(30)
	c.agree("the relay is back")
}

// TestDomainIsCutOffAndBack cuts one failure domain off: each side counts only its own,
// and after the heal both count all.
func TestDomainIsCutOffAndBack(t *testing.T) {
	c := newCrowd(t, 4, 2)
	c.run(30)
	for _, length := range []int{60, 600} {
		c.cut = func(from, to membership.EntryState) bool {
			return (from.FailureDomain == "d3") != (to.FailureDomain == "d3")
		}
		c.run(length)
		if n := len(c.entries[c.states["e03-00"].Address].Contacts(everywhere, c.now)); n != 2 {
			t.Fatalf("inside the cut %d are counted", n)
		}
		if diff := cmp.Diff(map[string]bool{"d1": false, "d2": false, "d3": true}, c.entries[c.states["e00-00"].Address].SilentDomains(c.now)); diff != "" {
			t.Fatal(diff)
		}
		if n := len(c.entries[c.states["e00-00"].Address].Contacts(everywhere, c.now)); n != 6 {
			t.Fatalf("outside the cut %d are counted", n)
		}
		c.cut = func(_, _ membership.EntryState) bool { return false }
		c.run(60)
		c.agree(fmt.Sprintf("healed after %d s", length))
	}
}

// TestDomainRestartsWhole starts every entry of a domain again, so that its count begins
// at 0 while the others remember more.
func TestDomainRestartsWhole(t *testing.T) {
	c := newCrowd(t, 3, 2)
	c.run(300)
	c.start("d2", "e02-00")
	c.start("d2", "e02-01")
	c.run(30)
	c.agree("restarted")
	c.kill("e02-00")
	c.kill("e02-01")
	c.run(60)
	c.start("d2", "e02-07")
	c.run(30)
	c.agree("replaced by another")
}

// TestRestartedEntryIsToldAtOnce starts an entry again under its name and address: the
// seed that remembers its former run must tell it of all the others.
func TestRestartedEntryIsToldAtOnce(t *testing.T) {
	c := newCrowd(t, 1, 20)
	c.run(30)
	c.start("d0", "e00-09")
	c.run(1)
	if n := len(c.entries[c.states["e00-09"].Address].Live(c.now)); n != 20 {
		t.Fatalf("it knows %d entries after a second", n)
	}
}

// TestOwnersStayInTheRegion checks that a key's owner is near.
func TestOwnersStayInTheRegion(t *testing.T) {
	c := newCrowd(t, 4, 2)
	c.run(30)
	near := func(domain string) bool { return domain == "d0" || domain == "d1" }
	e := c.entries[c.states["e00-00"].Address]
	for _, o := range e.Owners(200, e.Contacts(near, c.now)) {
		if s := c.states[o.Name]; !near(s.FailureDomain) {
			t.Fatalf("%s in %s owns a key", o.Name, s.FailureDomain)
		}
	}
}

// TestGossipBytes bounds what gossip costs at the letter's size: it must not grow with
// the entries of other failure domains. The figures are printed for docs/CAPACITY.md.
func TestGossipBytes(t *testing.T) {
	var relay, other int
	for _, size := range []struct{ domains, each int }{{1, 30}, {13, 30}} {
		c := newCrowd(t, size.domains, size.each)
		c.run(40)
		c.agree("start")
		c.bytes = map[string]int{}
		const seconds = 30
		c.run(seconds)
		relay, other = c.bytes[c.states["e00-00"].Address]/seconds, c.bytes[c.states["e00-20"].Address]/seconds
		t.Logf("%d domains of %d: a relay %d bytes a second, another entry %d", size.domains, size.each, relay, other)
	}
	if relay > 3000 || other > 3000 {
		t.Fatal("gossip costs more than its part of 4 KB a second")
	}
}

// TestNobodyIsSuspectedWithoutCause lets thirty entries a domain talk for five minutes
// with nothing lost: none may ever be missing anywhere, or parts of the directory would
// change hands for nothing.
func TestNobodyIsSuspectedWithoutCause(t *testing.T) {
	const domains, each = 3, 30
	c := newCrowd(t, domains, each)
	c.run(60)
	for second := range 300 {
		c.run(1)
		for address, e := range c.entries {
			if n := len(e.Contacts(everywhere, c.now)); n != domains*each {
				t.Fatalf("after %d s %s counts %d entries", second, address, n)
			}
		}
	}
}
