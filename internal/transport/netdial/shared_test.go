package netdial_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/transport/netdial"
)

var errDown = errors.New("down")

// fakeDialer counts attempts; each takes 50 ms, and fails if down is set.
type fakeDialer struct {
	n    atomic.Int64
	down atomic.Bool
}

func (d *fakeDialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.n.Add(1)
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.down.Load() {
		return nil, errDown
	}
	c, _ := net.Pipe()
	return c, nil
}

// dialConcurrently calls DialContext the given number of times concurrently. It returns how many calls
// returned a connection, and how long all of them took together.
func dialConcurrently(ctx context.Context, s *netdial.SharedDialer, attempts int) (made int64, took time.Duration) {
	began := time.Now()
	var connected atomic.Int64
	var wg sync.WaitGroup
	for range attempts {
		wg.Go(func() {
			if c, err := s.DialContext(ctx, "tcp", "there"); err == nil {
				connected.Add(1)
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	return connected.Load(), time.Since(began)
}

// Concurrent callers share one attempt and its failure, so that none waits for several failed attempts
// in turn.
func TestConcurrentDialsShareOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		s := netdial.NewSharedDialer(d.dial)
		d.down.Store(true)
		made, took := dialConcurrently(t.Context(), s, 100)
		if made != 0 || d.n.Load() != 1 || took != 50*time.Millisecond {
			t.Errorf("address down: got %d connections by %d attempts after %s, want 0 by 1 after 50ms", made, d.n.Load(), took)
		}
		d.down.Store(false)
		made, took = dialConcurrently(t.Context(), s, 100)
		if made != 1 || d.n.Load() != 2 || took > time.Second {
			t.Errorf("got %d connections by %d attempts after %s, want 1 by 1 within 1s", made, d.n.Load()-1, took)
		}
		made, _ = dialConcurrently(t.Context(), s, 1)
		if diff := cmp.Diff(int64(1), made); diff != "" {
			t.Error("connections by a later attempt (-want +got): ", diff)
		}
	})
}

// If the caller that dials is canceled, its attempt is canceled too, and a waiting caller makes a new
// one instead of failing.
func TestCanceledAttemptDoesNotFailWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		s := netdial.NewSharedDialer(d.dial)
		leaving, leave := context.WithCancel(t.Context())
		first := make(chan error, 1)
		go func() {
			_, err := s.DialContext(leaving, "tcp", "there")
			first <- err
		}()
		synctest.Wait()
		second := make(chan error, 1)
		go func() {
			_, err := s.DialContext(t.Context(), "tcp", "there")
			second <- err
		}()
		synctest.Wait()
		leave()
		if err := <-first; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if err := <-second; err != nil {
			t.Error(err)
		}
		<-time.After(time.Second)
	})
}
