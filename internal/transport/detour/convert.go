package detour

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// remoteError is an error of the connection between a peer and an instance.
type remoteError struct {
	text                      string
	timedOut, refused, closed bool
	// excessive is true if the instance sent more than a sound one does.
	excessive bool
	// brokenReason is what made the response unusable, or empty.
	brokenReason exchange.BrokenReason
}

// Error returns the text of the peer's error.
func (e *remoteError) Error() string { return "through a peer: " + e.text }

// Timeout reports whether the instance did not respond in time. With Temporary it makes the error a net.Error.
func (e *remoteError) Timeout() bool { return e.timedOut }

// Excessive reports whether the instance sent more than a sound one does.
func (e *remoteError) Excessive() bool { return e.excessive }

// BrokenReason returns what made the response unusable, or "".
func (e *remoteError) BrokenReason() exchange.BrokenReason { return e.brokenReason }

// Temporary is part of net.Error.
func (e *remoteError) Temporary() bool { return false }

// Is reports whether the instance refused or closed the connection.
func (e *remoteError) Is(target error) bool {
	return e.refused && target == syscall.ECONNREFUSED || e.closed && target == syscall.ECONNRESET
}

func fromError(err error) *wire.ForwardError {
	out := &wire.ForwardError{
		Text: []byte(err.Error()), Refused: errors.Is(err, syscall.ECONNREFUSED), Closed: exchange.ConnectionClosed(err),
		Excessive: exchange.Excessive(err), BrokenReason: string(exchange.ReasonOf(err)),
	}
	var network net.Error
	out.TimedOut = errors.As(err, &network) && network.Timeout()
	return out
}

func toError(in *wire.ForwardError) error {
	return &remoteError{
		text: string(in.GetText()), timedOut: in.GetTimedOut(), refused: in.GetRefused(), closed: in.GetClosed(),
		excessive: in.GetExcessive(), brokenReason: exchange.BrokenReason(in.GetBrokenReason()),
	}
}

func fromHeader(h http.Header) []*wire.HeaderField {
	var out []*wire.HeaderField
	for name, values := range h {
		f := &wire.HeaderField{Name: []byte(name)}
		for _, value := range values {
			f.Values = append(f.Values, []byte(value))
		}
		out = append(out, f)
	}
	return out
}

func toHeader(in []*wire.HeaderField) http.Header {
	out := make(http.Header, len(in))
	for _, f := range in {
		var values []string
		for _, value := range f.Values {
			values = append(values, string(value))
		}
		out[string(f.Name)] = values
	}
	return out
}

func fromPlaces(in []exchange.PartLocation) []*wire.PartPlace {
	var out []*wire.PartPlace
	for _, p := range in {
		out = append(out, &wire.PartPlace{Address: p.Address, Tokens: uint32(p.Tokens)})
	}
	return out
}

func toPlaces(in []*wire.PartPlace) []exchange.PartLocation {
	var out []exchange.PartLocation
	for _, p := range in {
		out = append(out, exchange.PartLocation{Address: p.Address, Tokens: int(p.Tokens)})
	}
	return out
}

func fromCondition(c exchange.Condition) *wire.InstanceCondition {
	out := &wire.InstanceCondition{ColdNanoseconds: int64(c.ColdFor), RestNanoseconds: int64(c.RestFor), Leaving: c.Leaving, RefusalLimit: fromLimit(c.RefusalLimit)}
	switch limit := c.Limit.(type) {
	case exchange.RateLimit:
		out.Limit = &wire.InstanceCondition_PerSecond{PerSecond: limit.PerSecond}
	case exchange.NoLimit:
		out.Limit = &wire.InstanceCondition_NoLimit{NoLimit: true}
	case exchange.UnreadableLimit:
		out.Limit = &wire.InstanceCondition_Unreadable{Unreadable: []byte(limit.Text)}
	}
	return out
}

func toCondition(in *wire.InstanceCondition) exchange.Condition {
	out := exchange.Condition{ColdFor: time.Duration(in.GetColdNanoseconds()), RestFor: time.Duration(in.GetRestNanoseconds()), Leaving: in.GetLeaving(), RefusalLimit: toLimit(in.GetRefusalLimit())}
	switch limit := in.GetLimit().(type) {
	case *wire.InstanceCondition_PerSecond:
		out.Limit = exchange.RateLimit{PerSecond: limit.PerSecond}
	case *wire.InstanceCondition_NoLimit:
		out.Limit = exchange.NoLimit{}
	case *wire.InstanceCondition_Unreadable:
		out.Limit = exchange.UnreadableLimit{Text: string(limit.Unreadable)}
	}
	return out
}

func fromLimit(limit exchange.Limit) *wire.InstanceLimit {
	switch limit := limit.(type) {
	case exchange.RateLimit:
		return &wire.InstanceLimit{Limit: &wire.InstanceLimit_PerSecond{PerSecond: limit.PerSecond}}
	case exchange.NoLimit:
		return &wire.InstanceLimit{Limit: &wire.InstanceLimit_NoLimit{NoLimit: true}}
	case exchange.UnreadableLimit:
		return &wire.InstanceLimit{Limit: &wire.InstanceLimit_Unreadable{Unreadable: []byte(limit.Text)}}
	}
	return nil
}

