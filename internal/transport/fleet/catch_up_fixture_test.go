package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// fleetSize is the number of instances in a large deployment. Each control instance knows all
	// of them.
	fleetSize = 3100
	// storeCount is the number of stores in it, and partsSize the number of parts that they hold in
	// all: 60,000 parts take 4 MB, more than a link of 10 Mbit/s carries in the 2 s of a poll.
	storeCount, partsSize = 10, 60_000
	// reportBytes and partBytes are the sizes of one instance and one part in an answer.
	reportBytes, partBytes = 190, 75
)

// fleetInstance returns an instance with names as long as those of a real deployment.
func fleetInstance(i int) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprintf("engine-%05d-7f3a9c52d1e84b06", i), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		FailureDomain: fmt.Sprintf("region-%d/zone-%d", i%3, i%9), Slots: 64, Sequence: 1,
		Weights: map[string]uint64{"model-large": 1, "model-small": 1, "model-embeddings": 1},
	}
}

// startControlsWithInstances starts control instances that have all received a heartbeat of n
// instances. Their heartbeat interval is so long that no instance becomes silent.
func startControlsWithInstances(t *testing.T, n int) []*controlServer {
	t.Helper()
	controls := startControls(t, observedControls)
	storeInstances(t, controls, n)
	return controls
}

// storeInstances replaces the sources of control instances by ones that know n instances.
func storeInstances(t *testing.T, controls []*controlServer, n int) {
	t.Helper()
	for _, c := range controls {
		source := fleet.NewSource(t.Context(), time.Hour, discardLogger)
		for i := range n {
			source.RecordHeartbeat(fleetInstance(i))
		}
		c.source.Store(source)
	}
}

// partsOf returns the parts of one store, with ids as long as a digest.
func partsOf(store, n int) map[keeping.Part]int {
	out := make(map[keeping.Part]int, n)
	for i := range n {
		out[keeping.Part{Salt: "model-large@1", ID: fmt.Sprintf("%02x%030x", store, i*7919)}] = 16
	}
	return out
}

func storeAddress(store int) string { return fmt.Sprintf("10.200.0.%d:9000", store) }

// publishStores publishes the contents of all stores at a control instance, as the leader does.
func publishStores(c *controlServer, until time.Duration, parts int) {
	for s := range storeCount {
		c.source.Load().PublishStore(storeAddress(s), keeping.StoreContents{Until: until, FreeTokens: 100, Parts: partsOf(s, parts/storeCount)})
	}
}

func countInstances(f *fleet.Follower) int { return len(f.View().Instances["s"]) }

func countParts(f *fleet.Follower) int {
	n := 0
	for _, contents := range f.View().Stores {
		n += len(contents.Parts)
	}
	return n
}

// linkTimeout is the time limit for a transfer over an entry's link: twice what the transfer takes alone.
func linkTimeout(bytes int) time.Duration {
	return 2 * time.Duration(bytes) * time.Second / linkRate
}

// transferTimeout is the time limit for a transfer and its processing, on a processor for each entry. Under the
// race detector it is processor time that dominates, so the tests are run without it as well.
func transferTimeout(bytes int) time.Duration {
	return slowdown * (5*time.Second + 2*time.Duration(bytes/linkRate)*time.Second)
}
