package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent limits the size of one event in bytes; an event normally holds a few tokens of text.
const maxEvent = 1 << 20

// EventReader splits a body into server-sent events and preserves their bytes.
type EventReader struct {
	r   *bufio.Reader
	raw []byte
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, 2048)}
}

// Next returns the next event, including its terminating empty line. It returns
// io.ErrUnexpectedEOF if the body ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	var event Event
	for {
		line, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if err == bufio.ErrBufferFull && len(e.raw) < maxEvent {
			continue
		}
		if err == io.EOF && len(e.raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(e.raw) >= maxEvent {
			return Event{}, errors.Errorf("an event is longer than %d bytes", maxEvent)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			event.Raw = e.raw
			return event, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return Event{}, errors.Wrap(err, "an event's id")
			}
			event.Number = number
		}
	}
}

// Buffered reports whether more bytes have already been received.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }
