package callerlimits

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/shedrock/shedrock/internal/clock"
)

const (
	// refusalTimeout bounds the writing of a refusal, and lingerTimeout the reading of what the caller is still sending,
	// of which lingerBytes are read. With unread bytes, the close would reset the connection, and the caller could lose
	// the refusal.
	refusalTimeout = time.Second
	lingerTimeout  = 500 * time.Millisecond
	lingerBytes    = 4 << 20
)

// refuse answers a request whose head has not been read completely, and ends the sending side of the connection. Errors
// mean that the caller has disconnected.
func (c *conn) refuse(status int) {
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	_ = c.SetWriteDeadline(clock.Deadline(clock.Now().Add(refusalTimeout)))
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, len(text), text)
	if err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(clock.Deadline(clock.Now().Add(lingerTimeout)))
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}
