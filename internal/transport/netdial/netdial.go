// Package netdial opens TCP connections that detect an unreachable peer within seconds: without
// these socket options, unacknowledged data is retransmitted for many minutes before the
// connection fails. It also opens all listeners, and states when connections are given up.
package netdial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged. A sound peer may be silent for a second or so.
	// Intervals between retransmissions double, so when it goes on, the next one may be as far away as the first
	// transmission is back, and must still be within the timeout.
	UserTimeout = 3500 * time.Millisecond
	// maxRetransmitInterval bounds these intervals on kernels that allow it: bytes arrive within this time after a
	// network partition has healed.
	maxRetransmitInterval = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a silent peer on an idle connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// IdleTimeout is how long an idle connection to a silent peer lasts. With a user timeout, Linux does not count
	// keep-alive probes: it gives up at the first one that is due after UserTimeout, if one was sent before.
	IdleTimeout = keepAliveIdle + 2*keepAliveInterval
	// AcceptedIdleTimeout is how long an accepted connection to a silent peer lasts while it is idle. It has no user
	// timeout: a caller may be behind a slow link, and what it is owed has a deadline of its own.
	AcceptedIdleTimeout = acceptedKeepAliveIdle + acceptedKeepAliveProbes*acceptedKeepAliveInterval
	// acceptedKeepAliveIdle, acceptedKeepAliveInterval and acceptedKeepAliveProbes are those of accepted connections.
	acceptedKeepAliveIdle     = 15 * time.Second
	acceptedKeepAliveInterval = 15 * time.Second
	acceptedKeepAliveProbes   = 9
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
	// tcpRTOMax is TCP_RTO_MAX_MS, which Linux has since 6.15.
	tcpRTOMax = 44
)

// Dialer returns a dialer with these socket options; timeout bounds each connection attempt.
func Dialer(timeout time.Duration) *TCPDialer {
	return &TCPDialer{net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
				// The error is ignored: older kernels lack the option.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpRTOMax, int(maxRetransmitInterval.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}}
}

// Listen opens a listener whose connections have the socket options of accepted connections.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: acceptedKeepAliveIdle, Interval: acceptedKeepAliveInterval, Count: acceptedKeepAliveProbes,
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Client returns an HTTP client whose connections detect a silent peer. Each call is bounded by
// timeout, or unbounded if that is 0.
func Client(dialTimeout, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: Dialer(dialTimeout).DialContext}}
}
