package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/shedrock/shedrock/internal/transport/entry"
)

// Guards against a body that stops in the middle and is waited for without a limit, also by an entry that received SIGTERM.
func TestBodyWithoutAnEndIsGivenUp(t *testing.T) {
	// bodyTimeout is above the entry's time for a head, the least that counts.
	const bodyTimeout = 6 * time.Second
	s := newDeployment(t)
	s.declare()
	e := s.start(func(e *entry.Entry) { e.BodyTimeout = bodyTimeout })
	c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\n", demoKey)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout + testTimeout))
	reader := bufio.NewReader(c)
	// The entry asks for the body once it reads it.
	res, err := http.ReadResponse(reader, nil)
	if err != nil || res.StatusCode != http.StatusContinue {
		t.Fatal(res, err)
	}
	began := time.Now()
	_, err = io.WriteString(c, "{")
	if err != nil {
		t.Fatal(err)
	}
	e.stop()
	res, err = http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("after %s: %v", time.Since(began), err)
	}
	defer func() { _ = res.Body.Close() }()
	if diff := cmp.Diff(http.StatusRequestTimeout, res.StatusCode); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(began); took < bodyTimeout {
		t.Errorf("given up after %s", took)
	}
	select {
	case <-e.ended:
	case <-time.After(testTimeout):
		t.Error("the entry did not stop")
	}
}
