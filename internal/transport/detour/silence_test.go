package detour_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/detour"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// Guards against a path that counts as lost because of probes that got no response, although the request that waited
// has been answered meanwhile.
func TestAnswerDuringProbesKeepsThePath(t *testing.T) {
	probed, answer, timedOut := make(chan struct{}, len(instances)), make(chan struct{}), make(chan struct{})
	e := newEntry(t, func(ctx context.Context, a *exchange.Attempt) exchange.Reply {
		<-answer
		return answered(ctx, a)
	})
	e.direct.probe = func(context.Context, registry.Instance) error {
		probed <- struct{}{}
		<-timedOut
		return errCut
	}
	replied := make(chan exchange.Reply, 1)
	go func() { replied <- e.SendDirect(t.Context(), newAttempt("1", instances[0])) }()
	for range instances {
		<-probed
	}
	if diff := cmp.Diff(coordination.Suspected, e.State("svc")); diff != "" {
		t.Error(diff)
	}
	close(answer)
	<-replied
	close(timedOut)
	await.Until(t, patience, "the round of probes is over", func() bool { return e.State("svc") != coordination.Suspected })
	if diff := cmp.Diff(coordination.Open, e.State("svc")); diff != "" {
		t.Error(diff)
	}
}
