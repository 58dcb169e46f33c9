package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/await"
	"github.com/shedrock/shedrock/internal/settings"
)

const valid = `{
  "name": "e1",
  "ip": "10.0.0.1",
  "failure_domain": "a",
  "callers": "10.0.0.1:8080",
  "peer_port": 7740,
  "seeds": ["10.0.0.2:8566","10.0.0.3:8566"],
  "memory_mb": 100,
  "heartbeat": "1200ms",
  "grace": "8s",
  "retry_window": "10s"
}
`

func TestParse(t *testing.T) {
	s, err := settings.Parse("f", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"10.0.0.2:7740", "10.0.0.3:7740"}, s.PeerSeeds()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("10.0.0.1:7740", s.PeerListener()); diff != "" {
		t.Error(diff)
	}
	s.PeerListen = "10.0.0.9:1"
	if diff := cmp.Diff("10.0.0.9:1", s.PeerListener()); diff != "" {
		t.Error(diff)
	}
	cases := []struct{ name, old, new, want string }{
		{"a missing field", `"name": "e1",`, ``, "f:13: name: is missing"},
		{"invalid address", `10.0.0.1:8080`, `here`, `f:5: callers: "here" is not an IP number and port`},
		{"a wrong type", `"memory_mb": 100`, `"memory_mb": "100"`, "f:8: memory_mb: expected float64, got string"},
		{"duration without a unit", `"grace": "8s"`, `"grace": 8000`, `f:10: grace: expected a time with its unit such as "1.5s" or "250ms", got 8000`},
		{"an unknown unit", `"grace": "8s"`, `"grace": "8 days"`, `f:10: grace: expected a time with its unit such as "1.5s" or "250ms", got "8 days"`},
		{"unit without a number", `"grace": "8s"`, `"grace": "s"`, `f:10: grace: expected a time with its unit such as "1.5s" or "250ms", got "s"`},
		{"infinite duration", `"grace": "8s"`, `"grace": "1e999s"`, `f:10: grace: expected a time with its unit such as "1.5s" or "250ms", got "1e999s"`},
		{"fraction in a whole number", `"memory_mb": 100`, `"losses": 1.5, "memory_mb": 100`, "f:8: losses: expected a whole number, got 1.5"},
		{"negative value", `"memory_mb": 100`, `"retry_slack": -0.5, "memory_mb": 100`, "f:8: retry_slack: must not be below 0"},
		{"invalid listen address", `"peer_port": 7740,`, `"peer_port": 7740, "peer_listen": "near",`, `f:6: peer_listen: "near" is not an IP number and port`},
		{"unlisted failure domain", `"memory_mb": 100`, `"failure_domains": ["z9"], "memory_mb": 100`, `f:8: failure_domains: "a" is not among them`},
		{"zero where a positive value is required", `"memory_mb": 100`, `"memory_mb": 0`, "f:8: memory_mb: must be above 0"},
		{"truncated file", `"retry_window": "10s"
}`, ``, "f:12: the file: unexpected end of JSON input"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(strings.Replace(valid, c.old, c.new, 1)))
			if err == nil {
				t.Fatal("Parse succeeded, want an error")
			}
			if diff := cmp.Diff(c.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func open(t *testing.T) (file *settings.File, path string, stop func()) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.json")
	err := os.WriteFile(path, []byte(valid), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	file, err = settings.Open(ctx, path, &log.Logger{Level: log.PanicLevel})
	if err != nil {
		t.Fatal(err)
	}
	return file, path, cancel
}

// A change of the file is picked up without a signal.
func TestFileIsReloaded(t *testing.T) {
	file, path, _ := open(t)
	err := os.WriteFile(path, []byte(strings.Replace(valid, "10.0.0.3", "10.0.0.9", 1)), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	wait(t, func() bool { return strings.HasPrefix(file.Current().Seeds[1], "10.0.0.9") })
}

// A SIGHUP during shutdown, while requests are still in flight, must not kill the process.
func TestSIGHUPWhileStopping(t *testing.T) {
	_, _, stop := open(t)
	running := runtime.NumGoroutine()
	stop()
	// The goroutine that handles the signals ends; the process must not.
	wait(t, func() bool { return runtime.NumGoroutine() < running })
	for range 5 {
		err := syscall.Kill(os.Getpid(), syscall.SIGHUP)
		if err != nil {
			t.Fatal(err)
		}
	}
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	await.Until(t, 20*time.Second, "the expected condition", done)
}
