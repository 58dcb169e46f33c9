package detour_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/protocol/exchange"
)

// logBuffer is a log writer that keeps what was written. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// withEvent returns the lines with the given event.
func (l *logBuffer) withEvent(event string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			out = append(out, line)
		}
	}
	return out
}

func (l *logBuffer) logger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l}}
}

// count returns the sum of a counter of an entry over all labels of which one has the given value.
func (e *entry) count(t *testing.T, name, label string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(e.Metrics.Collectors()...)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		for _, m := range family.Metric {
			for _, pair := range m.GetLabel() {
				if family.GetName() == name && pair.GetValue() == label {
					total += m.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

// Guards against a panic at the peer that leaves no trace: the attempt may have run, so it counts as broken.
func TestPanicOfPeerIsLoggedAndCounted(t *testing.T) {
	helper := newEntry(t, func(context.Context, *exchange.Attempt) exchange.Reply { panic("no reply") })
	var logged logBuffer
	helper.forwarder.Log = logged.logger()
	e := newEntry(t, answered, helper)
	e.losePath(t)
	reply := e.Send(t.Context(), newAttempt("id-1", instances[0]))
	if _, ok := reply.(exchange.Broken); !ok {
		t.Errorf("%#v", reply)
	}
	await.Until(t, patience, "the panic is logged", func() bool { return len(logged.withEvent("panic")) == 1 })
	if line := logged.withEvent("panic")[0]; !strings.Contains(line, `"request":"id-1"`) {
		t.Error(line)
	}
	if diff := cmp.Diff(1.0, helper.count(t, "shedrock_forwarded_total", "panicked")); diff != "" {
		t.Error(diff)
	}
}
