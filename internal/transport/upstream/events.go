package upstream

import (
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
	"github.com/shedrock/shedrock/internal/protocol/openai"
)

var (
	// errOtherRun says that an answer or event does not carry the run's id.
	errOtherRun = errors.New("the answer belongs to another run")
	// errGap says that an event does not follow the one before.
	errGap = errors.New("an event does not follow the one before")
)

// events are those of one run, checked one by one: another run's event, or a gap, ends
// them, and nothing more of the connection counts.
type events struct {
	body   io.ReadCloser
	reader *openai.EventReader
	mark   openai.RunMark
	// last is the number of the last event.
	last uint64
}

func newEvents(a *exchange.Attempt, body io.ReadCloser) *events {
	return &events{body: body, reader: openai.NewEventReader(body), mark: openai.NewRunMark(a.Run), last: a.After}
}

// Next returns the next event; the end is io.EOF only after the mark that ends a whole answer.
func (e *events) Next() (event exchange.Event, more bool, err error) {
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
		return event, false, errGap
	}
	if !e.mark.In(read.Data) {
		return event, false, errOtherRun
	}
	e.last = number
	return exchange.Event{Number: number, Data: read.Data}, e.reader.Buffered(), nil
}

// Close ends the connection, or gives it back after a whole answer.
func (e *events) Close() { _ = e.body.Close() }
