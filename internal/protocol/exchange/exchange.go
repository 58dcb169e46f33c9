// Package exchange holds the neutral values between whoever takes requests, the serving
// loop and whoever speaks to upstreams: a request, one attempt at it, and what came back.
// No header, path or status of a concrete interface is known here.
package exchange

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// Request is one caller's request as it was read.
type Request struct {
	// ID is the caller's, unlike any other's.
	ID string
	// Method and Target are the request line's; Target holds the query as well.
	Method, Target string
	Host, Path     string
	// Header is what the upstream gets unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key, or empty.
	Key string
	// Arrived is when the head was read, and Wait how long the caller waits from then
	// on; 0 when it does not say. Left says that the caller had gone by then.
	Arrived time.Time
	Wait    time.Duration
	Left    bool
	// Prompt is set for requests to a model, and Streamed when the answer is to come as
	// events from an upstream that answers either way.
	Prompt   *Prompt
	Streamed bool
	// After is the number of the last event that the caller has; Resumes says that there
	// is one.
	After   uint64
	Resumes bool
}

// Prompt is what is known of a request to a model.
type Prompt struct {
	Model string
	// Parts are in their order; all but the last are shared with other prompts.
	Parts []Part
	// Tokens is the prompt's length, and MaxOutputTokens bounds the answer's.
	Tokens, MaxOutputTokens int
}

// Part is a piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// SharedKey is a hash of the prompt up to its largest shared part, or 0 when nothing is
// shared: prompts with the same key gain most from running in the same place.
func (p *Prompt) SharedKey() uint64 {
	last := len(p.Parts) - 1
	largest := -1
	for i := range max(last, 0) {
		if largest < 0 || p.Parts[i].Tokens > p.Parts[largest].Tokens {
			largest = i
		}
	}
	if largest < 0 {
		return 0
	}
	var ids []string
	for _, part := range p.Parts[:largest+1] {
		ids = append(ids, part.ID)
	}
	return xxhash.Sum64String(p.Model+"/"+strings.Join(ids, "/")) | 1
}

// PartLocation is a part's place; Address is empty when it has none.
type PartLocation struct {
	Address string
	Tokens  int
}

// Attempt is a request on its way to one instance.
type Attempt struct {
	*Request
	Instance registry.Instance
	// Deadline is when the instance is to give up.
	Deadline time.Time
	// Team is empty where the configuration has no teams.
	Team string
	// Urgency is the place in an engine's queue; 0 is the first.
	Urgency int
	// Salt separates kept context of those that must not share it; it is empty for
	// requests to plain services.
	Salt string
	// Fetch and Save name, for each part of the prompt, the store to take it from or to
	// bring it to; they are nil when there is none.
	Fetch, Save []PartLocation
	// FetchUntil is when an unfinished fetch is thrown away, on the clock of stores and
	// engines.
	FetchUntil time.Duration
	// Weights, when set, is the only version under which the attempt may run; where versions
	// are declared as names, WeightsName is it.
	Weights     uint64
	WeightsName string
	// Run and Number name the attempt to upstreams that count the attempts of a run.
	Run    string
	Number int
	// Single attempts go over a connection of their own, which no library sends again.
	Single bool
	// After is the number of the last event that the caller has.
	After   uint64
	Resumes bool
}

// Upstreams speaks to instances.
type Upstreams interface {
	// Send sends one attempt. A Stream must be closed by the caller.
	Send(ctx context.Context, a *Attempt) Reply
	// Refuses reports whether an instance's address refuses connections, as it does when no
	// process listens there. An address that says nothing does not.
	Refuses(ctx context.Context, in registry.Instance) bool
}

// Reply is one of Unreached, NotRun, Broken, Whole or Stream.
type Reply interface{ reply() }

// Unreached says that nothing of the request was sent.
type Unreached struct{ Err error }

// NotRun says that the instance did not run the request and never will.
type NotRun struct {
	Status int
	// Misdirected says that another instance has the address now.
	Misdirected bool
	Condition   Condition
	// Header is the refusal's, where it says more.
	Header http.Header
}

// Broken says that the request was sent and may have run.
type Broken struct {
	Err error
	// Condition is what the instance said of itself, if the head of an answer came.
	Condition Condition
}

// Head is the head of an instance's answer.
type Head struct {
	Status int
	Header http.Header
	// Condition is what the instance says of itself.
	Condition Condition
}

// Whole is a complete answer.
type Whole struct {
	Head Head
	Body []byte
}

// Stream is an answer of numbered events.
type Stream struct {
	Head Head
	// Events returns io.EOF after the last event of a complete answer.
	Events Events
}

// Events are the events of one answer.
type Events interface {
	// Next returns the next event; it is valid until the next call. More says that the
	// next one has arrived already.
	Next() (event Event, more bool, err error)
	Close()
}

// Event is one event as it came.
type Event struct {
	// Number is 0 when the event has none.
	Number uint64
	// Raw is the whole event, and Data its payload; who reads events sets the one that is
	// passed on.
	Raw, Data []byte
}

func (Unreached) reply() {}
func (NotRun) reply()    {}
func (Broken) reply()    {}
func (Whole) reply()     {}
func (Stream) reply()    {}

// longPatience stands for the patience of a caller that does not tell it.
const longPatience = time.Hour

// MaxWait returns how long the caller waits from its arrival on.
func (r *Request) MaxWait() time.Duration {
	if r.Wait <= 0 {
		return longPatience
	}
	return r.Wait
}
