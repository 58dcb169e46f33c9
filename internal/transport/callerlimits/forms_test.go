package callerlimits_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/transport/callerlimits"
)

// Guards against a limit that ends a request which is served, or the connection of one that has arrived in time, whatever
// the request's form: all waits of the handler are longer than the limits.
func TestRequestsOfAllFormsAreServed(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	large := strings.Repeat("b", 300_000)
	whole := headOf(200, len(large)) + large
	forms := map[string][]string{
		"without a body":       {plainRequest},
		"with a body":          {whole},
		"chunked":              {chunked + "\r\n3\r\nabc\r\n", "0\r\n\r\n"},
		"chunked with trailer": {chunked + "Trailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n"},
		"body comes later":     {headOf(200, 2), "a", "b"},
		"head in pieces":       {whole[:10], whole[10:150], whole[150:250], whole[250:]},
		"empty line after":     {whole + "\r\n"},
	}
	for name, parts := range forms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, deployment.Limits{HeaderTimeout: shortTimeout, HeaderBytes: 300}, callerlimits.Defaults{IdleTimeout: longIdle})
			f.wait = 2 * defaultHeaderTimeout
			d := f.dial()
			var got []int
			for range 2 {
				for _, part := range parts {
					_, _ = io.WriteString(d, part)
					time.Sleep(shortTimeout / 10)
				}
				got = append(got, d.status())
				// An idle connection, with or without an empty line, has more time than a head.
				time.Sleep(2 * shortTimeout)
			}
			// Two requests at once: the second has arrived before the first is served.
			_, _ = io.WriteString(d, strings.Join(parts, "")+strings.Join(parts, ""))
			got = append(got, d.status(), d.status())
			if diff := cmp.Diff([]int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusOK}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a connection whose phases are mixed up beside changes of the limits: requests that follow one another at
// once are all served.
func TestRequestsAreServedBesideChanges(t *testing.T) {
	t.Parallel()
	const callers, requests = 4, 500
	f := newFixture(t, deployment.Limits{}, callerlimits.Defaults{IdleTimeout: longIdle, FormerHold: time.Second})
	stop := make(chan struct{})
	var changes, running sync.WaitGroup
	changes.Go(func() {
		for n := 0; ; n++ {
			limits := deployment.Limits{HeaderTimeout: time.Duration(n%3) * longTimeout, HeaderBytes: 300 + n%100, IdleTimeout: time.Duration(n%5) * longIdle}
			f.limits.Store(&limits)
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	for range callers {
		d := f.dial()
		running.Go(func() {
			for n := range requests {
				if status := d.send(headOf(300, n%7) + strings.Repeat("b", n%7)); status != http.StatusOK {
					t.Errorf("request %d was answered %d", n, status)
					return
				}
			}
		})
	}
	running.Wait()
	close(stop)
	changes.Wait()
}

// Guards against sound requests that are refused because their head began behind another request: only its end comes
// with the body, which was counted as a part of the head.
func TestPipelinedHeadIsNotRefusedForItsBody(t *testing.T) {
	f := newFixture(t, deployment.Limits{HeaderTimeout: time.Second, HeaderBytes: 300}, callerlimits.Defaults{IdleTimeout: longIdle})
	d := f.dial()
	_, err := io.WriteString(d, plainRequest+"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n")
	if err != nil {
		t.Fatal(err)
	}
	first := d.status()
	<-time.After(100 * time.Millisecond)
	_, err = io.WriteString(d, "\r\n"+strings.Repeat("b", 1000))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusOK}, []int{first, d.status()}); diff != "" {
		t.Error(diff)
	}
}
