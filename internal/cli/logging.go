package cli

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// timeFormat is that of every line.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger writes one line of key=value pairs for each event.
func newLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
	}
}

// formatLine writes the pairs in their order. A value is quoted when it would not
// read as one word, such as an error's text.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	var b strings.Builder
	b.WriteString("time=" + args.Time + " level=" + args.Level)
	for _, pair := range args.KeyValues {
		b.WriteString(" " + pair.Key + "=" + quoted(pair.Value))
	}
	b.WriteByte('\n')
	return io.WriteString(w, b.String())
}

func quoted(v string) string {
	if v == "" || strings.ContainsAny(v, " \t\n\"=") {
		return strconv.Quote(v)
	}
	return v
}
