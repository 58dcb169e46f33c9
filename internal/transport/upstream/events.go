package upstream

import (
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/openai"
)

var (
	// errRunMismatch reports that a response or an event does not carry the run's id.
	errRunMismatch = errors.New("the answer belongs to another run")
	// errEventGap reports that an event number is not the previous one plus 1.
	errEventGap = errors.New("event number does not follow the previous one")
)

// eventStream reads the event stream of one run and checks each event. An event of another run or
// a gap in the numbers ends the stream with an error, and the rest of the connection is not
// used.
type eventStream struct {
	body   io.ReadCloser
	reader *openai.EventReader
	mark   openai.RunIDMatcher
	// last is the number of the last event that was returned.
	last uint64
}

func newEventStream(a *exchange.Attempt, body io.ReadCloser) *eventStream {
	return &eventStream{body: body, reader: openai.NewEventReader(body), mark: openai.NewRunIDMatcher(a.Run), last: a.After}
}

// Next returns the next event. It returns io.EOF only after the final marker of a complete
// stream, and io.ErrUnexpectedEOF when the connection ends before it.
func (e *eventStream) Next() (event exchange.Event, more bool, err error) {
	read, err := e.reader.Next()
	if err == io.EOF {
		return event, false, io.ErrUnexpectedEOF
	}
	if err != nil {
		return event, false, err
	}
	if string(read.Data) == openai.Done {
		return event, false, io.EOF
	}
	number, err := strconv.ParseUint(string(read.ID), 10, 64)
	if err != nil || number != e.last+1 {
		return event, false, errEventGap
	}
	if !e.mark.Matches(read.Data) {
		return event, false, errRunMismatch
	}
	e.last = number
	return exchange.Event{Number: number, Data: read.Data}, e.reader.Buffered(), nil
}

// Close closes the response body: its connection returns to the pool after a complete response
// and is closed otherwise.
func (e *eventStream) Close() { _ = e.body.Close() }
