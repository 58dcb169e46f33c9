package detour_test

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// count returns the sum of a counter of an entry over all labels of which one has the given value.
func (e *entry) count(t *testing.T, name, label string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(e.Metrics.Collectors()...)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		for _, m := range family.Metric {
			for _, pair := range m.GetLabel() {
				if family.GetName() == name && pair.GetValue() == label {
					total += m.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

// Guards against a panic at the peer that leaves no trace: the attempt may have run, so it counts as broken.
func TestPanicOfPeerIsLoggedAndCounted(t *testing.T) {
	helper := newEntry(t, func(context.Context, *exchange.Attempt) exchange.Reply { panic("no reply") })
	var logged logtest.Buffer
	helper.forwarder.Log = logged.Logger()
	e := newEntry(t, answered, helper)
	e.losePath(t)
	reply := e.Send(t.Context(), newAttempt("id-1", instances[0]))
	if _, ok := reply.(exchange.Broken); !ok {
		t.Errorf("%#v", reply)
	}
	await.Until(t, patience, "the panic is logged", func() bool { return len(logged.WithEvent("panic")) == 1 })
	if line := logged.WithEvent("panic")[0]; !strings.Contains(line, `"request":"id-1"`) {
		t.Error(line)
	}
	if diff := cmp.Diff(1.0, helper.count(t, "shedrock_forwarded_total", "panicked")); diff != "" {
		t.Error(diff)
	}
}
