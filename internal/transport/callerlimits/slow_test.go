package callerlimits_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

// shortTimeout and longTimeout stand for configured limits below and above the default.
const (
	shortTimeout = defaultHeaderTimeout / 3
	longTimeout  = 3 * defaultHeaderTimeout
)

// end is how a connection ended.
type end struct {
	// Status is that of the answer, 0 if there was none.
	Status int
	// Early and Late are whether it ended before its limit, and long after it.
	Early, Late bool
}

// waitForEnd sends parts of a request with a pause after each, and then returns how the connection ends, by a limit
// that counts from the first byte.
func (c *caller) waitForEnd(limit, pause time.Duration, parts ...string) end {
	began := time.Now()
	for _, part := range parts {
		// The connection may have ended by then.
		_, _ = io.WriteString(c, part)
		time.Sleep(pause)
	}
	_ = c.SetReadDeadline(began.Add(limit + closeMargin))
	out := end{Status: c.status()}
	_, _ = io.Copy(io.Discard, c.reader)
	lasted := time.Since(began)
	out.Early, out.Late = lasted < limit, lasted >= limit+closeMargin
	return out
}

// Guards against a header timeout that nothing reads: a slow head is given up before it, or not by it, or is kept alive
// by single bytes.
func TestSlowHeadsAreGivenUpAsConfigured(t *testing.T) {
	for name, c := range map[string]struct{ configured, want time.Duration }{
		"none set": {0, defaultHeaderTimeout},
		"shorter":  {shortTimeout, shortTimeout},
		"longer":   {longTimeout, longTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, deployment.Limits{HeaderTimeout: c.configured}, callerlimits.Defaults{IdleTimeout: time.Minute})
			if diff := cmp.Diff(end{Status: http.StatusRequestTimeout}, f.dial().waitForEnd(c.want, 0, "GET / HT")); diff != "" {
				t.Error("half of a head: ", diff)
			}
			d := f.dial()
			if status := d.send(plainRequest); status != http.StatusOK {
				t.Fatalf("a plain request was answered %d", status)
			}
			var bytes []string
			for _, b := range plainRequest {
				bytes = append(bytes, string(b))
			}
			if diff := cmp.Diff(end{Status: http.StatusRequestTimeout}, d.waitForEnd(c.want, c.want/10, bytes[:15]...)); diff != "" {
				t.Error("a byte from time to time: ", diff)
			}
			slow := f.dial()
			_, _ = io.WriteString(slow, plainRequest[:5])
			time.Sleep(time.Duration(usedShare * float64(c.want)))
			if diff := cmp.Diff(http.StatusOK, slow.send(plainRequest[5:])); diff != "" {
				t.Error("a head that takes four fifths of the time: ", diff)
			}
		})
	}
}

// Guards against a body without an end, which was waited for for ever, and against a limit where none is set or for a
// body that makes progress.
func TestBodiesWithoutProgressAreGivenUp(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
	for name, c := range map[string]struct{ configured, pause time.Duration }{
		"none set":          {0, 2 * defaultHeaderTimeout},
		"below the default": {shortTimeout, 2 * shortTimeout},
		"longer":            {longTimeout, time.Duration(usedShare * float64(longTimeout))},
	} {
		t.Run("progress, "+name, func(t *testing.T) {
			t.Parallel()
			d := newFixture(t, deployment.Limits{HeaderTimeout: c.configured}, callerlimits.Defaults{IdleTimeout: time.Minute}).dial()
			for _, part := range []string{head, "a", "b"} {
				_, _ = io.WriteString(d, part)
				time.Sleep(c.pause)
			}
			if diff := cmp.Diff(http.StatusOK, d.send("c")); diff != "" {
				t.Error(diff)
			}
		})
	}
	for name, c := range map[string]struct{ configured, want time.Duration }{
		"below the default": {shortTimeout, defaultHeaderTimeout},
		"longer":            {longTimeout, longTimeout},
	} {
		t.Run("no progress, "+name, func(t *testing.T) {
			t.Parallel()
			d := newFixture(t, deployment.Limits{HeaderTimeout: c.configured}, callerlimits.Defaults{IdleTimeout: time.Minute}).dial()
			if diff := cmp.Diff(end{Status: http.StatusRequestTimeout}, d.waitForEnd(c.want, 0, head, "a")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a connection that a caller has opened ahead and that is closed before the configured idle timeout, and
// against one that is kept for ever.
func TestNewConnectionsAreKeptAsConfigured(t *testing.T) {
	for name, c := range map[string]struct{ configured, want time.Duration }{
		"none set": {0, defaultHeaderTimeout},
		"set":      {longIdle, longIdle},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, deployment.Limits{IdleTimeout: c.configured}, callerlimits.Defaults{IdleTimeout: defaultIdle})
			d := f.dial()
			unused := f.dial()
			time.Sleep(time.Duration(usedShare * float64(c.want)))
			if diff := cmp.Diff(http.StatusOK, d.send(plainRequest)); diff != "" {
				t.Error(diff)
			}
			_ = unused.SetReadDeadline(time.Now().Add(c.want + closeMargin))
			_, err := unused.Read(make([]byte, 1))
			if diff := cmp.Diff(io.EOF.Error(), err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
