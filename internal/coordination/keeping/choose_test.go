package keeping_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/residency"
)

// twoStores are a fast small store and a slow large one, in two failure domains.
func twoStores(quickOpen int) keeping.Stores {
	now := time.Unix(0, 0)
	return keeping.Stores{
		Contents: map[string]keeping.StoreContents{"quick": {FreeTokens: quickOpen, ReceivedAt: now}, "slow": {FreeTokens: 700_000, ReceivedAt: now}},
		Declared: map[string]deployment.Store{
			"quick": {FailureDomain: "a", MemoryTokens: 70_000, LinkRate: 70_000},
			"slow":  {FailureDomain: "b", MemoryTokens: 700_000, LinkRate: 28_000},
		},
		Now: now,
	}
}

// countInQuick returns how many of a thousand parts are placed in the store "quick".
func countInQuick(s keeping.Stores, domain string) int {
	n := 0
	for i := range 1000 {
		address, ok := s.Place(keeping.Part{ID: fmt.Sprint(i)}, 1000, domain)
		if ok && address == "quick" {
			n++
		}
	}
	return n
}

// New parts are placed in the faster store, even if it has less free space; more often if it is in
// the same failure domain, and less often if it is nearly full.
func TestPartsGoToQuickStores(t *testing.T) {
	near, far := countInQuick(twoStores(60_000), "a"), countInQuick(twoStores(60_000), "b")
	if near < 800 || far < 500 || far >= near {
		t.Errorf("%d of 1000 in the quick store from its own failure domain, %d from another one", near, far)
	}
	if n := countInQuick(twoStores(3_000), "a"); n == 0 || n > near/2 {
		t.Errorf("%d of 1000 in the quick store when it is nearly full", n)
	}
	if diff := cmp.Diff(0, countInQuick(twoStores(1_000), "a")); diff != "" {
		t.Error("in a full store: ", diff)
	}
}

// All entries choose the same store for a part, even if the stores declare no link speed.
func TestEntriesAgreeOnAStore(t *testing.T) {
	s := twoStores(60_000)
	s.Declared = nil
	for i := range 100 {
		part := keeping.Part{ID: fmt.Sprint(i)}
		a, _ := s.Place(part, 1000, "a")
		b, _ := s.Place(part, 1000, "b")
		if a == "" || a != b {
			t.Fatalf("%v: %q and %q", part, a, b)
		}
	}
}

// Parts whose data is restricted to a region are neither saved in a store of another region nor
// fetched from one, where they may lie from before the restriction. Without a restriction both
// stores are used.
func TestRestrictedPartsStayInTheirRegion(t *testing.T) {
	part := keeping.Part{Salt: "s", ID: "p"}
	s := twoStores(60_000)
	s.Regions = residency.Regions{"a": "north", "b": "south"}
	quick := s.Contents["quick"]
	quick.Parts, quick.Until = map[keeping.Part]int{part: 100}, time.Minute
	s.Contents["quick"] = quick
	if address, _, ok := s.Holder(part); !ok || address != "quick" {
		t.Errorf("an unrestricted part is fetched from %q", address)
	}
	s.Residency = residency.NewPolicy([]string{"south"})
	if address, _, ok := s.Holder(part); ok {
		t.Errorf("a part that is restricted to the south is fetched from %q", address)
	}
	if n := countInQuick(s, "a"); n != 0 {
		t.Errorf("%d of 1000 parts that are restricted to the south are saved in the north", n)
	}
	s.Residency = residency.NewPolicy([]string{"north"})
	if n := countInQuick(s, "b"); n != 1000 {
		t.Errorf("%d of 1000 parts that are restricted to the north are saved there", n)
	}
	if address, _, ok := s.Holder(part); !ok || address != "quick" {
		t.Errorf("a part that is restricted to the north is fetched from %q", address)
	}
}

// KV cache that was kept under one residency policy is not found under another one.
func TestSaltSeparatesResidency(t *testing.T) {
	salt := keeping.Salt{Model: "m", Version: 3, Residency: residency.NewPolicy([]string{"south", "north"})}
	if diff := cmp.Diff(`v3/"m"/["north","south"]`, salt.String()); diff != "" {
		t.Error(diff)
	}
	model, version, ok := keeping.VersionOf(salt.String())
	if model != "m" || version != 3 || !ok {
		t.Errorf("VersionOf gives %q, %d, %t", model, version, ok)
	}
}
