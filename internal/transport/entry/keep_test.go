package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/standin/engine"
	"github.com/shedrock/shedrock/internal/standin/fault"
	"github.com/shedrock/shedrock/internal/standin/store"
)

// startWithSmallCache starts a deployment with one engine whose cache holds few blocks,
// so that a repeated prompt depends on the store.
func startWithSmallCache(t *testing.T) (*deployment, *runningEntry) {
	t.Helper()
	small := engineOptions()
	small.CacheBlocks = 40
	small.PrefillRate = 4000
	s := newDeployment(t, small)
	s.declare()
	return s, s.start()
}

var longPrompt = strings.Repeat("manual page ", 700)

// storeContext makes the engine export the context of a prompt to the store and evict
// it from its own cache.
func (r *runningEntry) storeContext(t *testing.T, s *deployment) {
	t.Helper()
	r.send(t, "POST", "/v1/chat/completions", chat(longPrompt, false, 1))
	eventually(t, "the context is stored", func() bool {
		return strings.Contains(r.get(t, "/metrics"), `shedrock_link_bytes_total{direction="in"`)
	})
	before := s.engines[0].ImportedBlocks()
	eventually(t, "the context is fetched for a repeated prompt", func() bool {
		r.evictContexts(t)
		r.send(t, "POST", "/v1/chat/completions", chat(longPrompt, false, 1))
		return s.engines[0].ImportedBlocks() > before
	})
	r.evictContexts(t)
}

// evictContexts fills the engine's cache with other prompts.
func (r *runningEntry) evictContexts(t *testing.T) {
	for i := range 3 {
		r.send(t, "POST", "/v1/chat/completions", chat(strings.Repeat(fmt.Sprint("other ", i), 600), false, 1))
	}
}

// TestStoreFailuresCostOnlyRecomputation restarts the store empty, fills it up, or
// both, while a prompt whose context was stored is repeated. Every response must be
// correct; a failure of the store may cost no more than a recomputation.
func TestStoreFailuresCostOnlyRecomputation(t *testing.T) {
	cases := []struct {
		name   string
		inject func(s *deployment)
	}{
		{"restarted empty at the same address", func(s *deployment) { s.store.Faults.OnReset() }},
		{"full", func(s *deployment) { s.store.Faults.Set(fault.Settings{FillUp: true}) }},
		{"restarted empty and full", func(s *deployment) { s.store.Faults.OnReset(); s.store.Faults.Set(fault.Settings{FillUp: true}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, e := startWithSmallCache(t)
			e.storeContext(t, s)
			c.inject(s)
			for i := range 4 {
				body := chat(longPrompt+fmt.Sprint(" question ", i), false, 1)
				if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, firstWord(t, body)) {
					t.Fatalf("answer %+v", a)
				}
				e.evictContexts(t)
			}
		})
	}
}

// TestTeamsDoNotShareContext sends the same prompt as two teams: the second must not
// reuse the context that the first one computed.
func TestTeamsDoNotShareContext(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	e := s.start()
	body := chat(longPrompt, false, 1)
	for range 2 {
		e.send(t, "POST", "/v1/chat/completions", body)
	}
	e.send(t, "POST", "/v1/chat/completions", body, "Authorization", "Bearer "+otherKey)
	page := e.get(t, "/metrics")
	if !strings.Contains(page, `shedrock_reused_tokens_total{class="interactive",team="demo"} 2`) {
		t.Fatal("the team did not reuse its own context")
	}
	if !strings.Contains(page, `shedrock_reused_tokens_total{class="interactive",team="other"} 0`) {
		t.Fatal("another team's context was reused")
	}
}

