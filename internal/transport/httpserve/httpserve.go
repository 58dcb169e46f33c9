// Package httpserve has what the HTTP servers of a process share: handlers that survive panics, and error logs of
// structured lines.
package httpserve

import (
	"bytes"
	"fmt"
	stdlog "log"
	"net/http"
	"runtime"

	"github.com/phuslu/log"
)

const (
	// maxStackBytes and maxErrorBytes limit what is logged of a stack and of an error.
	maxStackBytes = 4 << 10
	maxErrorBytes = 1 << 10
)

// Recoverer serves requests with a handler and recovers from its panics: each is logged and counted. The caller gets
// the response of Fail if nothing was written yet, and a broken connection otherwise, so that it cannot take the
// response for a complete one. http.ErrAbortHandler is passed on. It is an http.Handler.
type Recoverer struct {
	Handler http.Handler
	// RequestID returns the ID of a request for the log. response holds the headers that were set so far.
	RequestID func(response http.Header, r *http.Request) string
	// Fail responds to a request whose handler panicked: whether the request ran is unknown. No headers are set.
	Fail func(w http.ResponseWriter, requestID string)
	// Count counts one panic.
	Count func()
	// Log receives a line for each panic.
	Log *log.Logger
}

// ServeHTTP serves one request.
func (c Recoverer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tracked := &trackedWriter{ResponseWriter: w}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		c.Count()
		id := c.RequestID(w.Header(), r)
		end := "answered_502"
		if tracked.written {
			end = "connection_closed"
		}
		LogPanic(c.Log, cause, id, end)
		if tracked.written {
			panic(http.ErrAbortHandler)
		}
		clear(w.Header())
		c.Fail(w, id)
	}()
	c.Handler.ServeHTTP(tracked, r)
}

// LogPanic logs a panic, which was recovered with the given cause by a deferred function that calls this one. id is that
// of the request, and end how it ends for the caller.
func LogPanic(logger *log.Logger, cause any, id, end string) {
	stack := make([]byte, maxStackBytes)
	stack = stack[:runtime.Stack(stack, false)]
	logger.Error().Str("event", "panic").Str("request", id).Str("end", end).
		Str("error", truncate(fmt.Sprint(cause))).Str("stack", string(stack)).Msg("")
}

func truncate(text string) string { return text[:min(len(text), maxErrorBytes)] }

// trackedWriter records whether any part of a response was written.
type trackedWriter struct {
	http.ResponseWriter
	written bool
}

// WriteHeader writes the status and the headers. Informational responses precede the response proper.
func (w *trackedWriter) WriteHeader(status int) {
	w.written = w.written || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(p)
}

// FlushError flushes what was written, and the headers if nothing was.
func (w *trackedWriter) FlushError() error {
	w.written = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// NewErrorLog returns a log for http.Server.ErrorLog that writes a structured line for each message.
func NewErrorLog(logger *log.Logger) *stdlog.Logger { return stdlog.New(errorWriter{logger}, "", 0) }

type errorWriter struct{ log *log.Logger }

// Write logs one message.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("event", "http_server_error").Str("error", truncate(string(bytes.TrimSpace(p)))).Msg("")
	return len(p), nil
}
