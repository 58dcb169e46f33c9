package system_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/standin/service"
	"github.com/shedrock/shedrock/internal/system/processes"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// demoDigest is the SHA-256 digest of "demo-key".
const demoDigest = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

// fleet is a control log with entries, an engine and a service, all as processes.
type fleet struct {
	*group
	engine, service string
	engineProcess   *processes.Process
	entries         []*processes.Process
	callers         []string
	operators       []string
	peers           []string
	// callPatience is how long callers wait for an answer.
	callPatience time.Duration
}

func newFleet(t *testing.T, control, entries int) *fleet {
	t.Helper()
	return startFleet(t, newGroup(t, control), entries)
}

// startFleet starts entries, an engine and a service for a control log.
func startFleet(t *testing.T, g *group, entries int) *fleet {
	t.Helper()
	f := &fleet{group: g, engine: processes.FreeAddress(t), service: processes.FreeAddress(t), callPatience: patience}
	f.engineProcess = startStandin(t, "upstream", f.engine, "--token-interval", "1ms", "--load-lag", "10ms")
	startStandin(t, "service", f.service)
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("a secret of the system tests\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range entries {
		f.peers = append(f.peers, processes.FreeAddress(t))
	}
	for i := range entries {
		f.callers = append(f.callers, processes.FreeAddress(t))
		f.operators = append(f.operators, processes.FreeAddress(t))
		args := []string{"entry", "--name", fmt.Sprint("e", i+1), "--failure-domain", "d1", "--callers", f.callers[i],
			"--operators", f.operators[i], "--secret-file", secret, "--peers", f.peers[i], "--seeds", strings.Join(f.peers, ","), "--control", strings.Join(f.addresses, ",")}
		f.entries = append(f.entries, processes.Start(t, args...))
		g.links.Attach(entryName(i), f.entries[i])
	}
	f.apply("models", 1, models("v1"))
	f.apply("services", 1, "services:\n  - {name: orders, instances: ["+quote(f.service)+"], not_repeatable: [\"POST *\"]}\n")
	f.apply("upstreams", 1, "upstreams:\n  - {name: u1, address: "+quote(f.engine)+", failure_domain: d1, model: demo, slots: 8, prefill_tokens_per_second: 8000, link_bytes_per_second: 1e9}\n")
	f.apply("teams", 1, "teams:\n  - {name: demo, key_digests: ["+demoDigest+"], models: [demo], services: [orders]}\n")
	for i := range f.entries {
		f.ready(i)
	}
	return f
}

func entryName(i int) string { return fmt.Sprint("entry ", i+1) }

func (f *fleet) ready(i int) {
	f.t.Helper()
	eventually(f.t, "the declared state is in force", func() bool {
		_, status, _ := f.call(i, "GET", "/v1/models", "", "")
		return status == http.StatusOK
	})
}

// call sends a request to an entry; the outcome is empty when there was no answer.
func (f *fleet) call(i int, method, path, key, body string) (outcome string, status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), f.callPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers[i]+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	if key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.Header.Get(entry.HeaderOutcome), res.StatusCode, string(b)
}

func (f *fleet) order(i int, key, body string) (outcome string, status int, text string) {
	return f.call(i, "POST", "/v1/services/orders/orders", key, body)
}

func (f *fleet) prompt(i int) (outcome string, status int) {
	outcome, status, _ = f.call(i, "POST", "/v1/chat/completions", "", `{"model":"demo","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`)
	return outcome, status
}

// faults sets the faults of a stand-in.
func (f *fleet) faults(address string, s fault.Settings) {
	f.t.Helper()
	b, _ := json.Marshal(s)
	req, _ := http.NewRequest(http.MethodPut, "http://"+address+fault.Path, strings.NewReader(string(b)))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
}

// ran says how often a body ran at the service.
func (f *fleet) ran(body string) int {
	f.t.Helper()
	res, err := http.Get("http://" + f.service + service.PathCounts)
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	counts := map[string]int{}
	_ = json.NewDecoder(res.Body).Decode(&counts)
	return counts["POST /orders "+body]
}

// TestOrderRunsAtMostOnce sends one order under one key through two entries, again
// and again, while entries and replicas are killed, stopped and started.
func TestOrderRunsAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 2)
	var wg sync.WaitGroup
	const orders = 12
	for n := range orders {
		key, body := fmt.Sprint("key-", n), fmt.Sprint("rye-", n)
		for i := range f.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 3 {
					outcome, _, _ := f.order(i, key, body)
					if outcome == "ran" {
						return
					}
				}
			}()
		}
		switch n {
		case 3:
			f.entries[0].Kill()
			f.entries[0].Start()
		case 6:
			victim := f.leader()
			f.replicas[victim].Kill()
			f.replicas[victim].Start()
		case 9:
			f.entries[1].Signal(syscall.SIGSTOP)
			f.entries[1].Signal(syscall.SIGCONT)
		}
	}
	wg.Wait()
	f.ready(0)
	for n := range orders {
		if ran := f.ran(fmt.Sprint("rye-", n)); ran > 1 {
			t.Errorf("order %d ran %d times", n, ran)
		}
	}
}

