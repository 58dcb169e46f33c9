package exchange

import (
	"fmt"
	"io"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// LimitError reports that a part of a response is longer than any sound one.
type LimitError struct {
	// Part is the part of the response.
	Part string
	// Limit is the most that it may have, in bytes.
	Limit int
}

// Error returns the part and its limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the %s of a response is longer than %d bytes", e.Part, e.Limit)
}

// Excessive reports that only a failing instance sends so much.
func (e *LimitError) Excessive() bool { return true }

// GivenUpError reports that a response was given up because it was the largest when the memory for responses was used up.
type GivenUpError struct {
	// Undeclared is true if its length was not declared.
	Undeclared bool
}

// Error returns why the response was given up.
func (e *GivenUpError) Error() string {
	return "the response was given up as the largest when the memory for responses was used up"
}

// Excessive reports whether only a failing instance sends so much: a response whose length was declared ends.
func (e *GivenUpError) Excessive() bool { return e.Undeclared }

// Excessive reports whether an attempt ended because its instance sent more than a sound one does.
func Excessive(err error) bool {
	var sent interface{ Excessive() bool }
	return errors.As(err, &sent) && sent.Excessive()
}

// ConnectionClosed reports whether an attempt ended because the other side closed the connection.
func ConnectionClosed(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(of error) bool { return errors.Is(err, of) })
}
