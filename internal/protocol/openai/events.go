package openai

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes limits the size of one event of a stream.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event larger than MaxEventBytes.
var ErrEventTooLong = errors.New("openai: event too long")

// Event is one server-sent event. Its slices are valid only until the next read.
type Event struct {
	// ID is empty if the event has none.
	ID []byte
	// Data holds the data lines, joined by line feeds.
	Data []byte
}

// EventReader reads server-sent events.
type EventReader struct {
	r *bufio.Reader
	// id, data and line are reused from event to event to avoid an allocation for
	// each token.
	id, data, line []byte
}

// eventBufferBytes is the size of a reader's buffer: enough for a few events, and
// small because every open stream has one.
const eventBufferBytes = 2048

// NewEventReader returns a reader over r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// Buffered reports whether more of the stream has already been received, so that
// the consumer can delay its flush.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next reads one event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.id = e.id[:0]
	e.data = e.data[:0]
	started := false
	for {
		line, err := e.readLine()
		if err == io.EOF && (started || len(line) > 0) {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if started {
				return Event{ID: e.id, Data: e.data}, nil
			}
			continue
		}
		started = true
		err = e.parseLine(line)
		if err != nil {
			return Event{}, err
		}
	}
}

func (e *EventReader) parseLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	if len(e.data) > MaxEventBytes {
		return ErrEventTooLong
	}
	return nil
}

func (e *EventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return line, err
	}
	// The line is longer than the buffer: accumulate it up to MaxEventBytes.
	e.line = append(e.line[:0], line...)
	for err == bufio.ErrBufferFull {
		if len(e.line) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		line, err = e.r.ReadSlice('\n')
		e.line = append(e.line, line...)
	}
	return bytes.TrimRight(e.line, "\r\n"), err
}
