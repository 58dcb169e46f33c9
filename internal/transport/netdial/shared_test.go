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

// dials counts attempts, which take 50 ms and fail while down is set.
type dials struct {
	n    atomic.Int64
	down atomic.Bool
}

func (d *dials) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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

// atOnce makes so many attempts at once, and returns how many made a connection and how long all
// of them took.
func atOnce(ctx context.Context, s *netdial.SharedDialer, attempts int) (made int64, took time.Duration) {
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

// Attempts at once share one, also its failure, so that no caller waits for the failures of others.
func TestAttemptsAtOnceShareOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dials{}
		s := netdial.NewSharedDialer(d.dial)
		d.down.Store(true)
		made, took := atOnce(t.Context(), s, 100)
		if made != 0 || d.n.Load() != 1 || took != 50*time.Millisecond {
			t.Errorf("%d connections by %d attempts after %s while it is down", made, d.n.Load(), took)
		}
		d.down.Store(false)
		made, took = atOnce(t.Context(), s, 100)
		if made != 1 || d.n.Load() != 2 || took > time.Second {
			t.Errorf("%d connections by %d attempts after %s", made, d.n.Load()-1, took)
		}
		made, _ = atOnce(t.Context(), s, 1)
		if diff := cmp.Diff(int64(1), made); diff != "" {
			t.Error("a later attempt makes a connection: ", diff)
		}
	})
}

// One who goes away while others wait for the attempt takes it along, and the next makes one.
func TestAttemptThatIsAbandonedFailsNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &dials{}
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
