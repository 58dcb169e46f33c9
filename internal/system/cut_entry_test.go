package system_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/system/processes"
)

// cutContact is how long after a cut callers must be served again.
const cutContact = 3 * time.Second

// Guards against an entry that fails its callers because it alone has lost the path to engines and services: prompts
// are served, and orders run once, through another entry.
func TestEntryCutOffFromUpstreamsServes(t *testing.T) {
	const engine, service = "engine", "service"
	ways := map[string]func(l *processes.Links, entry string, upstreams []string){
		"nothing arrives": func(l *processes.Links, entry string, upstreams []string) {
			l.Cut([]string{entry}, upstreams)
			l.Cut(upstreams, []string{entry})
		},
		"connections are reset": func(l *processes.Links, entry string, upstreams []string) {
			l.Refuse([]string{entry}, upstreams)
			for _, u := range upstreams {
				l.ResetBetween(entry, u)
			}
		},
	}
	for name, begin := range ways {
		t.Run(name, func(t *testing.T) {
			links := processes.NewLinks(t)
			f := startFleet(t, startGroup(t, 3, links), 2)
			engineFront, serviceFront := processes.FreeAddress(t), processes.FreeAddress(t)
			links.Forward(engine, engineFront, f.engine)
			links.Forward(service, serviceFront, f.service)
			f.apply("services", 2, "services:\n  - {name: orders, instances: ["+quote(serviceFront)+"], not_repeatable: [\"POST *\"]}\n")
			f.apply("upstreams", 2, "upstreams:\n  - {name: u1, address: "+quote(engineFront)+", failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 8000, link_bytes_per_second: 1e9}\n")
			for i := range f.entries {
				eventually(t, "the declared addresses are in force", func() bool {
					revision, _, ok := f.applied(fmt.Sprint("e", i+1))
					return ok && revision == 6
				})
				eventually(t, "the entry serves", func() bool {
					outcome, _ := f.prompt(i)
					return outcome == "ran"
				})
				f.order(i, fmt.Sprint("first-", i), "first")
			}
			begin(links, entryName(0), []string{engine, service})
			f.callPatience = time.Second
			for began := time.Now(); time.Since(began) < cutContact; {
				f.prompt(0)
			}
			f.callPatience = patience
			const orders = 10
			for n := range orders {
				if outcome, status := f.prompt(0); outcome != "ran" || status != http.StatusOK {
					t.Errorf("prompt %d: %q %d", n, outcome, status)
				}
				if outcome, status, text := f.order(0, fmt.Sprint("key-", n), fmt.Sprint("rye-", n)); outcome != "ran" || status != http.StatusOK {
					t.Errorf("order %d: %q %d %s", n, outcome, status, text)
				}
			}
			for n := range orders {
				if ran := f.ran(fmt.Sprint("rye-", n)); ran != 1 {
					t.Errorf("order %d ran %d times", n, ran)
				}
			}
			links.Heal()
			for n := range orders {
				if outcome, status := f.prompt(0); outcome != "ran" || status != http.StatusOK {
					t.Errorf("prompt %d after the heal: %q %d", n, outcome, status)
				}
			}
		})
	}
}

// Guards against engines that are avoided for up to 30 s after all entries had lost the path to them: failures on the
// lost path counted as failures of the engines.
func TestEngineIsUsedSoonAfterItsPathReturns(t *testing.T) {
	// cutFor is long enough for avoidance times, which double, to outlast cutContact.
	const engine, cutFor = "engine", 8 * time.Second
	for _, entries := range []int{1, 2} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			links := processes.NewLinks(t)
			f := startFleet(t, startGroup(t, 3, links), entries)
			front := processes.FreeAddress(t)
			links.Forward(engine, front, f.engine)
			f.apply("upstreams", 2, "upstreams:\n  - {name: u1, address: "+quote(front)+", failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 8000, link_bytes_per_second: 1e9}\n")
			eventually(t, "the entry serves", func() bool {
				revision, _, ok := f.applied("e1")
				outcome, _ := f.prompt(0)
				return ok && revision == 5 && outcome == "ran"
			})
			for i := range entries {
				links.Refuse([]string{entryName(i)}, []string{engine})
				links.ResetBetween(entryName(i), engine)
			}
			f.callPatience = time.Second
			for began := time.Now(); time.Since(began) < cutFor; time.Sleep(20 * time.Millisecond) {
				f.prompt(0)
			}
			links.Heal()
			f.callPatience = patience
			time.Sleep(cutContact)
			for n := range 10 {
				if outcome, status := f.prompt(0); outcome != "ran" || status != http.StatusOK {
					t.Errorf("prompt %d: %q %d", n, outcome, status)
				}
			}
		})
	}
}
