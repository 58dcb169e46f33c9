// Package rpc provides the HTTP client and server for calls between shedrock processes. They
// use HTTP/2 without TLS, whose header compression keeps heartbeats small.
package rpc

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/transport/inbound"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

const (
	// dialTimeout limits the setup of a connection within a region.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// pingInterval and pingTimeout detect a peer that became unreachable without closing the
	// connection.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	// readHeaderTimeout limits how long a peer may take to send a request's headers.
	readHeaderTimeout = 5 * time.Second
	// MaxResponseBytes limits the body of a response. The largest holds a whole configuration.
	MaxResponseBytes = 20 << 20
	// maxRequestBytes limits the body of a request. The largest holds a snapshot of the control log.
	maxRequestBytes = 64 << 20
)

// NewClient returns an HTTP client for Twirp calls between processes.
func NewClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return inbound.Limit(&http.Client{Transport: &http.Transport{
		Protocols:       &protocols,
		DialContext:     netdial.NewSharedDialer(netdial.NewAdaptiveDialer(dialTimeout).DialContext).DialContext,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}, MaxResponseBytes)
}

// Serve serves h on an open listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, h http.Handler) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           http.MaxBytesHandler(h, maxRequestBytes),
		MaxHeaderBytes:    inbound.MaxHeadBytes,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	// Callers can repeat every call between processes, so those in progress are aborted.
	return errors.Wrap(server.Close(), "close the server")
}
