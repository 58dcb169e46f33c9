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
	// controlCount is the number of control instances.
	controlCount = 8
	// instancesPerEntry is the number of instances per entry.
	instancesPerEntry = 10
	// reportInterval is the heartbeat interval, within which all instances report once.
	reportInterval = 1200 * time.Millisecond
)

// pollingEntry is an entry that polls one source, with what it has received.
type pollingEntry struct {
	answers, bytes int
	known          map[string]bool
}

// poll polls as entries do until ctx ends.
func (w *pollingEntry) poll(ctx context.Context, s *fleet.Source, name string) {
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
		// The round trip and the processing of the answer.
		<-time.After(5 * time.Millisecond)
	}
}

// reportingInstance returns an instance with names as in a deployment.
func reportingInstance(n int, sequence uint64) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprintf("i-%010x", n), Service: "gowu98c", Address: fmt.Sprintf("10.2.%d.%d:8582", n/250, n%250), FailureDomain: "bilbao-dos",
		Slots: 12, Sequence: sequence, Weights: map[string]uint64{"daka510000": 1},
	}
}

// All processes are killed at once, and all instances report to control instances that have just
// started, within one heartbeat, each to a different one than before. An entry has a fifth of a
// core and 10 Mbit/s. The reports may take a fifth of that for a second: some 40 answers per second
// from all sources together, of a millisecond each, and 1.25 MB.
func TestStartupReportsAreBatched(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStartupReports(t, entries) })
		})
	}
}

func testStartupReports(t *testing.T, entries int) {
	const settling = 300 * time.Millisecond
	const mostAnswers, mostBytes = int((reportInterval + settling) / (150 * time.Millisecond)), 1_250_000 / controlCount
	clocktest.New(t)
	ctx, end := context.WithCancel(t.Context())
	source := fleet.NewSource(ctx, reportInterval, discardLogger)
	watchers := make([]pollingEntry, entries)
	var group sync.WaitGroup
	for i := range watchers {
		group.Go(func() { watchers[i].poll(ctx, source, fmt.Sprint("e", i)) })
	}
	synctest.Wait()
	// Each source receives the reports of its part of the instances.
	part := entries * instancesPerEntry / controlCount
	for n := range part {
		<-time.After(reportInterval / time.Duration(part))
		source.RecordHeartbeat(reportingInstance(n, 1))
	}
	// The last changes are sent with the next notification.
	<-time.After(settling)
	end()
	group.Wait()
	for i, w := range watchers {
		if w.answers > mostAnswers || w.bytes > mostBytes || len(w.known) != part {
			t.Fatalf("entry %d got %d answers (at most %d), %d bytes (at most %d), %d of %d instances", i, w.answers, mostAnswers, w.bytes, mostBytes, len(w.known), part)
		}
	}
}

// A restored instance that reports the same as before the restart must not cause a change that
// pollers must receive.
func TestUnchangedReportAfterRestoreIsNoChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "instances")
	life, end := context.WithCancel(t.Context())
	first := fleet.NewSource(life, heartbeat, discardLogger)
	first.Persist(life, path)
	first.RecordHeartbeat(reportingInstance(1, 5))
	waitFor(t, "the file is written", func() bool {
		next := fleet.NewSource(t.Context(), heartbeat, discardLogger)
		next.Persist(t.Context(), path)
		out, err := next.Watch(t.Context(), &wire.FleetRequest{})
		return err == nil && len(out.Instances) == 1
	})
	end()
	next := fleet.NewSource(t.Context(), heartbeat, discardLogger)
	next.Persist(t.Context(), path)
	before, err := next.Watch(t.Context(), &wire.FleetRequest{})
	if err != nil {
		t.Fatal(err)
	}
	next.RecordHeartbeat(reportingInstance(1, 6))
	after, err := next.Watch(t.Context(), &wire.FleetRequest{Epoch: before.Epoch, Change: before.Change})
	if err != nil || after.Change != before.Change {
		t.Errorf("change %d became %d: %v", before.Change, after.Change, err)
	}
}
