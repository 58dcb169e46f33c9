package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/state/declared"
)

// Guards against running prompts on undeclared weights: the upstream that answered first served a
// version that was not declared, and got the prompts. A prompt runs on the current version, or on
// the one declared before it while more upstreams serve that; never on another one, even if it is
// the only one known.
func TestOnlyDeclaredVersionsRun(t *testing.T) {
	state := declared.New()
	apply := func(step, version int, name, body string) {
		d, faults := declared.Parse("f", fmt.Appendf(nil, "document: %s\nversion: %d\n%s", name, version, body))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		if _, ok := state.Apply(d).(declared.Accepted); !ok {
			t.Fatalf("step %d was not accepted", step)
		}
	}
	models := func(version string) string {
		return "models:\n  - {name: m, weight_version: " + version + ", kv_bytes_per_token: 1, max_prompt_tokens: 10}\n"
	}
	apply(1, 1, "models", models("v1"))
	upstreams := "upstreams:\n"
	for i := range 3 {
		upstreams += fmt.Sprintf("  - {name: u%d, address: \"127.0.0.1:%d\", failure_domain: d, model: m, slots: 1, prefill_tokens_per_second: 1, link_bytes_per_second: 1}\n", i, 9000+i)
	}
	apply(2, 1, "upstreams", upstreams)
	planner := placement.New("d", 10, 1)
	serving := func(versions ...string) string {
		planner.ApplyDeclared(state)
		for i, version := range versions {
			planner.Upstream(i).Version = version
		}
		model, _ := state.Model("m")
		return planner.ServingVersion(model, nil, time.Unix(0, 0))
	}
	got := []string{serving("v0", "", ""), serving("v0", "v0", "v1")}
	apply(3, 2, "models", models("v2"))
	got = append(got, serving("v1", "v1", "v2"), serving("v1", "v2", "v2"), serving("v0", "v0", "v1"), serving("v0", "v0", ""))
	if diff := cmp.Diff([]string{"v1", "v1", "v1", "v2", "v1", "v2"}, got); diff != "" {
		t.Error(diff)
	}
}
