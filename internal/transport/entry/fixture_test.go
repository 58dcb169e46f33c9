package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/standin/engine"
	"github.com/shedrock/shedrock/internal/standin/service"
	"github.com/shedrock/shedrock/internal/standin/store"
	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
	"github.com/shedrock/shedrock/internal/transport/entry"
	"github.com/shedrock/shedrock/internal/transport/feed"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// testTimeout bounds every wait for a condition. No test result depends on how much
	// of it is used.
	testTimeout = 20 * time.Second
	demoKey     = "demo-key"
	otherKey    = "other-key"
	secret      = "a secret of the tests"
)

// client times out on responses that never arrive.
var client = &http.Client{Timeout: testTimeout}

// deployment is a control log, engines, a store and a service inside the test process.
type deployment struct {
	t              *testing.T
	engines        []*engine.Engine
	store          *store.Store
	storeAddress   string
	service        *service.Service
	control        *controlclient.Client
	controlAddress string
	docs           map[string]string
}

func discardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// engineOptions returns the options of a fast engine.
func engineOptions() engine.Options {
	return engine.Options{
		Version: "v1", Slots: 8, Queue: 16, PrefillRate: 1e6, TokenInterval: time.Millisecond, CacheBlocks: 1024,
		ChecksOrders: true, KeepRuns: time.Minute, DefaultTokens: 8, Start: "start",
	}
}

// newDeployment starts a control log with one replica, engines, a store and a service,
// and prepares the documents that declare them for two teams.
func newDeployment(t *testing.T, options ...engine.Options) *deployment {
	t.Helper()
	s := &deployment{t: t, docs: map[string]string{}}
	s.controlAddress = s.startControl()
	s.control = controlclient.New(controlclient.StaticAddresses([]string{s.controlAddress}))
	upstreams := "upstreams:\n"
	for i, o := range options {
		e := engine.New(o)
		s.engines = append(s.engines, e)
		upstreams += fmt.Sprintf("  - {name: u%d, address: %q, failure_domain: d1, model: demo, slots: %d, prefill_tokens_per_second: %g, link_bytes_per_second: 1e9, checks_orders: true}\n",
			i+1, serve(t, e.Handler()), o.Slots, o.PrefillRate)
	}
	s.store = store.New(store.Options{MemoryBytes: 64 << 20, DiskBytes: 1 << 20, LinkRate: 1e9, DiskRate: 1e9, Incarnation: "store"})
	s.service = &service.Service{}
	s.docs["models"] = "models:\n  - {name: demo, weight_version: v1, kv_bytes_per_token: 64, max_prompt_tokens: 100000}\n"
	s.docs["services"] = "services:\n  - {name: orders, instances: [\"" + serve(t, s.service.Handler()) + "\"], not_repeatable: [\"POST *\"]}\n"
	s.docs["upstreams"] = upstreams
	s.storeAddress = serve(t, s.store.Handler())
	s.docs["stores"] = "stores:\n  - {name: s1, address: \"" + s.storeAddress + "\", failure_domain: d1, memory_bytes: 67108864, link_bytes_per_second: 1e9}\n"
	s.docs["teams"] = "teams:\n" + team("demo", demoKey) + team("other", otherKey)
	return s
}

func team(name, key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("  - {name: %s, key_digests: [%s], models: [demo], services: [orders]}\n", name, hex.EncodeToString(sum[:]))
}

// declare applies every document, in an order that never leaves a reference unresolved.
func (s *deployment) declare() {
	s.t.Helper()
	for _, kind := range []string{"models", "services", "upstreams", "stores", "teams"} {
		s.apply(kind, 1)
	}
}

func (s *deployment) apply(kind string, version int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	text := fmt.Sprintf("document: %s\nversion: %d\n%s", kind, version, s.docs[kind])
	answer, err := s.control.Apply(ctx, kind, []byte(text))
	if err != nil || answer.Revision == 0 {
		s.t.Fatalf("apply %s: %v %v", kind, answer, err)
	}
}

func (s *deployment) startControl() string {
	s.t.Helper()
	folder, restart, ledger, err := control.Open(s.t.TempDir())
	if err != nil {
		s.t.Fatal(err)
	}
	listener := listen(s.t)
	address := listener.Addr().String()
	r := &control.Replica{
		ID: 1, Address: address, Peers: []control.Peer{{ID: 1, Address: address}}, Folder: folder,
		RecoveredState: restart, Ledger: ledger, Listener: listener, Log: discardLogger(), Tick: 10 * time.Millisecond,
	}
	runInBackground(s.t, r.Run)
	return address
}

// runningEntry is an entry that runs inside the test process.
type runningEntry struct {
	*entry.Entry
	url, operators string
	stop           context.CancelFunc
	ended          <-chan struct{}
}

// start starts an entry and waits until the whole declared state is in force there.
func (s *deployment) start(change ...func(*entry.Entry)) *runningEntry {
	s.t.Helper()
	callers, operators := listen(s.t), listen(s.t)
	e := &entry.Entry{
		Name: "e-" + callers.Addr().String(), FailureDomain: "d1", Callers: callers, Operators: operators,
		Secrets: [][]byte{[]byte(secret)}, Control: s.control, ShutdownDelay: time.Millisecond, Log: discardLogger(),
	}
	for _, f := range change {
		f(e)
	}
	if err := e.Init(); err != nil {
		s.t.Fatal(err)
	}
	f := feed.New()
	follower := &feed.Follower{
		Feed: f, Self: e.Applied, Enforce: e.Enforce, Client: rpc.NewClient(), Log: discardLogger(),
		Source: func() (string, bool) { return s.controlAddress, true },
	}
	runInBackground(s.t, func(ctx context.Context) error { follower.Run(ctx); return nil })
	stop, ended := runInBackground(s.t, e.Run)
	eventually(s.t, "the declared state is in force", func() bool { return e.Applied().Revision >= 5 })
	return &runningEntry{e, "http://" + callers.Addr().String(), "http://" + operators.Addr().String(), stop, ended}
}

// runInBackground runs f until the test ends or stop is called.
func runInBackground(t *testing.T, f func(context.Context) error) (stop context.CancelFunc, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f(ctx); err != nil {
			t.Errorf("background: %v", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return cancel, done
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serve serves a handler until the test ends, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l := listen(t)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	await.Until(t, testTimeout, what, ok)
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
}

// send sends a request as the demo team; headers are pairs of names and values.
func (r *runningEntry) send(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{res.StatusCode, res.Header, string(b)}
}

// chat returns the body of a chat request.
func chat(content string, stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"demo","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, content)
}

// firstWord returns the first word of the correct response to a chat body.
func firstWord(t *testing.T, body string) string {
	t.Helper()
	req, err := openai.ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return engine.FirstWord(req.Text())
}

// parsedStream is the content of an event stream; complete is set when it ended with
// the end marker.
type parsedStream struct {
	text     string
	ids      []string
	complete bool
	error    string
}

// parseStream reads a stream's text and cursors.
func parseStream(t *testing.T, body string) parsedStream {
	t.Helper()
	var p parsedStream
	events := openai.NewEventReader(bytes.NewReader([]byte(body)))
	for {
		e, err := events.Next()
		if err != nil {
			return p
		}
		data := string(e.Data)
		switch {
		case data == openai.Done:
			p.complete = true
		case strings.Contains(data, `"error"`):
			p.error = data
		default:
			p.ids = append(p.ids, string(e.ID))
			_, rest, _ := strings.Cut(data, `"content":"`)
			word, _, _ := strings.Cut(rest, `"`)
			p.text += word
		}
	}
}