// TestWeightSwapInvalidatesContext swaps the weights between two identical prompts. The
// context of the first is in a store that does not track weight versions, and the entry
// is restarted, so that all it knows is what the store lists. Reusing that context
// would give a wrong response.
func TestWeightSwapInvalidatesContext(t *testing.T) {
	quick := engineOptions()
	quick.LoadTime = time.Millisecond
	quick.PrefillRate = 4000
	s := newDeployment(t, quick)
	s.declare()
	first := s.start()
	body := chat(longPrompt, false, 1)
	first.send(t, "POST", "/v1/chat/completions", body)
	eventually(t, "the context is stored", func() bool { return s.store.Len() > 0 })
	first.stop()
	<-first.ended
	s.docs["models"] = strings.Replace(s.docs["models"], "v1", "v2", 1)
	s.apply("models", 2)
	eventually(t, "the engine serves the new version", func() bool { return s.engines[0].Version() == "v2" })
	e := s.start(relearnFast)
	eventually(t, "the store's objects have been relearned", func() bool { return e.metric(t, "shedrock_relearned_objects_total") > 0 })
	eventually(t, "prompts are answered with the new version", func() bool {
		return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, firstWord(t, body))
	})
	if s.engines[0].ImportedBlocks() != 0 {
		t.Fatal("a context of another weight version was fetched from the store")
	}
	if e.metric(t, "shedrock_reused_tokens_total") != 0 {
		t.Fatal("a context of another weight version was reused")
	}
}

// TestStoreProtocol checks that the stand-in store follows the protocol on which the
// guarantees about stored context depend.
func TestStoreProtocol(t *testing.T) {
	s := store.New(store.Options{MemoryBytes: 1 << 20, LinkRate: 1e9, DiskRate: 1e9, Incarnation: "i1"})
	base := "http://" + serve(t, s.Handler()) + blocks.PathObjects
	do := func(method, path, body string) int {
		req, err := http.NewRequest(method, base+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		_, _ = io.ReadAll(res.Body)
		return res.StatusCode
	}
	name := func(object, generation int, incarnation string) string {
		return fmt.Sprintf("/%d?generation=%d&incarnation=%s", object, generation, incarnation)
	}
	seal := func(object, generation int, data string) int {
		path := fmt.Sprintf("/%d/seal?generation=%d&incarnation=i1", object, generation)
		return do("POST", path, fmt.Sprintf(`{"length":%d,"checksum":%d}`, len(data), blocks.Checksum([]byte(data))))
	}
	got := []int{
		do("POST", "", `{"length":4}`),             // object 1
		do("GET", name(1, 1, "i1"), ""),            // not sealed yet
		do("PUT", name(1, 1, "i1"), "ab"),          // first half
		seal(1, 1, "abcd"),                         // incomplete
		do("PUT", name(1, 1, "i1"), "cd"),          // second half
		seal(1, 1, "abXd"),                         // wrong checksum
		seal(1, 1, "abcd"),                         // sealed
		do("GET", name(1, 1, "i1"), ""),            // readable
		do("GET", name(1, 2, "i1"), ""),            // wrong generation
		do("GET", name(1, 1, "i0"), ""),            // wrong incarnation
		do("PUT", name(1, 1, "i1"), "x"),           // sealed objects are read-only
		do("DELETE", name(1, 1, "i1"), ""),         // freed
		do("GET", name(1, 1, "i1"), ""),            // gone
		do("POST", "", `{"length":2000000}`),       // no space
		do("GET", name(1, 1, "i1")+"&check=1", ""), // the check after the last byte
	}
	want := []int{200, 409, 200, 409, 200, 409, 200, 200, 409, 409, 409, 200, 409, 507, 409}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestObjectFreedWhileRead frees an object after its data has been read and before the
// check that follows the last byte: the engine must not use the data.
func TestObjectFreedWhileRead(t *testing.T) {
	o := engine.Options{Version: "v1", Slots: 1, PrefillRate: 1e6, CacheBlocks: 64, KeepRuns: time.Second, Start: "s"}
	e := engine.New(o)
	engineAddress := serve(t, e.Handler())
	key := strings.Repeat("ab", 16)
	data := strings.Repeat(key, 2)
	asked := 0
	storeAddress := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked++
		if r.URL.Query().Has(blocks.ParamCheck) {
			http.Error(w, "freed", http.StatusConflict)
			return
		}
		_, _ = io.WriteString(w, data)
	}))
	body := fmt.Sprintf(`{"store":%q,"version":"v1","bytes":%d,"keys":[%q],"refs":[{"key":%q,"blocks":1,"object":1,"generation":1,"incarnation":"i"}]}`, storeAddress, len(data), key, key)
	res, err := client.Post("http://"+engineAddress+"/v1/kv/import", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body)
	if e.ImportedBlocks() != 0 || asked != 2 || !strings.Contains(string(answer), "check after the last byte") {
		t.Fatalf("imported %d after %d requests: %s", e.ImportedBlocks(), asked, answer)
	}
}
