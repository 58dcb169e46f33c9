package arbiter_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/await"
	coordination "github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/arbiter"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

var discardLogger = &log.Logger{Level: log.PanicLevel}

// stubLeader answers as decide says, and records the requests.
type stubLeader struct {
	decide func(ctx context.Context) (*wire.DecideResponse, error)

	mu       sync.Mutex
	asked    []*wire.DecideRequest
	released []string
}

func (s *stubLeader) Decide(ctx context.Context, in *wire.DecideRequest) (*wire.DecideResponse, error) {
	s.mu.Lock()
	s.asked = append(s.asked, in)
	s.mu.Unlock()
	return s.decide(ctx)
}

func (s *stubLeader) Release(_ context.Context, in *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, in.Ids...)
	return &wire.ReleaseResponse{}, nil
}

func (s *stubLeader) releases() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.released)
}

func (s *stubLeader) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.asked)
}

// serve serves an arbiter until the test ends, or until stop is called.
func serve(t *testing.T, a wire.Arbiter) (address string, stop context.CancelFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, listener, wire.NewArbiterServer(a))
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func grant(context.Context) (*wire.DecideResponse, error) {
	return wire.FromDecision(coordination.Grant{Engine: registry.Incarnation{ID: "e", Start: 5}, Free: 7}), nil
}

func request() coordination.Request {
	return coordination.Request{Service: "svc", Tokens: 100, Objective: time.Minute}
}

// retry requests a decision until the leader answers: the first call may find a slow machine, and a failure
// pauses the client.
func retry(t *testing.T, c *arbiter.Client, leader string) (out arbiter.Answer) {
	t.Helper()
	await.Until(t, 20*time.Second, "the leader answers", func() bool {
		var err error
		out, err = c.Decide(t.Context(), leader, request())
		return err == nil
	})
	return out
}

// Guards against callers that wait for a frozen leader: a call ends although there is no answer, later
// requests are not sent for a while, and the grant that the leader may give nevertheless is released.
func TestSlowLeader(t *testing.T) {
	unfreeze := make(chan struct{})
	leader := &stubLeader{decide: func(ctx context.Context) (*wire.DecideResponse, error) {
		<-unfreeze
		return grant(ctx)
	}}
	address, _ := serve(t, leader)
	c := arbiter.NewClient(discardLogger)
	failed, err := c.Decide(t.Context(), address, request())
	if err == nil {
		t.Fatal("a frozen leader has answered")
	}
	if _, err := c.Decide(t.Context(), address, request()); !errors.Is(err, arbiter.ErrPaused) {
		t.Errorf("after a failure: %v", err)
	}
	await.Until(t, 20*time.Second, "the possible grant is released", func() bool { return slices.Contains(leader.releases(), failed.ID) })
	if n := leader.calls(); n > 1 {
		t.Errorf("the leader was asked %d times", n)
	}
	close(unfreeze)
	if diff := cmp.Diff(coordination.Decision(coordination.Grant{Engine: registry.Incarnation{ID: "e", Start: 5}, Free: 7}), retry(t, c, address).Decision); diff != "" {
		t.Error(diff)
	}
}

// Guards against a grant that is lost or a client that sends nothing when the leader fails between the grant and
// the release: the release is discarded, and the next decision is requested from the new leader.
func TestLeaderDiesAfterAGrant(t *testing.T) {
	first, second := &stubLeader{decide: grant}, &stubLeader{decide: grant}
	firstAddress, stop := serve(t, first)
	secondAddress, _ := serve(t, second)
	c := arbiter.NewClient(discardLogger)
	granted := retry(t, c, firstAddress)
	stop()
	c.Release(firstAddress, granted.ID)
	if _, err := c.Decide(t.Context(), firstAddress, request()); err == nil {
		t.Error("a dead leader has answered")
	}
	again := retry(t, c, secondAddress)
	c.Release(secondAddress, again.ID)
	await.Until(t, 20*time.Second, "the second grant is released", func() bool { return slices.Contains(second.releases(), again.ID) })
	if slices.Contains(second.releases(), granted.ID) {
		t.Error("the new leader was told of a grant that it did not give")
	}
}

