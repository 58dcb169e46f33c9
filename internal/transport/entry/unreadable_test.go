package entry_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/transport/entry"
)

// Guards against requests that are turned away unread without a line in the log or a count: each closes the caller's
// connection.
func TestUnreadableRequestsAreLoggedAndCounted(t *testing.T) {
	s := newDeployment(t, engineOptions())
	s.declare()
	var logged logtest.Buffer
	e := s.start(func(e *entry.Entry) {
		e.MaxBody = 10
		e.Log = logged.Logger()
	})
	got := e.send(t, "POST", "/v1/chat/completions", chat("more than ten bytes", false, 1))
	if diff := cmp.Diff(413, got.status); diff != "" {
		t.Error(diff)
	}
	lines := logged.WithEvent("request_unreadable")
	if len(lines) != 1 || !strings.Contains(lines[0], `"request":"`+got.header.Get(entry.HeaderRequestID)+`"`) {
		t.Errorf("%q", lines)
	}
	if diff := cmp.Diff(1.0, e.metric(t, "shedrock_requests_unreadable_total")); diff != "" {
		t.Error(diff)
	}
}
