package serving_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	"github.com/shedrock/shedrock/internal/transport/serving"
)

// To an instance, the entry that forwards is the sender: what the instance asks of it holds for attempts of other
// entries as well, and is reported to the entry that has the caller.
func TestForwardedAttemptsObeyTheInstance(t *testing.T) {
	server := &serving.Server{
		View: func() *fleet.View { return &fleet.View{Entries: 1} }, Metrics: serving.NewMetrics(), Log: &log.Logger{Level: log.PanicLevel},
	}
	rests := registry.Instance{ID: "rests", Start: 1, Service: "svc"}
	leaves := registry.Instance{ID: "leaves", Start: 1, Service: "svc"}
	sent := map[string]int{}
	send := func(_ context.Context, a *exchange.Attempt) exchange.Reply {
		sent[a.Instance.ID]++
		if a.Instance.ID == rests.ID {
			return exchange.NotRun{Status: 503, Condition: exchange.Condition{RestFor: time.Minute}}
		}
		return exchange.Whole{Head: exchange.Head{Status: 200, Condition: exchange.Condition{Leaving: true}}}
	}
	forward := func(in registry.Instance) exchange.Reply {
		return server.Forward(t.Context(), &exchange.Attempt{Request: &exchange.Request{ID: "1"}, Instance: in}, send)
	}
	for range 3 {
		reply, ok := forward(rests).(exchange.NotRun)
		if !ok || reply.Condition.RestFor < 50*time.Second {
			t.Errorf("an attempt at an instance that rests got %#v", reply)
		}
	}
	forward(leaves)
	for range 2 {
		if _, ok := forward(leaves).(exchange.Unreached); !ok {
			t.Error("an attempt was sent to an instance that leaves")
		}
	}
	if diff := cmp.Diff(map[string]int{"rests": 1, "leaves": 1}, sent); diff != "" {
		t.Error(diff)
	}
}
