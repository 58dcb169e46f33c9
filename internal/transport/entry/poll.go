package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/prefix"
	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// checkInterval is the mean interval at which a poller decides whether to poll its
	// upstream.
	checkInterval = time.Second
	// idlePollInterval is the interval at which an upstream is polled for its load and
	// cache events while there are few upstreams; idlePollsPerSecond makes it longer
	// when there are many. Responses to prompts carry the load too.
	idlePollInterval = 2 * time.Second
	// idlePollsPerSecond limits the idle polls that one entry sends to all upstreams
	// together: with 240 upstreams, each is polled every two minutes.
	idlePollsPerSecond = 2
	// quietThreshold is how long an attempt may go without data before its upstream is
	// polled to see whether it is alive.
	quietThreshold = time.Second
	// pollTimeout bounds one poll request.
	pollTimeout = time.Second
	// maxUnansweredPolls is the number of consecutive polls without an answer after
	// which the attempts at an upstream are cancelled; a hung upstream reaches it in a
	// few seconds.
	maxUnansweredPolls = 2
)

// syncPollers starts and stops pollers so that one goroutine runs for each declared
// upstream; mu must be held.
func (e *Entry) syncPollers(ctx context.Context, state *declared.State) {
	present := map[string]bool{}
	for _, u := range state.UpstreamsInRegionOf(e.FailureDomain) {
		key := u.Name() + " " + u.Address()
		present[key] = true
		if _, ok := e.pollerCancels[key]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		e.pollerCancels[key] = cancel
		n, _ := e.planner.UpstreamNumber(u.Name())
		p := &poller{e: e, number: n, address: u.Address()}
		if !e.background.tryAdd() {
			return
		}
		go func() {
			defer e.background.done()
			p.run(ctx)
		}()
	}
	for key, cancel := range e.pollerCancels {
		if !present[key] {
			cancel()
			delete(e.pollerCancels, key)
		}
	}
}

// poller polls one upstream.
type poller struct {
	e       *Entry
	number  int
	address string
	// start identifies the engine process, and sequence the last cache event received
	// from it.
	start    string
	sequence uint64
	// unanswered counts the consecutive polls that got no answer.
	unanswered int
}

func (p *poller) run(ctx context.Context) {
	var lastIdlePoll time.Time
	for {
		upstreams, quiet := p.status()
		interval := max(idlePollInterval, time.Duration(upstreams)*time.Second/idlePollsPerSecond)
		switch {
		case clock.Since(lastIdlePoll) >= interval:
			lastIdlePoll = clock.Now()
			p.pollLoad(ctx)
			p.pollEvents(ctx)
		case quiet || p.unanswered > 0:
			p.pollLoad(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval/2 + rand.N(checkInterval)):
		}
	}
}

// status returns the number of upstreams, and whether an attempt at this one has
// received no data for longer than quietThreshold.
func (p *poller) status() (upstreams int, quiet bool) {
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := clock.Now().Add(-quietThreshold).UnixNano()
	for j := range e.activeAttempts[p.number] {
		quiet = quiet || j.lastActivity.Load() < cutoff
	}
	return len(e.pollerCancels), quiet
}

func (p *poller) get(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := sling.New().Get("http://" + p.address + path).Request()
	if err != nil {
		return err
	}
	res, err := sling.New().Client(p.e.upstreams.HTTP()).Do(req.WithContext(ctx), out, nil)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("upstream returned status %d", res.StatusCode)
	}
	return err
}

func (p *poller) pollLoad(ctx context.Context) {
	var load engine.Load
	err := p.get(ctx, engine.PathLoad, &load)
	e := p.e
	if ctx.Err() == nil {
		e.detours.Observe(p.instance(), err == nil)
	}
	if err != nil {
		p.recordPollFailure(ctx)
		return
	}
	p.unanswered = 0
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.planner.Upstream(p.number)
	u.NoteProbeSuccess()
	u.NoteLoad(load.Running, load.Queued, load.PendingPromptTokens, load.Leaving)
	if u.Version != load.Version {
		// A different weight version has its own cache, which starts out empty.
		u.Version = load.Version
		e.planner.Directory().DropUpstream(p.number)
	}
}

// instance returns the upstream as attempts name it.
func (p *poller) instance() registry.Instance {
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	return registry.Instance{ID: e.planner.Name(p.number), Service: modelGroup + e.planner.Upstream(p.number).Model, Address: p.address}
}

// recordPollFailure counts a poll without an answer. An upstream that stays
// unresponsive is ejected, and the attempts in progress there are cancelled, so that
// they can be resumed, or run again elsewhere. An attempt that was sent after the
// previous poll is left until the next one: polls that went unanswered before it say
// nothing about it. While this entry has lost its direct path to the model's upstreams, a failed poll is no
// evidence about one of them.
func (p *poller) recordPollFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pathLost(e.planner.Upstream(p.number).Model) {
		return
	}
	p.unanswered++
	e.planner.Upstream(p.number).NoteFailure(clock.Now())
	if p.unanswered < maxUnansweredPolls {
		return
	}
	cutoff := clock.Now().Add(-quietThreshold - pollTimeout).UnixNano()
	ended := 0
	for j, cancel := range e.activeAttempts[p.number] {
		if j.lastActivity.Load() < cutoff {
			cancel()
			ended++
		}
	}
	if p.unanswered == maxUnansweredPolls || ended > 0 {
		e.Log.Warn().Str("event", "upstream_silent").Str("upstream", e.planner.Name(p.number)).Int("attempts", ended).Msg("")
	}
}

// pollEvents fetches cache events. A gap in the sequence or a restart of the engine
// means that events were lost: the directory's entries for the upstream are dropped,
// and learned again from the runs that follow.
func (p *poller) pollEvents(ctx context.Context) {
	var page engine.CacheEvents
	err := p.get(ctx, engine.PathEvents+"?after="+strconv.FormatUint(p.sequence, 10), &page)
	if err != nil {
		return
	}
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.planner.Directory()
	if page.Start != p.start {
		if p.start != "" {
			d.DropUpstream(p.number)
		}
		p.start = page.Start
		p.sequence = 0
		return
	}
	for _, event := range page.Events {
		if p.sequence != 0 && event.Sequence != p.sequence+1 {
			d.DropUpstream(p.number)
		}
		p.sequence = event.Sequence
		key, ok := prefix.ParseKey(event.Key)
		if ok && event.Removed {
			d.RecordEviction(key, p.number)
		}
	}
}

// attemptNumber parses the attempt's number from the end of a run ID.
func attemptNumber(run string) (int, bool) {
	at := strings.LastIndexByte(run, '-')
	n, err := strconv.Atoi(run[at+1:])
	return n, err == nil && at > 0
}
