package detour

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// isResponse reports whether a reply is a response of the instance, complete or begun.
func isResponse(reply exchange.Reply) bool {
	switch reply.(type) {
	case exchange.Whole, exchange.Stream, exchange.NotRun:
		return true
	}
	return false
}

// gotNothing reports whether no byte of a response arrived for an attempt.
func gotNothing(reply exchange.Reply) bool {
	switch reply := reply.(type) {
	case exchange.Unreached:
		return true
	case exchange.Broken:
		var network net.Error
		timedOut := errors.As(reply.Err, &network) && network.Timeout()
		return reply.Condition == exchange.Condition{} && !exchange.ReasonOf(reply.Err).HeadArrived() && (timedOut || exchange.ConnectionClosed(reply.Err) || isUnreachable(reply.Err))
	}
	return false
}

// isUnreachable reports whether a connection failed because the network or the host was unreachable, or was aborted.
func isUnreachable(err error) bool {
	return errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ECONNABORTED)
}

// observedEvents records that the instance of a stream responds.
type observedEvents struct {
	exchange.Events
	responded func()
}

// Next returns the next event.
func (h *observedEvents) Next() (event exchange.Event, more bool, err error) {
	event, more, err = h.Events.Next()
	if err == nil && !more {
		h.responded()
	}
	return event, more, err
}
