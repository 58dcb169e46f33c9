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
	// fleetSize is how many instances a large deployment runs, each of them known to every
	// control instance.
	fleetSize = 3100
	// storeCount and partsSize are its stores and the parts that they keep in all: 60,000
	// parts take 4 MB, more than a link of 10 Mbit/s carries in the 2 s of a poll.
	storeCount, partsSize = 10, 60_000
	// reportBytes and partBytes are what one instance and one part take in an answer.
	reportBytes, partBytes = 190, 75
)

// fleetInstance is an instance as long as those of a real deployment.
func fleetInstance(i int) registry.Instance {
	return registry.Instance{
		ID: fmt.Sprintf("engine-%05d-7f3a9c52d1e84b06", i), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		FailureDomain: fmt.Sprintf("region-%d/zone-%d", i%3, i%9), Slots: 64, Sequence: 1,
		Weights: map[string]uint64{"model-large": 1, "model-small": 1, "model-embeddings": 1},
	}
}

// startFleet starts control instances that have all heard of instances, which stay although
// they report only once.
func startFleet(t *testing.T, n int) []*control {
	t.Helper()
	controls := startControls(t, controlSeen)
	for _, c := range controls {
		c.source.Store(fleet.NewSource(t.Context(), time.Hour, quiet))
	}
	hearFleet(controls, n)
	return controls
}

// hearFleet lets some control instances hear of instances, each in the same order.
func hearFleet(controls []*control, n int) {
	for _, c := range controls {
		for i := range n {
			c.source.Load().RecordHeartbeat(fleetInstance(i))
		}
	}
}

// partsOf are the parts of one store, with ids as long as a digest.
func partsOf(store, n int) map[keeping.Part]int {
	out := make(map[keeping.Part]int, n)
	for i := range n {
		out[keeping.Part{Salt: "model-large@1", ID: fmt.Sprintf("%02x%030x", store, i*7919)}] = 16
	}
	return out
}

func storeAddress(store int) string { return fmt.Sprintf("10.200.0.%d:9000", store) }

// publishStores lets a control instance, as the leader does, tell what stores keep.
func publishStores(c *control, until time.Duration, parts int) {
	for s := range storeCount {
		c.source.Load().PublishStore(storeAddress(s), keeping.StoreContents{Until: until, FreeTokens: 100, Parts: partsOf(s, parts/storeCount)})
	}
}

func partsKnown(f *fleet.Follower) int {
	n := 0
	for _, kept := range f.View().Stores {
		n += len(kept.Parts)
	}
	return n
}

// knownWithin is how long so many bytes may take over an entry's link: twice what it
// takes alone, and some seconds for a busy machine. Under the race detector it is processor
// time that passes, so the tests are run without it as well.
func knownWithin(bytes int) time.Duration {
	return slowdown * (5*time.Second + 2*time.Duration(bytes/linkRate)*time.Second)
}
