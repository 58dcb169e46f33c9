package exchange

import (
	"io"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// ConnectionClosed reports whether an attempt ended because the other side closed the connection.
func ConnectionClosed(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(of error) bool { return errors.Is(err, of) })
}
