package callerlimits

// head measures the head of a request while it is read.
type head struct {
	// size is the number of bytes so far, the empty line at the end included. Bytes after it do not count.
	size int
	// begun is whether a line has begun that is not empty: servers skip empty lines before a request.
	begun bool
	// inLine is whether the current line has a byte other than a line end.
	inLine bool
	// ended is whether the whole head has been read.
	ended bool
}

// add takes up the next bytes from the connection, and returns how many of them belong to the head.
func (h *head) add(p []byte) (n int) {
	for i, b := range p {
		if h.ended {
			return i
		}
		h.size++
		switch b {
		case '\n':
			h.ended = h.begun && !h.inLine
			h.inLine = false
		case '\r':
		default:
			h.begun, h.inLine = true, true
		}
	}
	return len(p)
}
