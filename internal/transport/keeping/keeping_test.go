package keeping_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/clock/clocktest"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/fleet"
	transport "github.com/shedrock/shedrock/internal/transport/keeping"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// viewOf returns a view of a deployment with a store and routes of the given number of ranks.
func viewOf(t *testing.T, ranks int) *fleet.View {
	t.Helper()
	config := &deployment.Config{Version: 1, Services: map[string]deployment.Service{
		"e": {Name: "e", Engine: &deployment.Engine{}}, "k": {Name: "k", Store: &deployment.Store{Address: "k:1", MemoryTokens: 1000}},
	}}
	for rank := range ranks {
		config.Routes = append(config.Routes, deployment.Route{
			Host: "h", Prefix: "/" + string(rune('a'+rank)), Kind: deployment.Stream, Timeout: time.Minute, Rank: rank, Targets: []deployment.Target{{Service: "e", Weight: 1}},
		})
	}
	if err := config.Check(); err != nil {
		t.Fatal(err)
	}
	return &fleet.View{Config: config}
}

// idleStore is a store without changes, whose clock is that of the process. It holds one part of version 1.
type idleStore struct{ epoch uint64 }

func (s idleStore) Changes(_ context.Context, _ string, _ uint64, wait time.Duration) (keeping.Batch, error) {
	time.Sleep(wait)
	return keeping.Batch{Epoch: s.epoch, Clock: clock.Elapsed()}, nil
}

func (s idleStore) List(context.Context, string) (epoch, next uint64, held []keeping.StoredPart, err error) {
	part := keeping.Part{Salt: keeping.Salt{Model: "m", Version: 1}.String(), ID: "a"}
	return s.epoch, 0, []keeping.StoredPart{{Part: part, Tokens: 100}}, nil
}

func (s idleStore) Free(context.Context, string, uint64, time.Duration, []keeping.Part) error {
	return nil
}

// publications records when a store was first published, and when as open, and the number of fetchable
// parts in the first publication.
type publications struct {
	first, open time.Time
	parts       int
}

func (p *publications) ForgetStore(string) {}

func (p *publications) PublishStore(_ string, contents keeping.StoreContents) {
	now := time.Now()
	if p.first.IsZero() {
		p.first, p.parts = now, len(contents.Parts)
	}
	if p.open.IsZero() && (contents.FreeTokens > 0 || contents.OpenEpoch != 0) {
		p.open = now
	}
}

// Guards against entries that place prompts without the stores for long after a loss of all processes: the
// configuration is known 80 ms after the start, a leader 20 ms later, and the stores must be published soon.
func TestStoresAreReadSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.New(t)
		configured, published, began := viewOf(t, 3), &publications{}, time.Now()
		watcher := &transport.StoreWatcher{
			View: func() *fleet.View {
				if time.Since(began) < 80*time.Millisecond {
					return &fleet.View{}
				}
				return configured
			},
			Leading:           func() (uint64, bool) { return 3, time.Since(began) >= 100*time.Millisecond },
			ConfirmLeadership: func(context.Context) error { return nil }, Stores: changingStore{idleStore{7}}, Source: published, Log: quiet,
			Committed: func(context.Context) (keeping.Committed, error) { return keeping.Committed{}, nil },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watcher.Run(ctx)
		}()
		<-time.After(time.Second)
		cancel()
		<-done
		if took := published.first.Sub(began); published.first.IsZero() || took > 200*time.Millisecond {
			t.Errorf("published after %v", took)
		}
	})
}

// changingStore is a store whose changes do not have to be waited for.
type changingStore struct{ idleStore }

func (s changingStore) Changes(ctx context.Context, address string, since uint64, _ time.Duration) (keeping.Batch, error) {
	return s.idleStore.Changes(ctx, address, since, time.Millisecond)
}

