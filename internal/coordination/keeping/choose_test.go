package keeping_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
)

// twoStores are a quick small one and a slow large one, in two failure domains.
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

// inQuick counts how many of a thousand parts go to the quick store.
func inQuick(s keeping.Stores, domain string) int {
	n := 0
	for i := range 1000 {
		address, ok := s.Place(keeping.Part{ID: fmt.Sprint(i)}, 1000, domain)
		if ok && address == "quick" {
			n++
		}
	}
	return n
}

// New parts go where they move quickly, whatever is open there; to a store in the same failure
// domain more often; and to one that is nearly full less often.
func TestPartsGoToQuickStores(t *testing.T) {
	near, far := inQuick(twoStores(60_000), "a"), inQuick(twoStores(60_000), "b")
	if near < 800 || far < 500 || far >= near {
		t.Errorf("%d of 1000 in the near quick store, %d in the far one", near, far)
	}
	if n := inQuick(twoStores(3_000), "a"); n == 0 || n > near/2 {
		t.Errorf("%d of 1000 in a quick store that is nearly full", n)
	}
	if diff := cmp.Diff(0, inQuick(twoStores(1_000), "a")); diff != "" {
		t.Error("in a store that is full: ", diff)
	}
}

// All entries choose the same store for a part, also where links are not told.
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
