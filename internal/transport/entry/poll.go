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
)

const (
	// checkInterval is how often it is decided whether an upstream is asked.
	checkInterval = time.Second
	// idleInterval is how often an upstream is asked for its load and events at the
	// least, when there are few; answers to prompts carry the load too.
	idleInterval = 2 * time.Second
	// idlePolls bounds the questions of one entry a second, over all upstreams: with
	// 240 of them each is asked every two minutes.
	idlePolls = 2
	// quietAfter is how long an attempt may be without a word before its upstream is
	// asked whether it lives.
	quietAfter = time.Second
	// pollTimeout bounds one question.
	pollTimeout = time.Second
	// silentAfter is how many unanswered questions in a row end the attempts at an
	// upstream, a few seconds when it is frozen.
	silentAfter = 2
)

// poll keeps one goroutine for each declared upstream; mu must be held.
func (e *Entry) poll(ctx context.Context, state *declared.State) {
	present := map[string]bool{}
	for _, u := range state.UpstreamsNear(e.FailureDomain) {
		key := u.Name() + " " + u.Address()
		present[key] = true
		if _, ok := e.polls[key]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		e.polls[key] = cancel
		n, _ := e.board.UpstreamNumber(u.Name())
		p := &poller{e: e, number: n, address: u.Address()}
		if !e.background.begin() {
			return
		}
		go func() {
			defer e.background.end()
			p.run(ctx)
		}()
	}
	for key, cancel := range e.polls {
		if !present[key] {
			cancel()
			delete(e.polls, key)
		}
	}
}

// poller asks one upstream.
type poller struct {
	e       *Entry
	number  int
	address string
	// start and sequence say up to where cache events were taken.
	start    string
	sequence uint64
	// unanswered counts the questions in a row that had no answer.
	unanswered int
}

func (p *poller) run(ctx context.Context) {
	var idle time.Time
	for {
		upstreams, quiet := p.look()
		interval := max(idleInterval, time.Duration(upstreams)*time.Second/idlePolls)
		switch {
		case clock.Since(idle) >= interval:
			idle = clock.Now()
			p.askLoad(ctx)
			p.askEvents(ctx)
		case quiet || p.unanswered > 0:
			p.askLoad(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval/2 + rand.N(checkInterval)):
		}
	}
}

// look returns how many upstreams there are, and whether an attempt at this one has
// been without a word for long.
func (p *poller) look() (upstreams int, quiet bool) {
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := clock.Now().Add(-quietAfter).UnixNano()
	for j := range e.active[p.number] {
		quiet = quiet || j.heard.Load() < limit
	}
	return len(e.polls), quiet
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
		err = errors.Errorf("the upstream answered %d", res.StatusCode)
	}
	return err
}

func (p *poller) askLoad(ctx context.Context) {
	var load engine.Load
	err := p.get(ctx, engine.PathLoad, &load)
	if err != nil {
		p.noteSilence(ctx)
		return
	}
	p.unanswered = 0
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.board.Upstream(p.number)
	u.NoteProbeSuccess()
	u.NoteLoad(load.Running, load.Queued, load.Reading, load.Leaving)
	if u.Version != load.Version {
		// Other weights mean another cache, and one that is empty.
		u.Version = load.Version
		e.board.Directory().ForgetUpstream(p.number)
	}
}

// noteSilence counts a question without an answer. An upstream that stays silent
// is ejected, and the attempts under way there end, so that they can go on or run
// again elsewhere. One that was sent since the question before is left until the next:
// what was unanswered before it says nothing of it.
func (p *poller) noteSilence(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	p.unanswered++
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	e.board.Upstream(p.number).NoteFailure(clock.Now())
	if p.unanswered < silentAfter {
		return
	}
	limit := clock.Now().Add(-quietAfter - pollTimeout).UnixNano()
	ended := 0
	for j, cancel := range e.active[p.number] {
		if j.heard.Load() < limit {
			cancel()
			ended++
		}
	}
	if p.unanswered == silentAfter || ended > 0 {
		e.Log.Warn().Str("event", "upstream_silent").Str("upstream", e.board.Name(p.number)).Int("attempts", ended).Msg("")
	}
}

// askEvents takes cache events. A gap or a new start means that events were
// lost: what was thought to be cached there is forgotten, and learned again from
// the runs that follow.
func (p *poller) askEvents(ctx context.Context) {
	var page engine.CacheEvents
	err := p.get(ctx, engine.PathEvents+"?after="+strconv.FormatUint(p.sequence, 10), &page)
	if err != nil {
		return
	}
	e := p.e
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.board.Directory()
	if page.Start != p.start {
		if p.start != "" {
			d.ForgetUpstream(p.number)
		}
		p.start = page.Start
		p.sequence = 0
		return
	}
	for _, event := range page.Events {
		if p.sequence != 0 && event.Sequence != p.sequence+1 {
			d.ForgetUpstream(p.number)
		}
		p.sequence = event.Sequence
		key, ok := prefix.ParseKey(event.Key)
		if ok && event.Removed {
			d.NoteEvicted(key, p.number)
		}
	}
}

// attemptOf reads the attempt's number from the end of a run's id.
func attemptOf(run string) (int, bool) {
	at := strings.LastIndexByte(run, '-')
	n, err := strconv.Atoi(run[at+1:])
	return n, err == nil && at > 0
}
