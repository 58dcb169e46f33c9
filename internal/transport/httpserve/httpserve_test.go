package httpserve_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/transport/httpserve"
)

// A panicking handler answers 502 as long as nothing was written, and breaks the connection afterwards.
func TestRecovererAnswersOrBreaks(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		// status is 0 if there is no response.
		status int
		whole  bool
		panics int64
	}{
		{"nothing written", func(http.ResponseWriter, *http.Request) { panic("at once") }, 502, true, 1},
		{"headers set", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "100"); panic("later") }, 502, true, 1},
		{"status written", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200); panic("later") }, 0, false, 1},
		{"flushed", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			panic("later")
		}, 200, false, 1},
		{"body written and flushed", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			panic("later")
		}, 200, false, 1},
		{"aborted on purpose", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false, 0},
		{"no panic", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, 204, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var panics atomic.Int64
			server := httptest.NewServer(httpserve.Recoverer{
				Handler: c.handle, Count: func() { panics.Add(1) }, Log: &log.Logger{Level: log.PanicLevel},
				RequestID: func(http.Header, *http.Request) string { return "id" },
				Fail:      func(w http.ResponseWriter, id string) { http.Error(w, id, http.StatusBadGateway) },
			})
			defer server.Close()
			status, whole := 0, false
			res, err := server.Client().Get(server.URL)
			if err == nil {
				status = res.StatusCode
				_, err = io.ReadAll(res.Body)
				whole = err == nil
				_ = res.Body.Close()
			}
			if diff := cmp.Diff([]any{c.status, c.whole, c.panics}, []any{status, whole, panics.Load()}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// What net/http reports becomes one bounded line of the log.
func TestErrorLogIsStructuredAndBounded(t *testing.T) {
	var out bytes.Buffer
	errorLog := httpserve.NewErrorLog(&log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}})
	errorLog.Printf("http: %s\n", strings.Repeat("x", 1<<20))
	if n := strings.Count(out.String(), "\n"); n != 1 || out.Len() > 4<<10 || !strings.Contains(out.String(), `"event":"http_server_error"`) {
		t.Errorf("%d lines, %d bytes: %.100q", n, out.Len(), out.String())
	}
}