// Guards against a pause for everybody when one caller disconnects, and against releases to a control instance
// that does not lead, which holds no grants.
func TestOnlyFailuresOfTheLeaderPause(t *testing.T) {
	notLeading := func(context.Context) (*wire.DecideResponse, error) {
		return nil, twirp.NewError(twirp.Unavailable, "this replica does not lead")
	}
	for name, c := range map[string]struct {
		left            bool
		decide          func(context.Context) (*wire.DecideResponse, error)
		pauses, release bool
	}{
		"the caller has left":    {true, grant, false, true},
		"another instance leads": {false, notLeading, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			leader := &stubLeader{decide: grant}
			address, _ := serve(t, leader)
			client := arbiter.NewClient(discardLogger)
			retry(t, client, address)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if c.left {
				leave()
			}
			leader.decide = c.decide
			failed, err := client.Decide(ctx, address, request())
			if err == nil {
				t.Fatal("there is an answer")
			}
			leader.decide = grant
			_, err = client.Decide(t.Context(), address, request())
			if paused := errors.Is(err, arbiter.ErrPaused); paused != c.pauses {
				t.Errorf("paused: %v", paused)
			}
			client.Release(address, "last")
			await.Until(t, 20*time.Second, "the last release", func() bool { return slices.Contains(leader.releases(), "last") })
			if slices.Contains(leader.releases(), failed.ID) != c.release {
				t.Errorf("released: %v", leader.releases())
			}
		})
	}
}

// Guards against grants that are released for other attempts: ids are unique, and each is released once.
func TestReleasesAreSentOnce(t *testing.T) {
	leader := &stubLeader{decide: grant}
	address, _ := serve(t, leader)
	c := arbiter.NewClient(discardLogger)
	var want []string
	for range 40 {
		id := retry(t, c, address).ID
		c.Release(address, id)
		want = append(want, id)
	}
	all := func() bool {
		return !slices.ContainsFunc(want, func(id string) bool { return !slices.Contains(leader.releases(), id) })
	}
	await.Until(t, 20*time.Second, "all are released", all)
	slices.Sort(want)
	if n := len(slices.Compact(want)); n != 40 {
		t.Errorf("%d different ids", n)
	}
	c.Release(address, "later")
	await.Until(t, 20*time.Second, "the next batch", func() bool { return slices.Contains(leader.releases(), "later") })
	got := leader.releases()
	slices.Sort(got)
	if len(slices.Compact(slices.Clone(got))) != len(got) {
		t.Error("an id was released twice")
	}
}

// Guards against fields that are lost between the entry and the leader.
func TestMessagesHoldEverything(t *testing.T) {
	r := coordination.Request{
		ID: "id", Digest: quarantine.DigestOf("t", nil, nil), Service: "svc", Key: 1 << 63, Tokens: 3, Urgency: 4, Team: "t", Resumes: true,
		Excluded: map[string]bool{"a": true, "b": true}, Objective: 300 * time.Millisecond, Remaining: 9 * time.Second,
	}
	got, ok := wire.ToArbiterRequest(wire.FromArbiterRequest(r))
	if diff := cmp.Diff(r, got); diff != "" || !ok {
		t.Error(ok, diff)
	}
	for _, d := range []coordination.Decision{
		coordination.Grant{Engine: registry.Incarnation{ID: "e", Start: 9}, Free: 5}, coordination.Unknown{},
		coordination.Refusal{RetryAfter: time.Second, Reason: coordination.NoRoom}, coordination.Refusal{Reason: coordination.OverShare}, coordination.Refusal{Reason: coordination.NoTime},
	} {
		if diff := cmp.Diff(d, wire.ToDecision(wire.FromDecision(d))); diff != "" {
			t.Error(diff)
		}
	}
	for _, m := range []*wire.DecideRequest{{}, {Id: "id"}, {Id: "id", Digest: []byte("short")}} {
		if _, ok := wire.ToArbiterRequest(m); ok {
			t.Errorf("%v is accepted", m)
		}
	}
}
