// Package logtest lets tests read what was logged.
package logtest

import (
	"bytes"
	"strings"
	"sync"

	"github.com/phuslu/log"
)

// Buffer is a log writer that keeps what was written. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Logger returns a logger that writes to the buffer.
func (b *Buffer) Logger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: b}}
}

// Write appends to the log.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// WithEvent returns the lines with the given event.
func (b *Buffer) WithEvent(event string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			out = append(out, line)
		}
	}
	return out
}

// First returns the first line with the given event, or "" if there is none.
func (b *Buffer) First(event string) string {
	lines := b.WithEvent(event)
	if len(lines) == 0 {
		return ""
	}
	return lines[0]
}
