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

// keeping is a site whose one engine forgets soon, so that returning prompts depend on
// the store.
func keeping(t *testing.T) (*site, *running) {
	t.Helper()
	small := engineOptions()
	small.CacheBlocks = 40
	small.PrefillRate = 4000
	s := newSite(t, small)
	s.declare()
	return s, s.start()
}

var manual = strings.Repeat("manual page ", 700)

// keep has a prompt's context kept in the store, and pushed out of the engine.
func (r *running) keep(t *testing.T, s *site) {
	t.Helper()
	r.send(t, "POST", "/v1/chat/completions", chat(manual, false, 1))
	eventually(t, "the context is kept", func() bool {
		return strings.Contains(r.get(t, "/metrics"), `shedrock_link_bytes_total{direction="in"`)
	})
	before := s.engines[0].Imported()
	eventually(t, "the context is fetched when it returns", func() bool {
		r.push(t)
		r.send(t, "POST", "/v1/chat/completions", chat(manual, false, 1))
		return s.engines[0].Imported() > before
	})
	r.push(t)
}

// push fills the engine's memory with other prompts.
func (r *running) push(t *testing.T) {
	for i := range 3 {
		r.send(t, "POST", "/v1/chat/completions", chat(strings.Repeat(fmt.Sprint("other ", i), 600), false, 1))
	}
}

// TestStoresFailWithoutHarm loses, empties, fills and cuts the store under a context
// that returns: every answer is right, and costs a recomputation at most.
func TestStoresFailWithoutHarm(t *testing.T) {
	cases := []struct {
		name string
		harm func(s *site)
	}{
		{"restarted blank under its old address", func(s *site) { s.store.Faults.Lose() }},
		{"full", func(s *site) { s.store.Faults.Set(fault.Settings{FillUp: true}) }},
		{"restarted blank and full", func(s *site) { s.store.Faults.Lose(); s.store.Faults.Set(fault.Settings{FillUp: true}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, e := keeping(t)
			e.keep(t, s)
			c.harm(s)
			for i := range 4 {
				body := chat(manual+fmt.Sprint(" question ", i), false, 1)
				if a := e.send(t, "POST", "/v1/chat/completions", body); !strings.Contains(a.body, mark(t, body)) {
					t.Fatalf("answer %+v", a)
				}
				e.push(t)
			}
		})
	}
}

// TestTeamsShareNothing sends one manual as two teams: the second must not reuse what
// the first computed.
func TestTeamsShareNothing(t *testing.T) {
	s := newSite(t, engineOptions())
	s.declare()
	e := s.start()
	body := chat(manual, false, 1)
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

// TestWeightSwapReusesNothing swaps the weights between two equal prompts, the first of
// which is kept in a store that knows nothing of weights. The entry is started anew, so
// that it knows of nothing but what the store lists.
func TestWeightSwapReusesNothing(t *testing.T) {
	quick := engineOptions()
	quick.LoadTime = time.Millisecond
	quick.PrefillRate = 4000
	s := newSite(t, quick)
	s.declare()
	first := s.start()
	body := chat(manual, false, 1)
	first.send(t, "POST", "/v1/chat/completions", body)
	eventually(t, "the context is kept", func() bool { return s.store.Len() > 0 })
	first.stop()
	<-first.ended
	s.docs["models"] = strings.Replace(s.docs["models"], "v1", "v2", 1)
	s.apply("models", 2)
	eventually(t, "the engine serves the new version", func() bool { return s.engines[0].Version() == "v2" })
	e := s.start(quickLooks)
	eventually(t, "the store's list is known", func() bool { return e.metric(t, "shedrock_relearned_objects_total") > 0 })
	eventually(t, "prompts are answered under it", func() bool {
		return strings.Contains(e.send(t, "POST", "/v1/chat/completions", body).body, mark(t, body))
	})
	if s.engines[0].Imported() != 0 {
		t.Fatal("a context of other weights was fetched from the store")
	}
	if e.metric(t, "shedrock_reused_tokens_total") != 0 {
		t.Fatal("a context of other weights was reused")
	}
}

// TestStoreProtocol holds the stand-in store to the protocol that the promises about
// kept context lean on.
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
		do("GET", name(1, 1, "i1"), ""),            // being written
		do("PUT", name(1, 1, "i1"), "ab"),          // half of it
		seal(1, 1, "abcd"),                         // not whole
		do("PUT", name(1, 1, "i1"), "cd"),          // the rest
		seal(1, 1, "abXd"),                         // another checksum
		seal(1, 1, "abcd"),                         // sealed
		do("GET", name(1, 1, "i1"), ""),            // readable
		do("GET", name(1, 2, "i1"), ""),            // another generation
		do("GET", name(1, 1, "i0"), ""),            // another incarnation
		do("PUT", name(1, 1, "i1"), "x"),           // no more writing
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

// TestObjectFreedWhileRead frees an object between its first byte and the check after
// its last: the engine must not use it.
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
	if e.Imported() != 0 || asked != 2 || !strings.Contains(string(answer), "check after the last byte") {
		t.Fatalf("imported %d after %d requests: %s", e.Imported(), asked, answer)
	}
}
