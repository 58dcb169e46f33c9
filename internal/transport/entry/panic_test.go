package entry_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// Guards against a panic that closes the caller's connection without an answer, a line in the log or a count. An
// entry without a client of the control log panics when a call must not be repeated.
func TestPanicIsAnsweredLoggedAndCounted(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	var logged logtest.Buffer
	e := s.start(func(e *entry.Entry) {
		e.Control = nil
		e.Log = logged.Logger()
	})
	got := e.send(t, "POST", "/v1/services/orders/x", "{}", "Idempotency-Key", "k")
	if diff := cmp.Diff([]any{502, "unknown"}, []any{got.status, got.header.Get(entry.HeaderOutcome)}); diff != "" {
		t.Error(diff)
	}
	lines := logged.WithEvent("panic")
	id := got.header.Get(entry.HeaderRequestID)
	if len(lines) != 1 || id == "" || !strings.Contains(lines[0], `"request":"`+id+`"`) {
		t.Errorf("%q: %q", id, lines)
	}
	if !strings.Contains(e.get(t, "/metrics"), "\nshedrock_panics_total 1\n") {
		t.Error("not counted")
	}
}
