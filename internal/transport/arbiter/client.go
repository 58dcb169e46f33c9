package arbiter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// decideTimeout bounds the wait for a decision, which takes 1 to 7 ms between failure domains, and
	// objectiveDivisor bounds it by a part of the objective.
	decideTimeout    = 60 * time.Millisecond
	objectiveDivisor = 8
	// failurePause is how long no decisions are requested after a failure: an election takes 0.5 s to 1.5 s.
	failurePause = 500 * time.Millisecond
	// releaseDelay is how long releases are collected before they are sent. The leader's arbiter corrects a
	// late release by the engine's next report, which is as late.
	releaseDelay = 50 * time.Millisecond
	// releaseTimeout bounds the sending of releases, so that those for a leader that is lost do not pile up.
	releaseTimeout = time.Second
)

// ErrPaused is returned without a call after a failure.
var ErrPaused = errors.New("the leader failed to decide lately")

// Answer is the leader's answer to a request.
type Answer struct {
	// ID identifies the attempt in the leader's log and in its release.
	ID       string
	Decision arbiter.Decision
	// LoadsAge is how old the newest load was that the leader had.
	LoadsAge time.Duration
}

// Client requests decisions from the leader. Use NewClient to make one. It is safe for concurrent use.
type Client struct {
	client *http.Client
	log    *log.Logger
	// prefix begins the ids of this process's attempts, so that they are unique in the fleet.
	prefix string

	mu sync.Mutex
	// The fields below are guarded by mu.

	lastID      uint64
	pausedUntil time.Time
	// releases holds, by the leader's address, the ids that are to be released with the next call.
	releases map[string][]string
}

// NewClient returns a client without connections.
func NewClient(logger *log.Logger) *Client {
	return &Client{client: rpc.NewClient(), log: logger, prefix: strconv.FormatUint(rand.Uint64(), 36) + "-", releases: map[string][]string{}}
}

// Decide requests a decision about an attempt from the leader at an address. It sets the request's id. An error means that the
// caller decides by itself; a grant that the leader may have given nevertheless is released.
func (c *Client) Decide(ctx context.Context, leader string, r arbiter.Request) (Answer, error) {
	var paused bool
	r.ID, paused = c.begin(clock.Now())
	if paused {
		return Answer{}, ErrPaused
	}
	timeout := decideTimeout
	if r.Objective > 0 {
		timeout = min(timeout, r.Objective/objectiveDivisor)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := wire.NewArbiterProtobufClient("http://"+leader, c.client).Decide(callCtx, wire.FromArbiterRequest(r))
	if err != nil {
		var refused twirp.Error
		if !errors.As(err, &refused) || refused.Code() != twirp.Unavailable {
			c.Release(leader, r.ID)
		}
		if ctx.Err() == nil {
			c.pause(leader, err)
		}
		return Answer{ID: r.ID}, err
	}
	return Answer{ID: r.ID, Decision: wire.ToDecision(out), LoadsAge: time.Duration(out.LoadsAgeMilliseconds) * time.Millisecond}, nil
}

// begin returns the id of the next attempt, and whether requests are suspended after a failure.
func (c *Client) begin(now time.Time) (id string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.prefix + strconv.FormatUint(c.lastID, 36), now.Before(c.pausedUntil)
}

// pause stops requests for a while after a failure, and logs the first one.
func (c *Client) pause(leader string, err error) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.pausedUntil) {
		return
	}
	c.pausedUntil = now.Add(failurePause)
	c.log.Info().Str("event", "arbiter_failed").Str("leader", leader).Str("error", err.Error()).Msg("")
}

// Release reports to the leader at an address, with the next batch, that an attempt has ended or never began. It
// is sent once: a lost release expires at the leader.
func (c *Client) Release(leader, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releases[leader] = append(c.releases[leader], id)
	if len(c.releases[leader]) == 1 {
		time.AfterFunc(releaseDelay, func() { c.sendReleases(leader) })
	}
}

// sendReleases sends the releases that were collected for a leader.
func (c *Client) sendReleases(leader string) {
	c.mu.Lock()
	ids := c.releases[leader]
	delete(c.releases, leader)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := wire.NewArbiterProtobufClient("http://"+leader, c.client).Release(ctx, &wire.ReleaseRequest{Ids: ids})
	if err != nil {
		c.log.Info().Str("event", "arbiter_release_failed").Str("leader", leader).Int("ids", len(ids)).Str("error", err.Error()).Msg("")
	}
}
