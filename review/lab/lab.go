package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed wire
var wire embed.FS

// names holds the names of the platform's wire format.
var names = func() map[string]string {
	text, err := wire.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	out := map[string]string{}
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out
}()

// render fills in a template of the wire folder.
func render(name string, values any) []byte {
	t := template.Must(template.ParseFS(wire, "wire/"+name))
	var out bytes.Buffer
	if err := t.Execute(&out, values); err != nil {
		panic(err)
	}
	return out.Bytes()
}

var domains = []string{"bilbao-uno", "bilbao-dos", "santander", "oviedo"}

// metricsPort is the port of the metrics of every process, by the deploy file.
const metricsPort = 9464

// process is one of shedrock's processes.
type process struct {
	name, role, ip, domain  string
	control, callers, ready string
	folder                  string
	firstStart              bool
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// lab is a deployment with its record.
type lab struct {
	trouble bool
	began   time.Time
	folder  string
	network string
	ports   [4]int
	hosts   int
	client  *http.Client

	mu     sync.Mutex
	record *os.File

	processes []*process
	replicas  []*replica
	// closers end the other stand-ins.
	closers []func()
}

func newLab(record string) (*lab, error) {
	if _, err := os.Stat("target/shedrock"); err != nil {
		return nil, fmt.Errorf("target/shedrock is missing: run the build of the deploy file: %w", err)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), client: newClient()}
	var err error
	if l.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if l.folder, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	return l, l.choosePorts()
}

// newClient returns a client that opens a connection for each call.
func newClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// choosePorts chooses a free part of the loopback network, and free ports there.
func (l *lab) choosePorts() error {
	for range 100 {
		l.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		metrics, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", l.network, metricsPort))
		if err != nil {
			continue
		}
		_ = metrics.Close()
		for i := range l.ports {
			free, err := net.Listen("tcp", l.network+".1:0")
			if err != nil {
				return err
			}
			defer func() { _ = free.Close() }()
			l.ports[i] = free.Addr().(*net.TCPAddr).Port
		}
		return nil
	}
	return errors.New("no free loopback addresses")
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// nextIP returns an address that nothing else uses.
func (l *lab) nextIP() string {
	l.hosts++
	return fmt.Sprintf("%s.%d", l.network, l.hosts)
}

// add adds a process that is not started yet.
func (l *lab) add(role string, n int) *process {
	p := &process{name: fmt.Sprintf("%s-%d", role, n), role: role, ip: l.nextIP(), domain: domains[n%len(domains)], firstStart: true}
	p.folder = filepath.Join(l.folder, p.name)
	if role == "control" {
		p.control = fmt.Sprintf("%s:%d", p.ip, l.ports[0])
	} else {
		p.callers = fmt.Sprintf("%s:%d", p.ip, l.ports[1])
		p.ready = fmt.Sprintf("%s:%d", p.ip, l.ports[2])
	}
	l.processes = append(l.processes, p)
	return p
}

func (l *lab) ofRole(role string) []*process {
	var out []*process
	for _, p := range l.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}

// start starts a process with its settings, as the deploy file does.
func (l *lab) start(p *process) error {
	var seeds []string
	for i, c := range l.ofRole("control") {
		if i < 3 {
			seeds = append(seeds, c.control)
		}
	}
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(p.folder, "settings.json")
	text := render("settings.tmpl", map[string]any{
		"Name": p.name, "IP": p.ip, "Domain": p.domain, "Control": p.control, "Callers": p.callers, "Ready": p.ready,
		"Data": filepath.Join(p.folder, "data"), "PeerPort": l.ports[3], "Seeds": seeds, "FirstStart": p.firstStart,
	})
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.firstStart = false
	p.cmd = exec.Command("target/shedrock", "platform", p.role)
	p.cmd.Env = append(os.Environ(), "SHEDROCK_CONFIG="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// kill kills a process and waits until it has ended.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// startFleet starts control instances and entries.
func (l *lab) startFleet(controls, entries int) error {
	for n := range controls {
		l.add("control", n)
	}
	for n := range entries {
		l.add("entry", n)
	}
	for _, p := range l.processes {
		if err := l.start(p); err != nil {
			return err
		}
	}
	l.note("%d control instances and %d entries started", controls, entries)
	return nil
}

// close ends everything.
func (l *lab) close() {
	for _, r := range l.replicas {
		r.close()
	}
	for _, end := range l.closers {
		end()
	}
	for _, p := range l.processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.record.Close()
}

// putConfig has the operator send a configuration to one control instance after the other until one
// acknowledges it.
func (l *lab) putConfig(version int, text []byte) error {
	controls := l.ofRole("control")
	for n := range 60 {
		c := controls[n%len(controls)]
		res, err := l.client.Post("http://"+c.control+names["put_config"], "application/json", bytes.NewReader(text))
		if err == nil {
			answer, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				l.note("configuration %d acknowledged by %s", version, c.name)
				return nil
			}
			if res.StatusCode/100 == 4 {
				return fmt.Errorf("configuration %d: status %d: %s", version, res.StatusCode, answer)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

// awaitReady waits until all entries say that they are ready.
func (l *lab) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range l.ofRole("entry") {
		for {
			res, err := l.client.Get("http://" + e.ready + names["ready"])
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
