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

// cluster simulates entries that exchange gossip, in steps of one second.
type cluster struct {
	t       *testing.T
	now     time.Time
	entries map[string]*membership.Entries
	states  map[string]membership.EntryState
	seeds   []string
	// drop reports whether a message is lost.
	drop func(from, to membership.EntryState) bool
	// bytes counts the bytes that each entry sent and received, replies included.
	bytes map[string]int
}

func newCluster(t *testing.T, domains, each int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), entries: map[string]*membership.Entries{}, states: map[string]membership.EntryState{},
		drop: func(_, _ membership.EntryState) bool { return false }, bytes: map[string]int{},
	}
	for d := range domains {
		for i := range each {
			c.start(fmt.Sprintf("d%d", d), fmt.Sprintf("e%02d-%02d", d, i))
		}
	}
	c.seeds = []string{c.states["e00-00"].Address, c.states["e00-01"].Address}
	return c
}

// start starts or restarts an entry.
func (c *cluster) start(domain, name string) {
	address := "10." + name + ":7080"
	s := membership.EntryState{Name: name, Address: address, FailureDomain: domain, Start: uint64(c.now.UnixNano())}
	c.states[address] = s
	c.states[name] = s
	c.entries[address] = membership.NewEntries(s, uint64(len(c.entries)))
}

func (c *cluster) kill(name string) { delete(c.entries, c.states[name].Address) }

