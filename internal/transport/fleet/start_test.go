package fleet_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// controls is how many control instances tell entries what they heard.
	controls = 8
	// perEntry is how many instances there are for each entry.
	perEntry = 10
	// beats is how often instances report, all of them within one such time.
	beats = 1200 * time.Millisecond
)

// watching is what one entry was told by one source.
type watching struct {
	answers, bytes int
	known          map[string]bool
}

// follow polls as entries do until ctx ends.
func (w *watching) follow(ctx context.Context, s *fleet.Source, name string) {
	w.known = map[string]bool{}
	in := &wire.FleetRequest{Name: name, Entry: true, Paged: true, WaitMilliseconds: 1000}
	for {
		out, err := s.Watch(ctx, in)
		if err != nil {
			return
		}
		w.answers++
		w.bytes += proto.Size(out)
		for _, r := range out.Instances {
			w.known[r.Id] = true
		}
		in.Epoch, in.Change, in.Backlog, in.ControlChange = out.Epoch, out.Change, out.Backlog, out.ControlChange
		in.FactsChange, in.StoreChange, in.StoreBacklog = out.FactsChange, out.StoreChange, out.StoreBacklog
		// The way there and back, and the work on the answer.
		<-time.After(5 * time.Millisecond)
	}
}

// reporter is an instance as it reports, with the names that deployments give.
func reporter(n int, sequence uint64) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprintf("i-%010x", n), Service: "gowu98c", Address: fmt.Sprintf("10.2.%d.%d:8582", n/250, n%250), FailureDomain: "bilbao-dos",
		Slots: 12, Sequence: sequence, Weights: map[string]uint64{"daka510000": 1},
	}
}

// The pattern: everything is killed at once, and all instances report to control instances that
// have just started, within one heartbeat, each to another one than before. An entry has a fifth of
// a core and 10 Mbit/s, of which being told may take a fifth and a second: some 40 answers a second
// from all sources together, of a millisecond each, and 1.25 MB.
func TestReportsOfAStartAreToldTogether(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { reportsOfAStart(t, entries) })
		})
	}
}

func reportsOfAStart(t *testing.T, entries int) {
	const settling = 300 * time.Millisecond
	const mostAnswers, mostBytes = int((beats + settling) / (150 * time.Millisecond)), 1_250_000 / controls
	clocktest.New(t)
	ctx, end := context.WithCancel(t.Context())
	source := fleet.NewSource(ctx, beats, quiet)
	watchers := make([]watching, entries)
	var group sync.WaitGroup
	for i := range watchers {
		group.Go(func() { watchers[i].follow(ctx, source, fmt.Sprint("e", i)) })
	}
	synctest.Wait()
	// Each source hears of its part of the instances.
	part := entries * perEntry / controls
	for n := range part {
		<-time.After(beats / time.Duration(part))
		source.RecordHeartbeat(reporter(n, 1))
	}
	// What came last is told with the next news.
	<-time.After(settling)
	end()
	group.Wait()
	for i, w := range watchers {
		if w.answers > mostAnswers || w.bytes > mostBytes || len(w.known) != part {
			t.Fatalf("entry %d got %d answers (at most %d), %d bytes (at most %d), %d of %d instances", i, w.answers, mostAnswers, w.bytes, mostBytes, len(w.known), part)
		}
	}
}

// An instance that was written down and reports what it reported before changes nothing that
// anybody must be told.
func TestRecalledInstancesThatReportAreNoNews(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, quiet)
	first.Persist(life, path)
	first.RecordHeartbeat(reporter(1, 5))
	wait(t, "it is written", func() bool {
		next := fleet.NewSource(t.Context(), heartbeat, quiet)
		next.Persist(t.Context(), path)
		out, err := next.Watch(t.Context(), &wire.FleetRequest{})
		return err == nil && len(out.Instances) == 1
	})
	end()
	next := fleet.NewSource(t.Context(), heartbeat, quiet)
	next.Persist(t.Context(), path)
	before, err := next.Watch(t.Context(), &wire.FleetRequest{})
	if err != nil {
		t.Fatal(err)
	}
	next.RecordHeartbeat(reporter(1, 6))
	after, err := next.Watch(t.Context(), &wire.FleetRequest{Epoch: before.Epoch, Change: before.Change})
	if err != nil || after.Change != before.Change {
		t.Errorf("change %d became %d: %v", before.Change, after.Change, err)
	}
}
