package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/transport/fleet"
)

// cutOff partitions the control instances of some failure domains off from the processes of all other
// domains, until heal is called: polls get no answer. domainOf gives the domain of each poller.
func cutOff(controls []*relayingControl, domainOf map[string]string, domains ...string) (heal func()) {
	for _, c := range controls {
		holds := func(poller string) bool {
			of := domainOf[poller]
			return of != c.domain && (slices.Contains(domains, of) || slices.Contains(domains, c.domain))
		}
		c.holds.Store(&holds)
	}
	return func() {
		for _, c := range controls {
			c.holds.Store(nil)
		}
	}
}

// startDomains starts n control instances in three failure domains and an entry in each, and returns the
// domain of each process by its name.
func startDomains(t *testing.T, n int) (controls []*relayingControl, entries map[string]*fleet.Follower, domainOf map[string]string) {
	t.Helper()
	const domains = 3
	controls = startRelayingControls(t, n, domains, time.Hour)
	entries, domainOf = map[string]*fleet.Follower{}, map[string]string{}
	for i := range domains {
		domain := fmt.Sprint("d", i)
		entries[domain] = startRelayedEntry(t, "entry in "+domain, domain, controls[i], nil)
		domainOf["entry in "+domain] = domain
	}
	for i, c := range controls {
		domainOf[controlName(c.address())] = c.domain
		c.source.RecordHeartbeat(instance(fmt.Sprint("i", i), 1))
	}
	for _, f := range entries {
		waitFor(t, "all instances are known", func() bool { return len(liveIDs(f)) == len(controls) })
	}
	return controls, entries, domainOf
}

func unreachable(f *fleet.Follower) string {
	return strings.Join(slices.Sorted(maps.Keys(f.View().Unreachable)), " ")
}

// An entry that sends one request per second to thousands of instances needs some seconds to detect a
// partitioned failure domain. Its control instances report the partition on both sides, and its end.
func TestEntriesLearnOfUnreachableDomains(t *testing.T) {
	controls, entries, domainOf := startDomains(t, 6)
	heal := cutOff(controls, domainOf, "d1")
	for domain, want := range map[string]string{"d0": "d1", "d1": "d0 d2", "d2": "d1"} {
		waitFor(t, "the entry in "+domain+" knows what it can't reach", func() bool { return unreachable(entries[domain]) == want })
	}
	heal()
	for domain, f := range entries {
		waitFor(t, "the entry in "+domain+" can reach all", func() bool { return unreachable(f) == "" })
	}
}

// The failure or partition of a single control instance does not make its failure domain unreachable.
func TestLostControlInstancesDoNotMakeDomainsUnreachable(t *testing.T) {
	const observed = 3 * time.Second
	for name, test := range map[string]struct {
		n       int
		disturb func(controls []*relayingControl, domainOf map[string]string)
	}{
		"one of two is lost":   {6, func(controls []*relayingControl, _ map[string]string) { controls[1].stop() }},
		"the only one is lost": {4, func(controls []*relayingControl, _ map[string]string) { controls[1].stop() }},
		"one of two reaches nobody": {6, func(controls []*relayingControl, _ map[string]string) {
			alone := controlName(controls[0].address())
			for _, c := range controls {
				holds := func(poller string) bool { return (poller == alone) != (c == controls[0]) }
				c.holds.Store(&holds)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			controls, entries, domainOf := startDomains(t, test.n)
			test.disturb(controls, domainOf)
			for end := time.Now().Add(observed); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
				for domain, f := range entries {
					if diff := cmp.Diff("", unreachable(f)); diff != "" {
						t.Fatalf("unreachable from %s: %s", domain, diff)
					}
				}
			}
		})
	}
}