func (c *cluster) addresses() []string {
	var out []string
	for a := range c.entries {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// send delivers a message, and the requests and replies that result from it.
func (c *cluster) send(from, to string, g membership.Gossip) {
	receiver, ok := c.entries[to]
	if !ok || c.drop(c.states[from], c.states[to]) {
		return
	}
	c.count(from, to, g)
	result := receiver.Receive(g, c.now)
	c.requestOutdated(to, from, result)
	if len(result.Reply.States) > 0 {
		c.count(to, from, result.Reply)
		c.requestOutdated(from, to, c.entries[from].Receive(result.Reply, c.now))
	}
}

func (c *cluster) requestOutdated(from, to string, result membership.ReceiveResult) {
	if len(result.Outdated) > 0 {
		c.send(from, to, c.entries[from].DomainRequest(result.Outdated))
	}
}

func (c *cluster) count(from, to string, g membership.Gossip) {
	n := proto.Size(wire.FromGossip(g))
	c.bytes[from] += n
	c.bytes[to] += n
}

func (c *cluster) run(seconds int) {
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

func allDomains(string) bool { return true }

// checkViews checks that every entry knows exactly the running entries, and that all compute
// the same owner.
func (c *cluster) checkViews(what string) {
	c.t.Helper()
	var want []string
	for a := range c.entries {
		want = append(want, a)
	}
	slices.Sort(want)
	owner := ""
	for _, address := range c.addresses() {
		var got []string
		contacts := c.entries[address].Contacts(allDomains, c.now)
		for _, m := range contacts {
			got = append(got, m.Address)
		}
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			c.t.Fatalf("%s: view of %s: %s", what, address, diff)
		}
		o := c.entries[address].Owners(1, contacts)[0].Name
		if owner != "" && o != owner {
			c.t.Fatalf("%s: entries compute different owners, %s and %s", what, owner, o)
		}
		owner = o
	}
}

func TestDiscoveryThroughRelays(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.run(30)
	c.checkViews("start")
	c.kill("e01-00")
	c.kill("e02-02")
	c.run(60)
	c.checkViews("a relay and another entry dead")
	c.start("d1", "e01-00")
	c.run(30)
	c.checkViews("the relay is restarted")
}

// TestDomainPartitionHeals partitions one failure domain from the others. Each side must
// count only its own entries, and both must count all after the partition heals, also one
// that lasted longer than the sides keep each other's records.
func TestDomainPartitionHeals(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.run(30)
	for _, length := range []int{60, 600} {
		c.drop = func(from, to membership.EntryState) bool {
			return (from.FailureDomain == "d3") != (to.FailureDomain == "d3")
		}
		c.run(length)
		if n := len(c.entries[c.states["e03-00"].Address].Contacts(allDomains, c.now)); n != 2 {
			t.Fatalf("an entry of the partitioned domain counts %d entries, want 2", n)
		}
		if diff := cmp.Diff(map[string]bool{"d1": false, "d2": false, "d3": true}, c.entries[c.states["e00-00"].Address].SilentDomains(c.now)); diff != "" {
			t.Fatal(diff)
		}
		if n := len(c.entries[c.states["e00-00"].Address].Contacts(allDomains, c.now)); n != 6 {
			t.Fatalf("an entry of the other domains counts %d entries, want 6", n)
		}
		c.drop = func(_, _ membership.EntryState) bool { return false }
		c.run(60)
		c.checkViews(fmt.Sprintf("healed after %d s", length))
	}
}

// TestWholeDomainRestarts restarts every entry of a domain. Its heartbeat counter begins at
// 0 then, while the other domains remember a higher one and would ignore its updates.
func TestWholeDomainRestarts(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.run(300)
	c.start("d2", "e02-00")
	c.start("d2", "e02-01")
	c.run(30)
	c.checkViews("restarted")
	c.kill("e02-00")
	c.kill("e02-01")
	c.run(60)
	c.start("d2", "e02-07")
	c.run(30)
	c.checkViews("replaced by another entry")
}

// TestRestartedEntryGetsFullView restarts an entry under the same name and address. A seed
// that still has the record of its former run must send it all other entries at once.
func TestRestartedEntryGetsFullView(t *testing.T) {
	c := newCluster(t, 1, 20)
	c.run(30)
	c.start("d0", "e00-09")
	c.run(1)
	if n := len(c.entries[c.states["e00-09"].Address].Live(c.now)); n != 20 {
		t.Fatalf("the restarted entry knows %d entries after 1 s, want 20", n)
	}
}

// TestOwnersStayInTheRegion checks that every part of the directory is owned within the region.
func TestOwnersStayInTheRegion(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.run(30)
	near := func(domain string) bool { return domain == "d0" || domain == "d1" }
	e := c.entries[c.states["e00-00"].Address]
	for _, o := range e.Owners(200, e.Contacts(near, c.now)) {
		if s := c.states[o.Name]; !near(s.FailureDomain) {
			t.Fatalf("%s in %s, outside the region, owns a part", o.Name, s.FailureDomain)
		}
	}
}

// TestGossipBytes bounds the bandwidth of gossip in a deployment of 13 failure domains with
// 30 entries each: it must not grow with the entries of other failure domains. The figures
// are printed for docs/CAPACITY.md.
func TestGossipBytes(t *testing.T) {
	var relay, other int
	for _, size := range []struct{ domains, each int }{{1, 30}, {13, 30}} {
		c := newCluster(t, size.domains, size.each)
		c.run(40)
		c.checkViews("start")
		c.bytes = map[string]int{}
		const seconds = 30
		c.run(seconds)
		relay, other = c.bytes[c.states["e00-00"].Address]/seconds, c.bytes[c.states["e00-20"].Address]/seconds
		t.Logf("%d domains of %d entries: %d bytes/s at a relay, %d bytes/s at another entry", size.domains, size.each, relay, other)
	}
	if relay > 3000 || other > 3000 {
		t.Fatal("gossip takes more than 3000 bytes/s, its share of 4 KB/s")
	}
}

// TestNoFalseSuspicions runs 30 entries in each domain for five minutes without message
// loss. No entry may ever be missing from another's view, because its parts of the directory
// would be reassigned needlessly.
func TestNoFalseSuspicions(t *testing.T) {
	const domains, each = 3, 30
	c := newCluster(t, domains, each)
	c.run(60)
	for second := range 300 {
		c.run(1)
		for address, e := range c.entries {
			if n := len(e.Contacts(allDomains, c.now)); n != domains*each {
				t.Fatalf("after %d s %s counts %d entries, want 90", second, address, n)
			}
		}
	}
}
