package system_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/system/processes"
)

// orders reads an engine's orders back.
func orders(t *testing.T, address string) engine.OrderState {
	t.Helper()
	var s engine.OrderState
	res, err := http.Get("http://" + address + engine.PathOrders)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRolloutWhileLeadersDie changes the weight version under load and kills the
// leader while engines load: at most two load at a time, every prompt is answered,
// and an order with an old token is refused or put right.
func TestRolloutWhileLeadersDie(t *testing.T) {
	f := newFleet(t, 3, 1)
	const engines = 4
	var addresses []string
	upstreams := "upstreams:\n"
	for i := range engines {
		address := processes.FreeAddress(t)
		addresses = append(addresses, address)
		args := []string{"--token-interval", "1ms", "--load-lag", "10ms", "--load-time", "300ms"}
		checks := i > 0
		if !checks {
			args = append(args, "--no-order-check")
		}
		startStandin(t, "upstream", address, args...)
		upstreams += fmt.Sprintf("  - {name: w%d, address: %q, failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 8000, link_bytes_per_second: 1e9, checks_orders: %v}\n", i, address, checks)
	}
	f.apply("upstreams", 2, upstreams)
	eventually(t, "prompts are served", func() bool { outcome, _ := f.prompt(0); return outcome == "ran" })
	var stop atomic.Bool
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		for !stop.Load() {
			if outcome, status := f.prompt(0); outcome == "ran" && status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		}
	})
	f.apply("models", 2, models("v2"))
	eventually(t, "a load has begun", func() bool { return orders(t, addresses[1]).Loading == "v2" || orders(t, addresses[1]).Version == "v2" })
	first := orders(t, addresses[1]).Token
	victim := f.leader()
	f.replicas[victim].Kill()
	f.replicas[victim].Start()
	most := 0
	eventually(t, "every engine serves the new version", func() bool {
		loading, done := 0, 0
		for _, address := range addresses {
			s := orders(t, address)
			if s.Loading != "" {
				loading++
			}
			if s.Version == "v2" {
				done++
			}
		}
		most = max(most, loading)
		return done == engines
	})
	stop.Store(true)
	wg.Wait()
	if most > 2 || failed.Load() > 0 || served.Load() == 0 {
		t.Fatalf("%d loaded at once; %d prompts served, %d not", most, served.Load(), failed.Load())
	}
	// The leader that died sends its order once more.
	stale := fmt.Sprintf(`{"token":%d,"version":"v1"}`, first)
	for i, address := range addresses[:2] {
		res, err := http.Post("http://"+address+engine.PathOrders, "application/json", strings.NewReader(stale))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if i == 1 && res.StatusCode != http.StatusConflict {
			t.Fatalf("an order with an old token was taken: %d", res.StatusCode)
		}
	}
	eventually(t, "the stale order at the engine that does not check is put right", func() bool {
		s := orders(t, addresses[0])
		return s.Version == "v2" && s.Loading == ""
	})
}
