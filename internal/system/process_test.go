// Package system_test runs the real processes on loopback, and kills, stops and
// cuts them.
package system_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/await"
)

const (
	patience   = 40 * time.Second
	checkEvery = 10 * time.Millisecond
)

var binary string

// TestMain builds the binary once.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "shedrock-system-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "shedrock")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/shedrock").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one shedrock process, which can be started again.
type process struct {
	t    *testing.T
	args []string
	env  []string
	cmd  *exec.Cmd
	// pid is 0 while the process does not run.
	pid atomic.Int64
	mu  sync.Mutex
	log bytes.Buffer
}

// Write gathers the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: args}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%v\n%s", args, tail(p.text()))
			p.keepLog()
		}
	})
	p.start()
	return p
}

// keepLog keeps the whole log of a process of a failed test in the folder SHEDROCK_TEST_LOGS.
func (p *process) keepLog() {
	folder := os.Getenv("SHEDROCK_TEST_LOGS")
	if folder == "" {
		return
	}
	name := strings.ReplaceAll(p.t.Name(), "/", "-") + "-" + filepath.Base(p.args[len(p.args)-1]) + ".log"
	err := os.WriteFile(filepath.Join(folder, name), []byte(p.text()), 0o600)
	if err != nil {
		p.t.Log("the log is not kept: ", err)
	}
}

func tail(s string) string { return s[max(0, len(s)-4000):] }

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	p.cmd.Env = append(os.Environ(), p.env...)
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once, also when it is stopped.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	p.pid.Store(0)
	p.cmd = nil
}

// terminate stops the process as planned, and waits until it has ended.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
	p.pid.Store(0)
	p.cmd = nil
}

// ended reports whether the process has ended by itself.
func (p *process) ended() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid.Load()))
	// The state follows the name, which stands in brackets; Z has ended and is not waited for.
	_, rest, found := strings.Cut(string(text), ") ")
	return err != nil || !found || strings.HasPrefix(rest, "Z")
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	await.Until(t, patience, what, ok)
}

const (
	// firstPort and the windows stay below the ports that systems give to outgoing
	// connections, so that none of those takes an address between its choice and its
	// use, or while a process is restarted.
	firstPort   = 12000
	portWindows = 90
	windowPorts = 200
)

// windowHold is the listener on the window's first port. It must stay referenced: a
// listener that nobody refers to is closed by its finalizer, and another test process
// then takes the same window.
var windowHold net.Listener

// window is this test process's own range of ports: nobody else can listen on its first
// port, which is held until the process ends.
var window = sync.OnceValue(func() int {
	for n := range portWindows {
		first := firstPort + (os.Getpid()+n)%portWindows*windowPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			windowHold = l
			return first
		}
	}
	panic("every window of ports is taken")
})

// nextPort counts the ports that were tried.
var nextPort int

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range windowPorts {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", window()+1+nextPort%(windowPorts-1)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// startStandin starts a stand-in and waits until it listens.
func startStandin(t *testing.T, kind, address string, args ...string) *process {
	t.Helper()
	p := start(t, append([]string{"standin", kind, "--address", address}, args...)...)
	eventually(t, "the stand-in listens", func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
	return p
}
