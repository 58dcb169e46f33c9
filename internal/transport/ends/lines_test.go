package ends_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// lines counts log lines, and those of them that name a digest.
type lines struct {
	all    int
	digest string
	naming int
}

func (l *lines) Write(line []byte) (int, error) {
	l.all++
	if strings.Contains(string(line), l.digest) {
		l.naming++
	}
	return len(line), nil
}

// The pattern: an entry starts after a failure domain was lost, and is told at once of hundreds of
// instances that ended. It is waited for meanwhile: it writes a few lines with counts, not one for
// each. What comes alone is named.
func TestManyEndsHeardAreCounted(t *testing.T) {
	const most = 4
	told := &lines{digest: digest(7).String()}
	tracker := newTracker()
	tracker.Log = &log.Logger{Writer: log.IOWriter{Writer: told}}
	ended := func(n int) quarantine.Fact {
		of := registry.Incarnation{ID: fmt.Sprint("i", n), Start: 1}
		return quarantine.InstanceEnded{Digest: digest(n), Incarnation: of, Address: "at " + of.ID, Sent: time.Now(), At: time.Now()}
	}
	var facts []quarantine.Fact
	for n := range 250 {
		facts = append(facts, ended(1000+n))
	}
	tracker.Merge("c", facts)
	if told.all == 0 || told.all > most {
		t.Errorf("%d lines for %d ends", told.all, len(facts))
	}
	tracker.Merge("c", []quarantine.Fact{ended(7)})
	if told.naming != 1 {
		t.Errorf("%d lines name the digest of an end that was told by itself", told.naming)
	}
}
