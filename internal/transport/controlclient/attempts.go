package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/control"
)

// attempts are the attempts of one call. One that takes long goes on while other replicas are tried.
type attempts[T any] struct {
	client  *Client
	f       func(context.Context, wire.Control) (T, error)
	results chan attemptResult[T]
	// running holds the addresses of the replicas that have not answered yet.
	running map[string]bool
}

// attemptResult is how the attempt at one replica has ended.
type attemptResult[T any] struct {
	address string
	value   T
	err     error
}

// call tries the leader and then every replica until one succeeds, f fails with an error that is not
// retryable, or ctx ends. It waits for one replica for the given time before it tries the next one as
// well. f may run at several replicas at once.
func call[T any](ctx context.Context, c *Client, wait time.Duration, f func(context.Context, wire.Control) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts[T]{client: c, f: f, results: make(chan attemptResult[T]), running: map[string]bool{}}
	backoff := minBackoff
	for {
		result, done := a.round(ctx, wait)
		if !done {
			result, done, _ = a.await(ctx, backoff/2+rand.N(backoff))
		}
		if done {
			return result.value, result.err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// round tries all replicas that have not been asked yet or have answered, in order. It ends early when
// the call is done, or a replica names a leader that should be tried next.
func (a *attempts[T]) round(ctx context.Context, wait time.Duration) (result attemptResult[T], done bool) {
	for _, address := range a.client.attemptOrder() {
		if a.running[address] {
			continue
		}
		a.start(ctx, address)
		ended, done, redirected := a.await(ctx, wait)
		if done || redirected {
			return ended, done
		}
	}
	return attemptResult[T]{}, false
}

// start begins an attempt at a replica.
func (a *attempts[T]) start(ctx context.Context, address string) {
	a.running[address] = true
	go func() {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		value, err := a.f(attemptCtx, a.client.client(address))
		select {
		case a.results <- attemptResult[T]{address, value, err}:
		case <-ctx.Done():
		}
	}()
}

// await waits for the end of one attempt, but no longer than d. It reports whether the call is done, and
// else whether the replica named a leader that should be tried next.
func (a *attempts[T]) await(ctx context.Context, d time.Duration) (result attemptResult[T], done, redirected bool) {
	select {
	case result = <-a.results:
	case <-time.After(d):
		return result, false, false
	case <-ctx.Done():
		return attemptResult[T]{err: ErrNoMajority}, true, false
	}
	delete(a.running, result.address)
	switch {
	case result.err == nil:
		a.client.setLeader(result.address)
		return result, true, false
	case !retryable(result.err):
		return result, true, false
	case ctx.Err() != nil:
		return attemptResult[T]{err: ErrNoMajority}, true, false
	}
	leader := namedLeader(result.err)
	// A follower names the former leader until another one is elected.
	return result, false, !a.running[leader] && a.client.followRedirect(leader)
}

// namedLeader returns the address of the leader that an error names, or "".
func namedLeader(err error) string {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return ""
	}
	return twirpErr.Meta(control.MetaLeader)
}
