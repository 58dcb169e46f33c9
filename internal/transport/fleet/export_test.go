package fleet

import (
	"context"
	"net"
	"net/http"
)

// SetDial makes the follower open its connections with dial. It must be called before Run.
func (f *Follower) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	f.init()
	f.client.Transport = &http.Transport{DialContext: dial}
}
