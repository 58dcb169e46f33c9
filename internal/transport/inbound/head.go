package inbound

import (
	"bytes"
	"io"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// HeadReader passes on the bytes of an HTTP/1 connection, and checks the heads of responses among them against RFC 9112.
// Go's parser accepts more, and readers that differ about a head differ about its body as well. Make one with
// NewHeadReader.
type HeadReader struct {
	r io.Reader
	// expected is true from Expect until the first bytes arrive.
	expected atomic.Bool
	head     head
	// err is the fault of a head, after which nothing more is passed on.
	err error
}

// NewHeadReader returns a reader that expects no head yet.
func NewHeadReader(r io.Reader) *HeadReader { return &HeadReader{r: r} }

// Expect says that the next bytes to arrive are the head of a response. It may be called while Read waits.
func (h *HeadReader) Expect() { h.expected.Store(true) }

// Read reads some bytes. It returns an *exchange.MalformedError in place of the bytes with which a head turns out to be
// malformed, an *exchange.LimitError for a head of more than MaxHeadBytes, and an *exchange.CutHeadError if the
// connection ends within a head.
func (h *HeadReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.r.Read(p)
	if n > 0 && h.expected.Swap(false) {
		h.head.begin()
	}
	h.err = h.head.add(p[:n])
	if h.err != nil {
		return 0, h.err
	}
	if err != nil && h.head.begun() && exchange.ConnectionClosed(err) {
		h.err = &exchange.CutHeadError{Cause: err}
		return n, h.err
	}
	return n, err
}

// Err returns the fault of a head, or nil. A parser that reads the lines of a head may hide it behind an error of its own.
func (h *HeadReader) Err() error { return h.err }

// headPart is the part of a head that comes next.
type headPart int

const (
	noHead headPart = iota
	statusLine
	fieldLines
)

// head is what has been read of the head of a response, including the informational responses before it.
type head struct {
	next headPart
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// size is the number of bytes so far.
	size int
	// informational is true within an informational response, and legacy within one of HTTP/1.0.
	informational, legacy bool
	// hasLength and hasCoding report whether it has had a Content-Length and a Transfer-Encoding.
	hasLength, hasCoding bool
}

func (h *head) begin() { *h = head{next: statusLine} }

// begun reports whether a part of a head has arrived, but not its end.
func (h *head) begun() bool { return h.next != noHead && h.size > 0 }

// add checks the lines that end within b. What follows the head is not looked at.
func (h *head) add(b []byte) error {
	for len(b) > 0 && h.next != noHead {
		end := bytes.IndexByte(b, '\n')
		isWhole := end >= 0
		if !isWhole {
			end = len(b) - 1
		}
		h.size += end + 1
		if h.size > MaxHeadBytes {
			return &exchange.LimitError{Part: "head", Limit: MaxHeadBytes}
		}
		if !isWhole {
			h.line = append(h.line, b...)
			return nil
		}
		line := b[:end]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		err := h.addLine(bytes.TrimSuffix(line, []byte{'\r'}))
		if err != nil {
			return err
		}
		h.line = h.line[:0]
		b = b[end+1:]
	}
	return nil
}

func (h *head) addLine(line []byte) error {
	switch {
	case h.next == statusLine:
		return h.addStatusLine(line)
	case len(line) > 0:
		return h.addField(line)
	case h.hasCoding && (h.hasLength || h.legacy):
		// RFC 9112, sections 6.1 and 6.3. Readers differ about where such a body ends.
		return &exchange.MalformedError{Reason: exchange.BrokenFraming, Detail: "a Transfer-Encoding beside a Content-Length or in HTTP/1.0"}
	case h.informational:
		h.next = statusLine
	default:
		// Nothing is held for the next head.
		h.next, h.line = noHead, nil
	}
	return nil
}

// addStatusLine checks a status line. The status of a response is from 200 to 599, and that of an informational one below
// 200. 101 would change the protocol, which no request asks for.
func (h *head) addStatusLine(line []byte) error {
	minor, digits, reason, ok := splitStatusLine(line)
	if !ok {
		return malformed(exchange.BrokenStatus, "no status line of HTTP/1", line)
	}
	if hasControl(reason) {
		return malformed(exchange.BrokenStatus, "a status line with a control byte", line)
	}
	status := 0
	for _, digit := range digits {
		if !isDigit(digit) {
			return malformed(exchange.BrokenStatus, "a status that is no number of three digits", line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status == 101 || status > 599 {
		return malformed(exchange.BrokenStatus, "a status that is none of a response", line)
	}
	h.informational, h.legacy = status < 200, minor == '0'
	h.hasLength, h.hasCoding = false, false
	h.next = fieldLines
	return nil
}

// splitStatusLine returns the minor version, the three bytes of the status, and the reason with the blank before it. The
// blank may be missing, as many servers omit it with an empty reason.
func splitStatusLine(line []byte) (minor byte, status, reason []byte, ok bool) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 200") {
		return 0, nil, nil, false
	}
	minor, status, reason = rest[0], rest[2:5], rest[5:]
	ok = isDigit(minor) && rest[1] == ' ' && (len(reason) == 0 || reason[0] == ' ')
	return minor, status, reason, ok
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// addField checks a field. A line that begins with a blank would go on with the field before it, for which servers may not use
// it any more; a line of blanks is the end of the head for some readers.
func (h *head) addField(line []byte) error {
	if isBlank(line[0]) {
		return malformed(exchange.BrokenField, "a line that begins with a blank", line)
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 {
		return malformed(exchange.BrokenField, "a line without a field's name", line)
	}
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return malformed(exchange.BrokenField, "a field whose name is no token", line)
		}
	}
	if hasControl(value) {
		return malformed(exchange.BrokenField, "a field with a control byte", line)
	}
	h.hasLength = h.hasLength || bytes.EqualFold(name, contentLength)
	h.hasCoding = h.hasCoding || bytes.EqualFold(name, transferEncoding)
	return nil
}

// malformed returns the error of a line of a head.
func malformed(reason exchange.BrokenReason, detail string, line []byte) error {
	return &exchange.MalformedError{Reason: reason, Detail: detail, Line: string(line[:min(len(line), maxShownBytes)])}
}

// maxShownBytes is how much of a malformed line an error shows.
const maxShownBytes = 64

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// hasControl reports whether text has a control byte, other than a tab.
func hasControl(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
