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
	// writeTimeout is how long a caller may take to read what is written to it before
	// its request is ended and its slot released.
	writeTimeout = 30 * time.Second
	// deadlineRefreshInterval is how often the write deadline is extended.
	deadlineRefreshInterval = 5 * time.Second
)

// responder writes the response of one request to the caller.
type responder struct {
	w          http.ResponseWriter
	team       string
	sealer     *cursor.Sealer
	reqMetrics *requestMetrics
	controller *http.ResponseController
	// sent is the number of the last event that the caller has been sent; started is
	// set once the response header has been written.
	sent     uint64
	started  bool
	deadline time.Time
	buf      []byte
	// writeError is why a write to the caller failed, or nil.
	writeError error
	// onFirstEvent, when set, is called before the first event is forwarded.
	onFirstEvent func()
}

// writeStream forwards events until the end of the stream. Only a stream whose end was
// received is complete.
func (s *responder) writeStream(events exchange.Events, j *job) retry.Result {
	position := cursor.Position{Upstream: j.plan.Name, Run: j.runID}
	for {
		event, more, err := events.Next()
		if err == io.EOF {
			return s.writeDone()
		}
		if err != nil {
			return retry.Broken{Sent: s.sent}
		}
		position.Offset = event.Number
		j.lastActivity.Store(clock.Now().UnixNano())
		if !s.writeEvent(event.Data, position, more) {
			return retry.CallerGone{}
		}
	}
}

// writeEvent writes one event with a sealed cursor as its ID; it reports false when the
// caller has disconnected. While more events have already arrived, flushing is
// deferred.
func (s *responder) writeEvent(data []byte, position cursor.Position, more bool) bool {
	s.prepareWrite()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = s.sealer.AppendSeal(s.buf, s.team, position)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	_, err := s.w.Write(s.buf)
	if err == nil && !more {
		err = s.controller.Flush()
	}
	if err != nil {
		s.writeError = err
		return false
	}
	s.sent = position.Offset
	s.reqMetrics.observeToken()
	return true
}

func (s *responder) prepareWrite() {
	now := clock.Now()
	if s.controller == nil {
		s.controller = http.NewResponseController(s.w)
	}
	if now.After(s.deadline.Add(-writeTimeout + deadlineRefreshInterval)) {
		s.deadline = now.Add(writeTimeout)
		_ = s.controller.SetWriteDeadline(clock.Deadline(s.deadline))
	}
	if s.started {
		return
	}
	s.started = true
	if s.onFirstEvent != nil {
		s.onFirstEvent()
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderOutcome, outcome.Label(outcome.Answered{}))
	s.w.WriteHeader(http.StatusOK)
}

func (s *responder) writeDone() retry.Result {
	s.prepareWrite()
	_, err := io.WriteString(s.w, "data: "+openai.Done+"\n\n")
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		s.writeError = err
		return retry.CallerGone{}
	}
	return retry.Completed{Status: http.StatusOK}
}

// writeComplete forwards a complete, non-streamed response.
func (s *responder) writeComplete(answer exchange.Whole) retry.Result {
	s.reqMetrics.observeToken()
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
		s.writeError = err
		return retry.CallerGone{}
	}
	return retry.Completed{Status: answer.Head.Status}
}

// writeFailure writes the final outcome: as a response of its own if nothing was sent,
// and otherwise as an error event that no end-of-stream marker follows. It writes nothing after a failed write.
func (s *responder) writeFailure(o outcome.Outcome) {
	if s.writeError != nil {
		return
	}
	if !s.started {
		writeOutcome(s.w, o)
		return
	}
	body := openai.ErrorBody(kindUnavailable, "stream_broken", "The answer broke off and cannot be completed.", "")
	_, _ = io.WriteString(s.w, "data: "+string(body)+"\n\n")
	_ = s.controller.Flush()
}
