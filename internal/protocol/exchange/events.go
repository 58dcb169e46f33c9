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
	// Reserve, when set, is called before the buffer for one event grows, by so many bytes. Its error ends the reading.
	Reserve func(bytes int) error

	r   *bufio.Reader
	raw []byte
}

// minEventBytes is the first capacity of the buffer for one event.
const minEventBytes = 2 << 10

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, minEventBytes)}
}

// Next returns the next event, including its terminating empty line. It returns
// io.ErrUnexpectedEOF if the body ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	var event Event
	for {
		line, err := e.r.ReadSlice('\n')
		if reserveErr := e.reserve(len(line)); reserveErr != nil {
			return Event{}, reserveErr
		}
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
			return Event{}, &LimitError{Part: "event", Limit: maxEvent}
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

// reserve makes room for further bytes of an event.
func (e *EventReader) reserve(n int) error {
	wanted := len(e.raw) + n
	if wanted <= cap(e.raw) {
		return nil
	}
	after := max(minEventBytes, 2*cap(e.raw), wanted)
	if e.Reserve != nil && after > minEventBytes {
		err := e.Reserve(after - cap(e.raw))
		if err != nil {
			return err
		}
	}
	e.raw = append(make([]byte, 0, after), e.raw...)
	return nil
}

// Buffered reports whether more bytes have already been received.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }
