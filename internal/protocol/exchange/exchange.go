// Package exchange defines the protocol-neutral types shared by the request handlers, the
// serving loop and the upstream clients: a request, one attempt at it, and the reply.
// The headers, paths and statuses of concrete interfaces are not defined here.
package exchange

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedrock/shedrock/internal/state/registry"
)

// Request is one decoded request of a caller.
type Request struct {
	// ID is the caller's unique id of the request.
	ID string
	// Method and Target are those of the request line; Target includes the query.
	Method, Target string
	Host, Path     string
	// Header is forwarded to the upstream unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or empty.
	Key string
	// Arrived is when the head was read, and Wait how long the caller waits from then
	// on, or 0 if it sets no limit. Left reports that the caller had disconnected by the
	// time the request was decoded.
	Arrived time.Time
	Wait    time.Duration
	Left    bool
	// Prompt is set for requests to a model. Streamed requests an event stream from an
	// upstream that supports both forms of reply.
	Prompt   *Prompt
	Streamed bool
	// After is the number of the last event that the caller received, valid if Resumes
	// is set.
	After   uint64
	Resumes bool
	// ResumedID is the id of the caller's request that brought the first event of the resumed stream, or
	// empty if the caller does not name it.
	ResumedID string
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt; all but the last are shared with other prompts.
	Parts []Part
	// Tokens is the prompt's length, and MaxOutputTokens limits the output's.
	Tokens, MaxOutputTokens int
}

// Part is a piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// SharedKey returns a hash of the prompt up to and including its largest shared part, or 0
// if no part is shared. Prompts with the same key benefit most from running in the same
// place, because they share cached context.
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

// PartLocation is the store that holds a prompt part; Address is empty if there is none.
type PartLocation struct {
	Address string
	Tokens  int
}

// Attempt is one attempt to execute a request on one instance.
type Attempt struct {
	*Request
	Instance registry.Instance
	// Deadline is when the instance must abort the request.
	Deadline time.Time
	// Team is empty where the configuration has no teams.
	Team string
	// Urgency is the priority in an engine's queue; 0 runs first.
	Urgency int
	// Salt separates cached context that must not be shared; it is empty for
	// requests to plain services.
	Salt string
	// Fetch and Save name, for each part of the prompt, the store to fetch it from or to
	// save it to; they are nil if there is none.
	Fetch, Save []PartLocation
	// FetchUntil is when an unfinished fetch is discarded, on the clock of stores and
	// engines.
	FetchUntil time.Duration
	// Weights, if set, is the only weight version under which the attempt may run.
	// WeightsName is used instead where versions are declared as names.
	Weights     uint64
	WeightsName string
	// Run and Number identify the attempt to upstreams that number the attempts of a run.
	Run    string
	Number int
	// Single sends the attempt on a new connection, so that the HTTP library does not resend it.
	Single bool
	// After is the number of the last event that the caller received.
	After   uint64
	Resumes bool
	// Beside is true for an attempt that is made beside a silent one, which may go on: it is not held while no entry has
	// a path.
	Beside bool
	// AllowsDomain reports whether the request may pass through an entry in a failure domain; nil allows all.
	AllowsDomain func(domain string) bool
	// Via is set by Upstreams to the address of the entry through which the attempt was sent, if it was.
	Via string
	// Delayed is set by Upstreams if a lost path, or an attempt that failed before this one took another way, may have
	// delayed the response: the time until then tells nothing of the instance.
	Delayed bool
}

// Upstreams sends requests to instances.
type Upstreams interface {
	// Send sends one attempt. A Stream must be closed by the caller.
	Send(ctx context.Context, a *Attempt) Reply
	// Refuses reports whether an instance's address refuses connections, as it does if no
	// process listens there. An address that does not respond is not reported as refusing.
	Refuses(ctx context.Context, in registry.Instance) bool
}

// Reply is one of Unreached, NotRun, Broken, Whole or Stream.
type Reply interface{ reply() }

// Unreached means that no byte of the request was sent.
type Unreached struct {
	Err error
	// NoPath reports that the sender has no path to any instance of the service now, so that another attempt
	// would fail as well.
	NoPath bool
}

// NotRun means that the instance did not execute the request and never will.
type NotRun struct {
	Status int
	// Misdirected reports that another instance has the address now.
	Misdirected bool
	Condition   Condition
	// Header is the refusal's header, if it carries further details.
	Header http.Header
}

// Broken means that the request was sent and may have been executed.
type Broken struct {
	Err error
	// Condition is what the instance reported, if the head of a response was received.
	Condition Condition
}

// Head is the head of an instance's response.
type Head struct {
	Status int
	Header http.Header
	// Condition is the state that the instance reports.
	Condition Condition
}

// Whole is a complete response that is not streamed.
type Whole struct {
	Head Head
	Body []byte
}

// Stream is a response that consists of numbered events.
type Stream struct {
	Head Head
	// Events returns io.EOF after the last event of a complete response.
	Events Events
}

// Events iterates over the events of one response.
type Events interface {
	// Next returns the next event, which is valid until the next call. more reports that
	// the following event has already been received.
	Next() (event Event, more bool, err error)
	Close()
}

// Event is one event as received.
type Event struct {
	// Number is 0 if the event has none.
	Number uint64
	// Raw is the encoded event, and Data its payload. An implementation of Events sets the
	// one that is forwarded.
	Raw, Data []byte
}

func (Unreached) reply() {}
func (NotRun) reply()    {}
func (Broken) reply()    {}
func (Whole) reply()     {}
func (Stream) reply()    {}

// defaultMaxWait is the MaxWait of a caller that sets no limit.
const defaultMaxWait = time.Hour

// MaxWait returns how long the caller waits from the request's arrival on.
func (r *Request) MaxWait() time.Duration {
	if r.Wait <= 0 {
		return defaultMaxWait
	}
	return r.Wait
}
