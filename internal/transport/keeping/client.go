package keeping

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/rpc"
)

const (
	// beginTimeout bounds the wait for the record of a save, which takes one commit.
	beginTimeout = 80 * time.Millisecond
	// failurePause is how long no saves are asked for after a failure: an election takes 0.5 s to 1.5 s.
	failurePause = 500 * time.Millisecond
	// deniedFor is how long a part is not asked for again while another save of it is under way, and unresolvedFor if
	// it may never be known when that one ends.
	deniedFor     = 200 * time.Millisecond
	unresolvedFor = 2 * time.Second
	// maxDenied limits the parts that are not asked for.
	maxDenied = 4096
	// endDelay is how long ends are collected before they are sent, endTimeout bounds the call, and endAttempts is how
	// often it is made.
	endDelay    = 5 * time.Millisecond
	endTimeout  = time.Second
	endAttempts = 3
)

// sentRetention is how long the ends that were sent are kept for the next leader, and leaderCheck how often it is checked
// meanwhile whether there is one.
const (
	sentRetention = 15 * time.Second
	leaderCheck   = 250 * time.Millisecond
)

// ErrPaused is returned without a call after a failure, or when no leader is known.
var ErrPaused = errors.New("the leader failed to record saves lately, or is not known")

// Client records saves with the leader, for an entry. Use NewClient to make one. It is safe for concurrent use.
type Client struct {
	client *http.Client
	leader func() string
	log    *log.Logger
	// prefix begins the holders of this process, so that they are unique in the fleet.
	prefix string

	mu sync.Mutex
	// The fields below are guarded by mu.

	lastHolder  uint64
	pausedUntil time.Time
	denied      map[placedPart]denial
	// ends holds the ends to be sent.
	ends map[string]keeping.SaveEnd
	// sent holds the ends that were sent lately, the oldest first, and sentTo the leader that has them.
	sent   []sentEnd
	sentTo string
}

type sentEnd struct {
	holder string
	end    keeping.SaveEnd
	at     time.Time
}

// placedPart is a part at a store.
type placedPart struct {
	store string
	part  keeping.Part
}

type denial struct {
	result keeping.SaveResult
	until  time.Time
}

// NewClient returns a client without connections. leader returns the address of the current leader, or an empty text.
func NewClient(leader func() string, logger *log.Logger) *Client {
	return &Client{
		client: rpc.NewClient(), leader: leader, log: logger, prefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
		denied: map[placedPart]denial{}, ends: map[string]keeping.SaveEnd{},
	}
}

// Begin asks the leader to record the saves of one attempt, and sets their holder. Only those that are granted may be
// ordered, and End must be called if there are any. An error means that none is granted.
func (c *Client) Begin(ctx context.Context, saves []keeping.Save) (holder string, results []keeping.SaveResult, err error) {
	holder, leader := c.begin(clock.Now())
	if leader == "" {
		return "", nil, ErrPaused
	}
	for i := range saves {
		saves[i].Holder = holder
	}
	callCtx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	began := clock.Now()
	out, err := wire.NewSavesProtobufClient("http://"+leader, c.client).Begin(callCtx, &wire.BeginSavesRequest{Saves: wire.FromSaves(saves)})
	if err == nil && clock.Since(began) > 2*beginTimeout {
		// The process was suspended, and the leader may have given up the save.
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.End(holder, keeping.SaveNotOrdered)
		if ctx.Err() == nil {
			c.pause(leader, err)
		}
		return "", nil, err
	}
	results = wire.ToSaveResults(out.Results, len(saves))
	c.noteDenials(saves, results)
	return holder, results, nil
}

// begin returns the holder of an attempt, and the leader to ask or an empty text.
func (c *Client) begin(now time.Time) (holder, leader string) {
	leader = c.leader()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHolder++
	if now.Before(c.pausedUntil) {
		leader = ""
	}
	return c.prefix + strconv.FormatUint(c.lastHolder, 36), leader
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
	c.log.Info().Str("event", "saves_not_recorded").Str("leader", leader).Str("error", err.Error()).Msg("")
}

func (c *Client) noteDenials(saves []keeping.Save, results []keeping.SaveResult) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, save := range saves {
		duration := deniedFor
		switch results[i] {
		case keeping.SaveGranted:
			continue
		case keeping.SaveUnresolved:
			duration = unresolvedFor
		case keeping.SaveClosed, keeping.SavePending:
		}
		if len(c.denied) >= maxDenied {
			clear(c.denied)
		}
		c.denied[placedPart{save.Store, save.Part}] = denial{results[i], now.Add(duration)}
	}
}

// Denial returns how a save of a part to a store was denied lately; ok is false if it was not.
func (c *Client) Denial(store string, part keeping.Part) (result keeping.SaveResult, ok bool) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.denied[placedPart{store, part}]
	if ok && !now.Before(known.until) {
		delete(c.denied, placedPart{store, part})
		return 0, false
	}
	return known.result, ok
}

// End reports the end of a holder's attempt. It does not wait. If the report is lost, the leader asks the engine.
func (c *Client) End(holder string, end keeping.SaveEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[holder] = end
	if len(c.ends) == 1 {
		time.AfterFunc(endDelay, c.sendEnds)
	}
}

// sendEnds sends the ends that were collected.
func (c *Client) sendEnds() {
	now := clock.Now()
	c.mu.Lock()
	in := &wire.EndSavesRequest{}
	isWatched := len(c.sent) > 0
	for holder, end := range c.ends {
		in.Holders = append(in.Holders, holder)
		in.Ends = append(in.Ends, wire.FromSaveEnd(end))
		c.sent = append(c.sent, sentEnd{holder, end, now})
	}
	clear(c.ends)
	c.mu.Unlock()
	if !isWatched {
		time.AfterFunc(leaderCheck, c.watchLeader)
	}
	c.send(in)
}

func (c *Client) send(in *wire.EndSavesRequest) {
	var err error
	for range endAttempts {
		if err = c.sendOnce(in); err == nil {
			return
		}
		time.Sleep(failurePause)
	}
	c.log.Info().Str("event", "save_ends_not_reported").Int("holders", len(in.Holders)).Str("error", err.Error()).Msg("")
}

func (c *Client) sendOnce(in *wire.EndSavesRequest) error {
	leader := c.leader()
	if leader == "" {
		return ErrPaused
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_, err := wire.NewSavesProtobufClient("http://"+leader, c.client).End(ctx, in)
	return err
}

// watchLeader sends the ends of the last sentRetention again once another leader is known: the one before may not have
// committed them.
func (c *Client) watchLeader() {
	leader, now := c.leader(), clock.Now()
	c.mu.Lock()
	c.sent = slices.DeleteFunc(c.sent, func(s sentEnd) bool { return now.Sub(s.at) >= sentRetention })
	isOther := leader != "" && leader != c.sentTo
	isFirst := c.sentTo == ""
	if isOther {
		c.sentTo = leader
	}
	in := &wire.EndSavesRequest{}
	for _, s := range c.sent {
		in.Holders = append(in.Holders, s.holder)
		in.Ends = append(in.Ends, wire.FromSaveEnd(s.end))
	}
	c.mu.Unlock()
	if len(in.Holders) == 0 {
		return
	}
	if isOther && !isFirst {
		c.send(in)
	}
	time.AfterFunc(leaderCheck, c.watchLeader)
}
