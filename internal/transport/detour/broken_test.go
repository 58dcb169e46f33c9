package detour_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/logtest"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// Guards against a forwarded answer that breaks at the link between two entries without a trace at either.
func TestBrokenLinkIsLoggedAndCountedAtBothEntries(t *testing.T) {
	next := make(chan struct{})
	helper := newEntry(t, func(ctx context.Context, _ *exchange.Attempt) exchange.Reply {
		events := &listEvents{events: []exchange.Event{{Number: 1, Raw: []byte("1")}, {Number: 2, Raw: []byte("2")}}, wait: next, ctx: ctx, closed: make(chan struct{})}
		return exchange.Stream{Head: exchange.Head{Status: 200, Header: http.Header{}}, Events: events}
	})
	var logged logtest.Buffer
	helper.forwarder.Log = logged.Logger()
	e := newEntry(t, answered, helper)
	e.losePath(t)
	stream, ok := e.Send(t.Context(), newAttempt("id-1", instances[0])).(exchange.Stream)
	if !ok {
		t.Fatal("not a stream")
	}
	_, _, err := stream.Events.Next()
	if err != nil {
		t.Fatal(err)
	}
	helper.server.CloseClientConnections()
	_, _, err = stream.Events.Next()
	if err == nil {
		t.Error("the stream went on")
	}
	stream.Events.Close()
	close(next)
	await.Until(t, patience, "the peer notices", func() bool { return len(logged.WithEvent("forwarded_attempt_broken")) > 0 })
	lines := logged.WithEvent("forwarded_attempt_broken")
	if len(lines) != 1 || !strings.Contains(lines[0], `"request":"id-1"`) || !strings.Contains(lines[0], `"instance":"a"`) || !strings.Contains(lines[0], `"events":1`) {
		t.Errorf("%q", lines)
	}
	if diff := cmp.Diff(1.0, e.count(t, "shedrock_detours_broken_total", "svc")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1.0, helper.count(t, "shedrock_forwarded_broken_total", "svc")); diff != "" {
		t.Error(diff)
	}
}
