package callerlimits_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

// headOf returns a head of a size in bytes, for a body of another size.
func headOf(size, body int) string {
	begin, end := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX: ", body), "\r\n\r\n"
	return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
}

// Guards against a limit of the head's size that nothing reads: a larger one is not served, a smaller one not refused, or
// refused by a closed connection.
func TestHeadsAreLimitedAsConfigured(t *testing.T) {
	// body is larger than a read of the server.
	const small, large, body = 1 << 10, 128 << 10, 10_000
	for name, c := range map[string]struct{ limit, size, want int }{
		"none set":             {0, defaultHeaderBytes, http.StatusOK},
		"none set, above":      {0, defaultHeaderBytes + 1, http.StatusRequestHeaderFieldsTooLarge},
		"small":                {small, small, http.StatusOK},
		"small, above":         {small, small + 1, http.StatusRequestHeaderFieldsTooLarge},
		"small, far above":     {small, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"large":                {large, large, http.StatusOK},
		"large, above":         {large, large + 1, http.StatusRequestHeaderFieldsTooLarge},
		"larger than any sent": {1 << 30, 1 << 20, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, deployment.Limits{HeaderBytes: c.limit}, callerlimits.Defaults{IdleTimeout: longIdle})
			request := headOf(c.size, body) + strings.Repeat("b", body)
			if diff := cmp.Diff(c.want, f.dial().send(request)); diff != "" {
				t.Error("the first request of a connection: ", diff)
			}
			d := f.dial()
			if status := d.send(plainRequest); status != http.StatusOK {
				t.Fatalf("a plain request was answered %d", status)
			}
			if diff := cmp.Diff(c.want, d.send(request)); diff != "" {
				t.Error("the second request of a connection: ", diff)
			}
		})
	}
}

// Guards against bodies that count as part of the head, and heads of earlier requests that count for later ones.
func TestOnlyTheHeadIsLimited(t *testing.T) {
	t.Parallel()
	const limit, body, requests = 300, 5000, 50
	f := newFixture(t, deployment.Limits{HeaderBytes: limit}, callerlimits.Defaults{IdleTimeout: longIdle})
	d := f.dial()
	for n := range requests {
		if status := d.send(headOf(limit, body) + strings.Repeat("\n", body)); status != http.StatusOK {
			t.Fatalf("request %d was answered %d", n, status)
		}
	}
}
