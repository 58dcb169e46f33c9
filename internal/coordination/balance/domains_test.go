package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/balance"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// threeDomains returns instances of three failure domains, four in each.
func threeDomains() []registry.Instance {
	var out []registry.Instance
	for i := range 12 {
		out = append(out, registry.Instance{ID: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 8})
	}
	return out
}

// sendWithPartition sends requests with different keys, of which those to one failure domain get no
// response. It returns the number of requests to each domain, and a function that fails the pending
// ones.
func sendWithPartition(b *balance.Balancer, w balance.PickInfo, requests int, partitioned string, at time.Time) (got map[string]int, failPending func(time.Time)) {
	got = map[string]int{}
	var pending []registry.Incarnation
	for n := range requests {
		w.Key = uint64(n + 1)
		in, _ := b.Pick(threeDomains(), w, at)
		got[in.FailureDomain]++
		b.Begin(in, at)
		if in.FailureDomain == partitioned {
			pending = append(pending, in.Incarnation())
			continue
		}
		b.RecordResponse(in.Incarnation(), at)
		b.End(in.Incarnation(), balance.Result{Latency: 10 * time.Millisecond}, at)
	}
	return got, func(at time.Time) {
		for _, in := range pending {
			b.End(in, balance.Result{Failed: true}, at)
		}
	}
}

// Once two instances of a failure domain are unresponsive and none of the domain responds, the
// others of the domain must get no requests either, except for probes; a single response ends that.
func TestPartitionedDomainIsAvoided(t *testing.T) {
	b := balance.New(1)
	retryable := balance.PickInfo{Retryable: true}
	at := now.Add(time.Hour)
	sendWithPartition(b, retryable, 30, "", at)
	got, failPending := sendWithPartition(b, retryable, 6, "d1", at)
	if got["d1"] < 2 {
		t.Fatal("too few requests went to the partitioned domain: ", got)
	}
	at = at.Add(600 * time.Millisecond)
	got, failMorePending := sendWithPartition(b, retryable, 100, "d1", at)
	if got["d1"] > 1 {
		t.Errorf("%d of 100 requests went to the partitioned domain", got["d1"])
	}
	at = at.Add(1100 * time.Millisecond)
	got, _ = sendWithPartition(b, balance.PickInfo{}, 100, "d1", at)
	if got["d1"] != 0 {
		t.Errorf("%d probes by requests that are not retryable", got["d1"])
	}
	got, _ = sendWithPartition(b, retryable, 100, "d1", at)
	if got["d1"] != 1 {
		t.Errorf("%d probes after a second", got["d1"])
	}
	failPending(at)
	failMorePending(at)
	b.RecordResponse(incarnation("i1"), at)
	got, _ = sendWithPartition(b, retryable, 100, "", at)
	if got["d1"] < 10 {
		t.Errorf("%d of 100 requests after a response", got["d1"])
	}
}

// An entry that is cut off from other failure domains must use only its own, after a few timeouts.
func TestUnreachableDomainsAreAvoided(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	lost := 0
	for range 200 {
		in, _ := b.Pick(threeDomains(), balance.PickInfo{Retryable: true}, at)
		b.Begin(in, at)
		if in.FailureDomain == "d0" {
			b.RecordResponse(in.Incarnation(), at)
			b.End(in.Incarnation(), balance.Result{Latency: 10 * time.Millisecond}, at)
			at = at.Add(10 * time.Millisecond)
			continue
		}
		lost++
		at = at.Add(500 * time.Millisecond)
		b.End(in.Incarnation(), balance.Result{Failed: true, Unreachable: true, TimedOut: true}, at)
	}
	if lost > 16 {
		t.Errorf("%d of 200 requests timed out", lost)
	}
}

// One unresponsive instance, or some that refuse connections, must not make their domain count as
// cut off.
func TestFaultyInstancesAreNoPartition(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	one := threeDomains()[1]
	b.Begin(one, at)
	for _, in := range threeDomains()[4:] {
		if in.FailureDomain == "d1" {
			b.Begin(in, at)
			b.End(in.Incarnation(), balance.Result{Failed: true, Unreachable: true}, at)
		}
	}
	at = at.Add(3 * time.Second)
	got, _ := sendWithPartition(b, balance.PickInfo{}, 100, "", at)
	if diff := cmp.Diff(true, got["d1"] > 10); diff != "" {
		t.Error(got, diff)
	}
}

// If all failure domains look cut off, none is avoided.
func TestAllDomainsPartitionedAvoidsNone(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	for _, in := range threeDomains() {
		b.Begin(in, at)
	}
	_, ok := b.Pick(threeDomains(), balance.PickInfo{}, at.Add(time.Minute))
	if diff := cmp.Diff(true, ok); diff != "" {
		t.Error(diff)
	}
}

// A failure domain that is known to be unreachable gets no requests at once, also without evidence of
// this entry's own and without probes, until it responds or is reachable again.
func TestUnreachableDomainIsAvoidedAtOnce(t *testing.T) {
	b := balance.New(1)
	at := now.Add(time.Hour)
	sendWithPartition(b, balance.PickInfo{Retryable: true}, 30, "", at)
	info := balance.PickInfo{Retryable: true, Unreachable: map[string]time.Time{"d1": at.Add(time.Millisecond)}}
	for range 10 {
		at = at.Add(time.Second)
		got, _ := sendWithPartition(b, info, 30, "d1", at)
		if diff := cmp.Diff(0, got["d1"]); diff != "" {
			t.Error("requests to the unreachable domain: ", diff)
		}
	}
	b.RecordResponse(threeDomains()[1].Incarnation(), at)
	got, _ := sendWithPartition(b, info, 30, "", at)
	if got["d1"] == 0 {
		t.Error("the domain has responded and gets nothing")
	}
	info.Unreachable = map[string]time.Time{"d0": at.Add(time.Second), "d1": at.Add(time.Second), "d2": at.Add(time.Second)}
	got, _ = sendWithPartition(b, info, 30, "", at)
	if len(got) != 3 {
		t.Error("if all domains are unreachable, none is avoided: ", got)
	}
}