func toLimit(in *wire.InstanceLimit) exchange.Limit {
	switch limit := in.GetLimit().(type) {
	case *wire.InstanceLimit_PerSecond:
		return exchange.RateLimit{PerSecond: limit.PerSecond}
	case *wire.InstanceLimit_NoLimit:
		return exchange.NoLimit{}
	case *wire.InstanceLimit_Unreadable:
		return exchange.UnreadableLimit{Text: string(limit.Unreadable)}
	}
	return nil
}

func fromAttempt(entry string, a *exchange.Attempt) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Entry: entry, Id: []byte(a.ID), Method: []byte(a.Method), Target: []byte(a.Target), Host: []byte(a.Host), Header: fromHeader(a.Header), Body: a.Body,
		Instance: a.Instance.ID, Start: int64(a.Instance.Start), Service: a.Instance.Service, Address: a.Instance.Address, FailureDomain: a.Instance.FailureDomain,
		RemainingNanoseconds: remaining(a.Deadline), Team: a.Team, Urgency: int32(a.Urgency), Salt: a.Salt,
		Fetch: fromPlaces(a.Fetch), Save: fromPlaces(a.Save), FetchUntilNanoseconds: int64(a.FetchUntil),
		Weights: a.Weights, WeightsName: a.WeightsName, Run: a.Run, Number: int32(a.Number), Single: a.Single,
		After: a.After, Resumes: a.Resumes, Streamed: a.Streamed, Prompt: a.Prompt != nil,
	}
}

// remaining returns the time until a deadline in nanoseconds, or 0 if there is none.
func remaining(deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(int64(clock.Until(deadline)), 1)
}

func toInstance(in *wire.ForwardRequest) registry.Instance {
	return registry.Instance{ID: in.Instance, Start: registry.Start(in.Start), Service: in.Service, Address: in.Address, FailureDomain: in.FailureDomain}
}

func toAttempt(in *wire.ForwardRequest, now time.Time) *exchange.Attempt {
	a := &exchange.Attempt{
		Request: &exchange.Request{
			ID: string(in.Id), Method: string(in.Method), Target: string(in.Target), Host: string(in.Host), Header: toHeader(in.Header), Body: in.Body, Streamed: in.Streamed,
			Arrived: now, After: in.After, Resumes: in.Resumes,
		},
		Instance: toInstance(in), Team: in.Team, Urgency: int(in.Urgency), Salt: in.Salt,
		Fetch: toPlaces(in.Fetch), Save: toPlaces(in.Save), FetchUntil: time.Duration(in.FetchUntilNanoseconds),
		Weights: in.Weights, WeightsName: in.WeightsName, Run: in.Run, Number: int(in.Number), Single: in.Single, After: in.After, Resumes: in.Resumes,
	}
	if in.RemainingNanoseconds > 0 {
		a.Deadline = now.Add(time.Duration(in.RemainingNanoseconds))
	}
	if in.Prompt {
		a.Prompt = &exchange.Prompt{}
	}
	return a
}

// fromReply returns the frame of a reply, without the events of a stream.
func fromReply(reply exchange.Reply) *wire.ForwardFrame {
	switch reply := reply.(type) {
	case exchange.Unreached:
		return &wire.ForwardFrame{Frame: &wire.ForwardFrame_Unreached{Unreached: &wire.ForwardUnreached{Error: fromError(reply.Err)}}}
	case exchange.NotRun:
		return &wire.ForwardFrame{Frame: &wire.ForwardFrame_NotRun{NotRun: &wire.ForwardNotRun{
			Status: int32(reply.Status), Misdirected: reply.Misdirected, Condition: fromCondition(reply.Condition), Header: fromHeader(reply.Header),
		}}}
	case exchange.Broken:
		return &wire.ForwardFrame{Frame: &wire.ForwardFrame_Broken{Broken: &wire.ForwardBroken{Error: fromError(reply.Err), Condition: fromCondition(reply.Condition)}}}
	case exchange.Whole:
		head := fromHead(reply.Head)
		head.Whole = true
		head.Body = reply.Body
		return &wire.ForwardFrame{Frame: &wire.ForwardFrame_Head{Head: head}}
	case exchange.Stream:
		return &wire.ForwardFrame{Frame: &wire.ForwardFrame_Head{Head: fromHead(reply.Head)}}
	}
	panic("detour: reply outside the sealed set")
}

func fromHead(h exchange.Head) *wire.ForwardHead {
	return &wire.ForwardHead{Status: int32(h.Status), Header: fromHeader(h.Header), Condition: fromCondition(h.Condition)}
}

func toHead(in *wire.ForwardHead) exchange.Head {
	return exchange.Head{Status: int(in.Status), Header: toHeader(in.Header), Condition: toCondition(in.Condition)}
}

func eventFrame(e exchange.Event, more bool) *wire.ForwardFrame {
	return &wire.ForwardFrame{Frame: &wire.ForwardFrame_Event{Event: &wire.ForwardEvent{Number: e.Number, Raw: slices.Clone(e.Raw), Data: slices.Clone(e.Data), More: more}}}
}

func endFrame() *wire.ForwardFrame {
	return &wire.ForwardFrame{Frame: &wire.ForwardFrame_End{End: &wire.ForwardEnd{}}}
}
