package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against endless exchange of facts: entries may see more ends than a set holds, and what
// one set evicts another one sends it again. Sets that exchange all their facts must converge.
func TestFullFactSetsConverge(t *testing.T) {
	const sets, each, turns = 6, 600, 20
	now := time.Unix(1e9, 0)
	var all []*quarantine.FactSet
	for b := range uint64(sets) {
		book := quarantine.New(b)
		for n := range uint64(each) {
			id := b*each + n
			book.Merge(quarantine.InstanceEnded{Digest: digestOf(id), Incarnation: registry.Incarnation{ID: fmt.Sprint(id), Start: 1}, Sent: now, At: now.Add(time.Duration(id) * time.Millisecond)})
		}
		all = append(all, book)
	}
	merged := 0
	for range turns {
		merged = 0
		for _, from := range all {
			facts, _ := from.Since(0, from.Len())
			for _, to := range all {
				for _, f := range facts {
					if to.Merge(f) {
						merged++
					}
				}
			}
		}
	}
	if merged > 0 {
		t.Errorf("after %d turns, %d facts are still new", turns, merged)
	}
}
