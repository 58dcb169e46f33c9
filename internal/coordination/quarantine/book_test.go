package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Many entries may see more ends than a book holds. What one book drops to make room, another tells
// it again; books that tell each other all they know come to rest all the same.
func TestFullBooksComeToRest(t *testing.T) {
	const books, each, turns = 6, 600, 20
	now := time.Unix(1e9, 0)
	var all []*quarantine.FactSet
	for b := range uint64(books) {
		book := quarantine.New(b)
		for n := range uint64(each) {
			id := b*each + n
			book.Merge(quarantine.InstanceEnded{Digest: digestOf(id), Incarnation: registry.Incarnation{ID: fmt.Sprint(id), Start: 1}, Sent: now, At: now.Add(time.Duration(id) * time.Millisecond)})
		}
		all = append(all, book)
	}
	news := 0
	for range turns {
		news = 0
		for _, from := range all {
			facts, _ := from.Since(0, from.Len())
			for _, to := range all {
				for _, f := range facts {
					if to.Merge(f) {
						news++
					}
				}
			}
		}
	}
	if news > 0 {
		t.Errorf("after %d turns %d facts are still news", turns, news)
	}
}
