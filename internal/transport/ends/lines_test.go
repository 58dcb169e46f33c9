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

// lines counts log lines, and those that contain a digest.
type lines struct {
	all        int
	digest     string
	withDigest int
}

func (l *lines) Write(line []byte) (int, error) {
	l.all++
	if strings.Contains(string(line), l.digest) {
		l.withDigest++
	}
	return len(line), nil
}

// Guards against one log line per end when an entry starts after the loss of a failure domain and
// receives hundreds of ends at once, which would delay its start. It logs a few lines with counts; an
// end that arrives alone is logged with its digest.
func TestManyReceivedEndsAreLoggedAsCounts(t *testing.T) {
	const most = 4
	logged := &lines{digest: digest(7).String()}
	tracker := newTracker()
	tracker.Log = &log.Logger{Writer: log.IOWriter{Writer: logged}}
	ended := func(n int) quarantine.Fact {
		of := registry.Incarnation{ID: fmt.Sprint("i", n), Start: 1}
		return quarantine.InstanceEnded{Digest: digest(n), Incarnation: of, Address: "at " + of.ID, Sent: time.Now(), At: time.Now()}
	}
	var facts []quarantine.Fact
	for n := range 250 {
		facts = append(facts, ended(1000+n))
	}
	tracker.Merge("c", facts)
	if logged.all == 0 || logged.all > most {
		t.Errorf("%d lines for %d ends", logged.all, len(facts))
	}
	tracker.Merge("c", []quarantine.Fact{ended(7)})
	if logged.withDigest != 1 {
		t.Errorf("%d lines contain the digest of an end that was received alone", logged.withDigest)
	}
}
