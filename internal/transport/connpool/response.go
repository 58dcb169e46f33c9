package connpool

import (
	"net/http"
)

// ReadResponse reads the head of the response to a request, which may be nil for GET, and skips informational responses
// before it. A head that does not follow RFC 9112, or ends early, is an error of inbound.HeadReader. The body has no limit.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	c.head.Expect()
	for {
		res, err := http.ReadResponse(c.Reader, request)
		if headErr := c.head.Err(); err != nil && headErr != nil {
			return nil, headErr
		}
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}
