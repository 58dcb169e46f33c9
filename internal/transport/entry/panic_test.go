package entry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/transport/entry"
)

// logBuffer is a log writer that keeps what was written. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// withEvent returns the lines with the given event.
func (l *logBuffer) withEvent(event string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			out = append(out, line)
		}
	}
	return out
}

func (l *logBuffer) logger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l}}
}

// Guards against a panic that closes the caller's connection without an answer, a line in the log or a count. An
// entry without a client of the control log panics when a call must not be repeated.
func TestPanicIsAnsweredLoggedAndCounted(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	var logged logBuffer
	e := s.start(func(e *entry.Entry) {
		e.Control = nil
		e.Log = logged.logger()
	})
	got := e.send(t, "POST", "/v1/services/orders/x", "{}", "Idempotency-Key", "k")
	if diff := cmp.Diff([]any{502, "unknown"}, []any{got.status, got.header.Get(entry.HeaderOutcome)}); diff != "" {
		t.Error(diff)
	}
	lines := logged.withEvent("panic")
	id := got.header.Get(entry.HeaderRequestID)
	if len(lines) != 1 || id == "" || !strings.Contains(lines[0], `"request":"`+id+`"`) {
		t.Errorf("%q: %q", id, lines)
	}
	if !strings.Contains(e.get(t, "/metrics"), "\nshedrock_panics_total 1\n") {
		t.Error("not counted")
	}
}
