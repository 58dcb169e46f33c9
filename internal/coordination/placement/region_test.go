package placement_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/declared"
)

const regionModels = "document: models\nversion: 1\nmodels:\n  - {name: m, weight_version: v, kv_bytes_per_token: 1, max_prompt_tokens: 10}\n"

const regionUpstreams = `document: upstreams
version: 1
upstreams:
  - {name: here, address: "10.0.0.1:1", failure_domain: a, model: m, slots: 1, prefill_tokens_per_second: 1, link_bytes_per_second: 1}
  - {name: beside, address: "10.0.0.2:1", failure_domain: b, model: m, slots: 1, prefill_tokens_per_second: 1, link_bytes_per_second: 1}
  - {name: far, address: "10.0.0.3:1", failure_domain: c, model: m, slots: 1, prefill_tokens_per_second: 1000, link_bytes_per_second: 1}
`

const regionControl = `document: control
version: 1
control:
  replicas: [{id: 1, address: "10.0.2.1:1", failure_domain: a}]
  regions:
    - {name: north, failure_domains: [a, b]}
`

// stateOf returns the declared state after applying the documents.
func stateOf(t testing.TB, docs ...string) *declared.State {
	t.Helper()
	state := declared.New()
	for _, text := range docs {
		d, faults := declared.Parse("f", []byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		if _, ok := state.Apply(d).(declared.Accepted); !ok {
			t.Fatal("not accepted: " + text)
		}
	}
	return state
}

// TestPromptsStayInTheRegion has the fastest upstream in another region: it may be used only if no
// regions are declared.
func TestPromptsStayInTheRegion(t *testing.T) {
	cases := []struct {
		name string
		docs []string
		want []string
	}{
		{"one region", []string{regionModels, regionUpstreams}, []string{"far", "here", "beside"}},
		{"two regions", []string{regionModels, regionUpstreams, regionControl}, []string{"here", "beside"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := stateOf(t, c.docs...)
			planner := placement.New("a", 10, 1)
			planner.ApplyDeclared(state)
			model, _ := state.Model("m")
			p := placement.Prompt{Model: model, Version: "v", Tokens: 10}
			var got []string
			for {
				plan, ok := planner.Place(p, time.Unix(0, 0))
				if !ok {
					break
				}
				got = append(got, plan.Name)
				p.Tried = append(p.Tried, plan.Upstream)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}
