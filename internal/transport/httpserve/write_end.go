package httpserve

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// WriteEnd is how a peer was lost to whom a response could not be written.
type WriteEnd string

const (
	// PeerLeft is a peer that closed or reset its connection.
	PeerLeft WriteEnd = "left"
	// WriteTimedOut is a peer that did not take what was written in time.
	WriteTimedOut WriteEnd = "write_timed_out"
	// ClosedHere is a peer whose connection this process closed.
	ClosedHere WriteEnd = "closed_here"
	// WriteFailed is any other failed write.
	WriteFailed WriteEnd = "write_failed"
)

// WriteEndOf returns how a peer was lost, by the error of the last write to it, or nil if none failed.
func WriteEndOf(err error) WriteEnd {
	var network net.Error
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return PeerLeft
	case errors.Is(err, net.ErrClosed):
		return ClosedHere
	case errors.As(err, &network) && network.Timeout():
		return WriteTimedOut
	}
	return WriteFailed
}
