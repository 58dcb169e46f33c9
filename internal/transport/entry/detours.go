package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/detour"
)

// Attempts at the upstreams of a model, and at the instances of a service, share a path.
const (
	modelGroup   = "model "
	serviceGroup = "service "
)

// initDetours makes attempts that this entry cannot send itself go through other entries, and serves those of
// others.
func (e *Entry) initDetours() {
	e.detours = &detour.Upstreams{
		Name: e.Name, FailureDomain: e.FailureDomain, Direct: e.upstreams, Instances: e.declaredInstances, Metrics: detour.NewMetrics(), Log: e.Log,
	}
	e.detours.OnChanged = e.forgetFailures
	if e.Peers != nil {
		e.detours.Peers = e.Peers.Sample
		forwarder := &detour.Forwarder{
			Upstreams: e.detours, Send: e.forward, Knows: e.isDeclared, Stopping: e.notReady.Load, Metrics: e.detours.Metrics, Log: e.Log,
		}
		e.Peers.Forwarder = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !e.background.tryAdd() {
				http.Error(w, "stopped", http.StatusServiceUnavailable)
				return
			}
			defer e.background.done()
			forwarder.ServeHTTP(w, r)
		})
	}
	e.metrics.registry.MustRegister(e.detours.Metrics.Collectors()...)
}

// declaredInstances returns the instances of a group.
func (e *Entry) declaredInstances(group string) []registry.Instance {
	state := e.state.Load()
	var out []registry.Instance
	if model, ok := strings.CutPrefix(group, modelGroup); ok {
		for _, u := range state.UpstreamsInRegionOf(e.FailureDomain) {
			if u.Model() == model {
				out = append(out, registry.Instance{ID: u.Name(), Service: group, Address: u.Address(), FailureDomain: u.FailureDomain()})
			}
		}
		return out
	}
	service, _ := state.Service(strings.TrimPrefix(group, serviceGroup))
	for _, address := range service.Instances() {
		out = append(out, registry.Instance{ID: address, Service: group, Address: address})
	}
	return out
}

// isDeclared reports whether an instance of another entry's attempt is declared at this one.
func (e *Entry) isDeclared(in registry.Instance) bool {
	for _, declared := range e.declaredInstances(in.Service) {
		if declared.ID == in.ID && declared.Address == in.Address {
			return true
		}
	}
	return false
}

// forward sends an attempt of another entry, unless its instance asked this entry for a backoff.
func (e *Entry) forward(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	e.mu.Lock()
	remaining := e.backoffs[a.Instance.Address].Sub(clock.Now())
	e.mu.Unlock()
	if remaining > 0 {
		return exchange.NotRun{Status: http.StatusServiceUnavailable, Condition: exchange.Condition{RestFor: remaining}}
	}
	reply := e.detours.SendDirect(ctx, a)
	e.recordBackoff(a.Instance.Address, reply)
	return reply
}

// forgetFailures resets the failures of the upstreams of a model whose direct path was lost or restored.
func (e *Entry) forgetFailures(group string) {
	model, ok := strings.CutPrefix(group, modelGroup)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.planner.UpstreamCount() {
		if u := e.planner.Upstream(n); u.Model == model {
			u.ForgetFailures()
		}
	}
}

// pathLost reports whether this entry has lost its direct path to the upstreams of a model, so that it learns nothing
// about them by its own polls.
func (e *Entry) pathLost(model string) bool {
	_, lost := e.detours.LostSince(modelGroup + model)
	return lost
}
