package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/classify"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/openai"
	"github.com/shedrock/shedrock/internal/state/outcome"
)

// maxResponseBytes limits a response that is not streamed, because it is buffered until complete.
const maxResponseBytes = 16 << 20

// incompleteError reports that a buffered response ended early or exceeds maxResponseBytes. It hides the cause from errors.Is:
// the response began, so the path to the upstream works.
type incompleteError struct{ reason exchange.BrokenReason }

// Error returns the text that callers read.
func (e *incompleteError) Error() string { return "the answer broke off" }

// BrokenReason returns what made the response unusable, or "".
func (e *incompleteError) BrokenReason() exchange.BrokenReason { return e.reason }

// Send sends one attempt to an engine or a plain service and, unless the response is a stream,
// reads it to its end. An attempt that resumes requests the remaining events of its run.
func (c *Client) Send(ctx context.Context, a *exchange.Attempt) exchange.Reply {
	req, err := encode(ctx, a)
	if err != nil {
		return exchange.Unreached{Err: errors.Wrap(err, "build request")}
	}
	res, x := c.do(req, a)
	switch o := classify.Outcome(x).(type) {
	case outcome.Answered:
		return receive(a, res)
	case outcome.NotRun:
		if res == nil {
			return exchange.Unreached{Err: x.Err}
		}
		_ = res.Body.Close()
		return exchange.NotRun{Status: x.Status, Header: x.Header, Condition: conditionOf(x)}
	case outcome.Unknown:
		if res != nil {
			_ = res.Body.Close()
		}
		return exchange.Broken{Err: &brokenError{detail: o.Detail, cause: x.Err}}
	}
	panic("upstream: unexpected outcome of an exchange")
}

// conditionOf returns the condition that an upstream reports when it refuses a run.
func conditionOf(x classify.Exchange) exchange.Condition {
	if x.Status != http.StatusServiceUnavailable {
		return exchange.Condition{}
	}
	return exchange.Condition{RestFor: exchange.ParseRest(x.Header.Get("Retry-After"))}
}

// do performs the exchange, on a new connection when the attempt must not be repeated.
func (c *Client) do(req *http.Request, a *exchange.Attempt) (*http.Response, classify.Exchange) {
	if a.Single {
		return c.doOnce(req, a.Run, a.Number)
	}
	return send(c.pooled, req, a.Run, a.Number)
}

func encode(ctx context.Context, a *exchange.Attempt) (*http.Request, error) {
	url := "http://" + a.Instance.Address
	if a.Resumes {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+engine.PathRuns+a.Run+"/events", nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(engine.HeaderRun, a.Run)
		req.Header.Set(engine.HeaderLastEvent, strconv.FormatUint(a.After, 10))
		return req, nil
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, url+a.Target, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range a.Header {
		req.Header[name] = values
	}
	req.Header.Set(engine.HeaderRun, a.Run)
	req.Header.Set(engine.HeaderAttempt, strconv.Itoa(a.Number))
	if a.Prompt != nil {
		req.Header.Set(engine.HeaderSalt, a.Salt)
		req.Header.Set(engine.HeaderVersion, a.WeightsName)
		req.Header.Set(engine.HeaderPriority, strconv.Itoa(a.Urgency))
	}
	return req, nil
}

// receive converts a response that belongs to this run into a reply.
func receive(a *exchange.Attempt, res *http.Response) exchange.Reply {
	head := exchange.Head{Status: res.StatusCode, Header: res.Header}
	if a.Resumes && res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return exchange.Broken{Err: errors.Errorf("request for the run's events got status %d", res.StatusCode)}
	}
	if res.StatusCode == http.StatusOK && (a.Streamed || a.Resumes) {
		return exchange.Stream{Head: head, Events: newEventStream(a, res.Body)}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return exchange.Broken{Err: &incompleteError{exchange.ReasonOf(err)}}
	}
	if a.Prompt != nil && res.StatusCode == http.StatusOK && !openai.NewRunIDMatcher(a.Run).Matches(body) {
		return exchange.Broken{Err: errRunMismatch}
	}
	return exchange.Whole{Head: head, Body: body}
}
