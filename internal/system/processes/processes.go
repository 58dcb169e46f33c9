// Package processes runs the real program on loopback for tests, and stops, freezes and kills
// it; Links stand between processes and cut them off from each other. No process but those that
// a test started is ever signalled.
package processes

import (
	"bytes"
	"fmt"
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
	"github.com/shedrock/shedrock/internal/testlogs"
)

// program is the path of the program that Main built.
var program string

// Main builds the program once and runs the tests; a package two folders below the root calls
// it from its TestMain.
func Main(m *testing.M) {
	folder, err := os.MkdirTemp("", "shedrock-system-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "shedrock")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/shedrock").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// Process is one shedrock process, which can be started again.
type Process struct {
	// Args and Env are those of the next start; Env comes after this process's own.
	Args, Env []string

	t   *testing.T
	cmd *exec.Cmd
	// pid is 0 while the process does not run.
	pid atomic.Int64
	mu  sync.Mutex
	log bytes.Buffer
}

// Write gathers the process's log.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Text returns all that the process has logged so far, in all its lives.
func (p *Process) Text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Start starts a process, which ends with the test.
func Start(t *testing.T, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, Args: args}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("%v\n%s", args, tail(p.Text()))
			testlogs.Keep(t, filepath.Base(args[len(args)-1]), p.Text())
		}
	})
	p.Start()
	return p
}

func tail(s string) string { return s[max(0, len(s)-4000):] }

// Start starts the process again.
func (p *Process) Start() {
	p.t.Helper()
	_, _ = p.Write([]byte("\n" + Began + "\n"))
	p.cmd = exec.Command(program, p.Args...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	p.cmd.Env = append(os.Environ(), p.Env...)
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
}

// Began stands in a process's log before the lines of each of its lives.
const Began = "event=process_began"

// signalTime is how long a process may take to begin, or its threads to stop, on a busy machine.
const signalTime = 20 * time.Second

// Signal sends a signal, unless the process has ended. One that stops the process has done so when
// this returns. A SIGHUP is sent once the program ignores it or has logged a line: before the program
// runs, the Go runtime has a handler for SIGHUP that ends the process.
func (p *Process) Signal(s syscall.Signal) {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	pid := p.cmd.Process.Pid
	if s == syscall.SIGHUP {
		await.Until(p.t, signalTime, fmt.Sprint("process ", pid, " has begun"), func() bool { return ignores(pid, s) || p.hasLogged() })
	}
	err := p.cmd.Process.Signal(s)
	if err == nil && s == syscall.SIGSTOP {
		await.Until(p.t, signalTime, fmt.Sprint("process ", pid, " has stopped"), func() bool { return stopped(pid) })
	}
}

// hasLogged reports whether the process has logged a line in its present life.
func (p *Process) hasLogged() bool {
	text := p.Text()
	_, lines, _ := strings.Cut(text[strings.LastIndex(text, Began):], "\n")
	return lines != ""
}

// Kill ends the process at once, also when it is stopped.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	p.pid.Store(0)
	p.cmd = nil
}

// Terminate stops the process as planned, and waits until it has ended.
func (p *Process) Terminate() {
	p.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
	p.pid.Store(0)
	p.cmd = nil
}

// Wait waits until the process has ended by itself, and returns why it was not well.
func (p *Process) Wait() error { return p.cmd.Wait() }

// Ended reports whether the process has ended by itself.
func (p *Process) Ended() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid.Load()))
	// The state follows the name, which stands in brackets; Z has ended and is not waited for.
	_, rest, found := strings.Cut(string(text), ") ")
	return err != nil || !found || strings.HasPrefix(rest, "Z")
}

// PeakMemory returns the most memory that the process has had resident, in bytes, or 0 if it does not run.
func (p *Process) PeakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid.Load()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if kilobytes, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var n int64
			_, err = fmt.Sscan(kilobytes, &n)
			if err != nil {
				p.t.Errorf("read the peak memory: %v", err)
			}
			return n << 10
		}
	}
	return 0
}
