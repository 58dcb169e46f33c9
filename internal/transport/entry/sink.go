package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/retry"
	"github.com/shedrock/shedrock/internal/protocol/cursor"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

const (
	// writeTimeout is how long a caller may take to read what is written to it
	// before its request ends and its slot is returned.
	writeTimeout = 30 * time.Second
	// deadlineEvery is how often the write deadline is moved on.
	deadlineEvery = 5 * time.Second
)

// sink is the caller's side of one request.
type sink struct {
	w      http.ResponseWriter
	team   string
	sealer *cursor.Sealer
	flow   *flow
	out    *http.ResponseController
	// sent counts the events passed on; began is true after the first byte.
	sent     uint64
	began    bool
	deadline time.Time
	buf      []byte
	// onFirst, when set, is called before the first event is passed on.
	onFirst func()
}

// stream passes events on until the answer's end. The answer is whole only with it.
func (s *sink) stream(events exchange.Events, j *job) retry.Result {
	place := cursor.Place{Upstream: j.plan.Name, Run: j.run}
	for {
		event, more, err := events.Next()
		if err == io.EOF {
			return s.done()
		}
		if err != nil {
			return retry.Broken{Sent: s.sent}
		}
		place.Offset = event.Number
		j.heard.Store(clock.Now().UnixNano())
		if !s.event(event.Data, place, more) {
			return retry.CallerGone{}
		}
	}
}

// event writes one event under a sealed cursor; it reports false when the caller
// has gone. While more has arrived already, flushing is put off.
func (s *sink) event(data []byte, place cursor.Place, more bool) bool {
	s.begin()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = s.sealer.AppendSeal(s.buf, s.team, place)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	_, err := s.w.Write(s.buf)
	if err == nil && !more {
		err = s.out.Flush()
	}
	if err != nil {
		return false
	}
	s.sent = place.Offset
	s.flow.token()
	return true
}

func (s *sink) begin() {
	now := clock.Now()
	if s.out == nil {
		s.out = http.NewResponseController(s.w)
	}
	if now.After(s.deadline.Add(-writeTimeout + deadlineEvery)) {
		s.deadline = now.Add(writeTimeout)
		_ = s.out.SetWriteDeadline(clock.Deadline(s.deadline))
	}
	if s.began {
		return
	}
	s.began = true
	if s.onFirst != nil {
		s.onFirst()
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) done() retry.Result {
	s.begin()
	_, err := io.WriteString(s.w, "data: "+openai.Done+"\n\n")
	if err == nil {
		err = s.out.Flush()
	}
	if err != nil {
		return retry.CallerGone{}
	}
	return retry.Completed{Status: http.StatusOK}
}

// whole passes on a complete answer.
func (s *sink) whole(answer exchange.Whole) retry.Result {
	s.flow.token()
	h := s.w.Header()
	h.Set("Content-Type", answer.Head.Header.Get("Content-Type"))
	label := outcome.Label(outcome.Answered{})
	if answer.Head.Header.Get(engine.HeaderNotRun) == "true" {
		label = outcome.Label(outcome.NotRun{})
	}
	h.Set(HeaderOutcome, label)
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	s.w.WriteHeader(answer.Head.Status)
	_, err := s.w.Write(answer.Body)
	if err != nil {
		return retry.CallerGone{}
	}
	return retry.Completed{Status: answer.Head.Status}
}

// fail gives the final outcome: as an answer of its own when nothing was sent,
// and otherwise as an error event after which no end mark follows.
func (s *sink) fail(o outcome.Outcome) {
	if !s.began {
		writeOutcome(s.w, o)
		return
	}
	body := openai.ErrorBody(kindUnavailable, "stream_broken", "The answer broke off and cannot be completed.", "")
	_, _ = io.WriteString(s.w, "data: "+string(body)+"\n\n")
	_ = s.out.Flush()
}