// TestEntryFrozenBeforeDispatch stops an entry while its call is at the service's
// door; the caller tries at another entry, and the first one thaws.
func TestEntryFrozenBeforeDispatch(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.faults(f.service, fault.Settings{Slow: 300 * time.Millisecond})
	first := make(chan string, 1)
	go func() {
		outcome, _, _ := f.order(0, "k", "bread")
		first <- outcome
	}()
	eventually(t, "the record is committed", func() bool {
		r, err := f.client.Lookup(context.Background(), "demo", "k")
		return err == nil && r.Phase != wire.Record_ABSENT
	})
	f.entries[0].Signal(syscall.SIGSTOP)
	outcome, status, text := f.order(1, "k", "bread")
	if outcome == "not run" || status == http.StatusOK && f.ran("bread") != 1 {
		t.Fatalf("the second entry answered %q %d %s", outcome, status, text)
	}
	f.entries[0].Signal(syscall.SIGCONT)
	<-first
	eventually(t, "the answer is known everywhere", func() bool {
		outcome, status, _ := f.order(1, "k", "bread")
		return outcome == "ran" && status == http.StatusOK
	})
	if n := f.ran("bread"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestEntryKilledAfterDispatch kills the entry while the service works.
func TestEntryKilledAfterDispatch(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.faults(f.service, fault.Settings{Slow: 500 * time.Millisecond})
	go f.order(0, "k", "bread")
	eventually(t, "the service works on it", func() bool { return f.ran("bread") == 1 })
	f.entries[0].Kill()
	for range 5 {
		outcome, status, text := f.order(1, "k", "bread")
		if outcome != "unknown" || status != http.StatusConflict {
			t.Fatalf("%q %d %s", outcome, status, text)
		}
	}
	if n := f.ran("bread"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if outcome, status, _ := f.order(1, "k", "other"); outcome != "not run" || status != http.StatusUnprocessableEntity {
		t.Fatalf("another body under the same key: %q %d", outcome, status)
	}
}

// TestNoMajority takes two of three replicas away: orders are refused as not run,
// and prompts go on.
func TestNoMajority(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.replicas[0].Signal(syscall.SIGSTOP)
	f.replicas[1].Signal(syscall.SIGSTOP)
	outcome, status, _ := f.order(0, "k", "bread")
	if outcome != "not run" || status != http.StatusServiceUnavailable {
		t.Fatalf("%q %d", outcome, status)
	}
	if outcome, status := f.prompt(0); outcome != "ran" || status != http.StatusOK {
		t.Fatalf("prompt: %q %d", outcome, status)
	}
	if n := f.ran("bread"); n != 0 {
		t.Fatalf("an order that was refused as not run ran %d times", n)
	}
	f.replicas[0].Signal(syscall.SIGCONT)
	f.replicas[1].Signal(syscall.SIGCONT)
	eventually(t, "the refused order can be sent again", func() bool {
		outcome, _, _ := f.order(0, "k", "bread")
		return outcome == "ran"
	})
	if n := f.ran("bread"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// input is one operation on a record, for the checker of histories.
type input struct {
	reserve bool
	holder  string
}

// TestRecordsAreLinearizable runs reservations and reads of one key against three
// processes while the leader is killed and stopped, and checks the history: the
// first holder whose reservation took effect is what everybody sees from then on.
func TestRecordsAreLinearizable(t *testing.T) {
	g := newGroup(t, 3)
	g.apply("models", 1, models("v1"))
	var mu sync.Mutex
	history := map[string][]porcupine.Operation{}
	began := time.Now()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for worker := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprint("k", n/4)
				in := input{reserve: (n+worker)%2 == 0, holder: fmt.Sprintf("w%d-%d", worker, n)}
				call := time.Since(began)
				out, ok := g.operate(key, in)
				end := time.Since(began)
				if !ok {
					// It may take effect at any later time, or never.
					end = time.Hour
					out = "?"
				}
				mu.Lock()
				history[key] = append(history[key], porcupine.Operation{ClientId: worker, Input: in, Call: int64(call), Output: out, Return: int64(end)})
				mu.Unlock()
			}
		}()
	}
	progress := func() {
		mu.Lock()
		before := len(history)
		mu.Unlock()
		eventually(t, "operations go on", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) > before+20
		})
	}
	for range 3 {
		progress()
		victim := g.leader()
		g.replicas[victim].Kill()
		g.leader()
		g.replicas[victim].Start()
		progress()
		frozen := g.leader()
		g.replicas[frozen].Signal(syscall.SIGSTOP)
		eventually(t, "another leads", func() bool { return g.leaderBut(frozen) })
		g.replicas[frozen].Signal(syscall.SIGCONT)
	}
	close(stop)
	wg.Wait()
	operations := 0
	for key, ops := range history {
		operations += len(ops)
		if !porcupine.CheckOperations(recordModel(), ops) {
			t.Errorf("the history of %s is not linearizable: %+v", key, ops)
		}
	}
	t.Logf("%d operations on %d keys", operations, len(history))
}

func (g *group) leaderBut(i int) bool {
	for other := range g.addresses {
		s, ok := g.status(other)
		if other != i && ok && s.Leader == s.Incarnation {
			return true
		}
	}
	return false
}

// operate reserves or reads, and returns the holder that it saw.
func (g *group) operate(key string, in input) (holder string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if !in.reserve {
		r, err := g.client.Lookup(ctx, "team", key)
		return r.GetHolder(), err == nil
	}
	r, err := g.client.Reserve(ctx, &wire.ReserveRequest{Team: "team", Key: key, RequestDigest: []byte("d"), Holder: in.holder})
	if err != nil {
		return "", false
	}
	if r.Result == wire.ReserveResponse_GRANTED {
		return in.holder, true
	}
	return r.Record.GetHolder(), true
}

// recordModel is the record as it should be: empty, then held for ever.
func recordModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			held := state.(string)
			op := in.(input)
			if op.reserve && held == "" {
				held = op.holder
			}
			return out.(string) == "?" || out.(string) == held, held
		},
	}
}
