package upstream

// brokenError reports why the end of a request is unknown. Its text is part of responses to callers, so it omits that of its cause,
// which holds addresses.
type brokenError struct {
	detail string
	// cause is the transport's error, or nil if there was a response.
	cause error
}

// Error returns the detail.
func (e *brokenError) Error() string { return e.detail }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.cause }