// All control instances have lost power, and a new leader knows only the control log. It opens a store at
// once if the log holds its epoch, and not before a lease is over otherwise. Nothing is published before the
// log could be read: a store would stay closed, or parts that an earlier leader frees would be published as
// fetchable because the view lacks the newest weights.
func TestStoresAfterALossOfAllControlInstances(t *testing.T) {
	cases := []struct {
		name      string
		ranks     int
		epoch     uint64
		committed keeping.Committed
		// failing is for how long the log cannot be read.
		failing time.Duration
		parts   int
		atOnce  bool
	}{
		{"same epoch", 3, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 7}}, 0, 1, true},
		{"new epoch", 3, 8, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 7}}, 0, 1, false},
		{"log behind", 3, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 6}}, 0, 1, false},
		{"other store", 3, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:2": 7}}, 0, 1, false},
		{"log not readable at first", 3, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 7}}, 2 * time.Second, 1, true},
		{"view lacks weights", 3, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 7}, Weights: map[string]uint64{"m": 2}}, 0, 0, true},
		{"not tiered", 2, 7, keeping.Committed{SavesRecorded: true, OpenEpochs: map[string]uint64{"k:1": 7}}, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.New(t)
				view, published, began := viewOf(t, c.ranks), &publications{}, time.Now()
				watcher := &transport.StoreWatcher{
					View: func() *fleet.View { return view }, Leading: func() (uint64, bool) { return 3, true },
					ConfirmLeadership: func(context.Context) error { return nil }, Stores: idleStore{c.epoch}, Source: published, Log: quiet,
					Committed: func(context.Context) (keeping.Committed, error) {
						if time.Since(began) < c.failing {
							return keeping.Committed{}, errors.New("no majority answered")
						}
						return c.committed, nil
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				watcher.Run(ctx)
				if published.first.IsZero() || published.open.IsZero() || published.first.Sub(began) < c.failing {
					t.Fatalf("first published after %s, open after %s", published.first.Sub(began), published.open.Sub(began))
				}
				closed := published.open.Sub(published.first)
				if c.atOnce != (closed == 0) || !c.atOnce && closed <= keeping.FetchLease {
					t.Errorf("closed for %s", closed)
				}
				if diff := cmp.Diff(c.parts, published.parts); diff != "" {
					t.Error("fetchable parts: ", diff)
				}
			})
		})
	}
}

// Guards against an epoch that is committed before the store is open, by a replica that does not lead or
// while no service is tiered, against more than one entry for each change, and against epochs that are
// lost when a commit fails.
func TestEpochsAreCommittedOnceOpen(t *testing.T) {
	type commit struct {
		Address string
		Epoch   uint64
	}
	// world is what the recorder finds.
	type world struct {
		ranks   int
		term    uint64
		leads   bool
		open    uint64
		held    map[string]uint64
		failing bool
	}
	steps := []struct {
		name string
		world
		want []commit
	}{
		{"follower", world{ranks: 3, term: 1, open: 7}, nil},
		{"not tiered", world{ranks: 2, term: 1, leads: true, open: 7}, nil},
		{"closed", world{ranks: 3, term: 1, leads: true, held: map[string]uint64{"k:9": 4}}, []commit{{"k:9", 0}}},
		{"open", world{ranks: 3, term: 1, leads: true, open: 7}, []commit{{"k:1", 7}}},
		{"closed again", world{ranks: 3, term: 1, leads: true}, nil},
		{"not committed", world{ranks: 3, term: 1, leads: true, open: 8, failing: true}, nil},
		{"committed later", world{ranks: 3, term: 1, leads: true, open: 8}, []commit{{"k:1", 8}}},
		{"new term", world{ranks: 3, term: 2, leads: true, open: 8, held: map[string]uint64{"k:1": 8}}, nil},
		{"new term, log behind", world{ranks: 3, term: 3, leads: true, open: 8, held: map[string]uint64{"k:1": 7}}, []commit{{"k:1", 8}}},
	}
	synctest.Test(t, func(t *testing.T) {
		var now atomic.Pointer[world]
		var commits []commit
		views := map[int]*fleet.View{2: viewOf(t, 2), 3: viewOf(t, 3)}
		recorder := &transport.EpochRecorder{
			View: func() *fleet.View {
				view := *views[now.Load().ranks]
				view.Stores = map[string]keeping.StoreContents{"k:1": {OpenEpoch: now.Load().open}, "k:2": {OpenEpoch: 5}}
				return &view
			},
			Leading: func() (uint64, bool) { return now.Load().term, now.Load().leads },
			Committed: func(context.Context) (keeping.Committed, error) {
				return keeping.Committed{SavesRecorded: true, OpenEpochs: now.Load().held}, nil
			},
			CommitOpen: func(_ context.Context, address string, epoch uint64) error {
				if now.Load().failing {
					return errors.New("no majority")
				}
				commits = append(commits, commit{address, epoch})
				return nil
			},
			Log: quiet,
		}
		for _, s := range steps {
			commits = nil
			now.Store(&s.world)
			ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			recorder.Run(ctx)
			cancel()
			if diff := cmp.Diff(s.want, commits); diff != "" {
				t.Errorf("%s: %s", s.name, diff)
			}
		}
	})
}
