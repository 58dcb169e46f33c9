// Command play runs one case of the second review: it starts the project's own programs as separate processes on
// loopback addresses, stands in for the platform, the operator, the replicas and the clients, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its sheet has them.
const (
	heartbeat  = 1200 * time.Millisecond
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	// metricsPort is the one that the deploy file names.
	metricsPort = 9464
)

// machine is one process of the system on an address of its own.
type machine struct {
	name, role, zone, ip string
	config               string
	log                  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	record *record
	folder string
	zones  []string
	// front, ready, control and peer are the ports that all machines use.
	front, ready, control, peer int
	cores, fronts               []*machine
	program                     string
	client                      *http.Client
	// subnet is the second and third byte of all addresses.
	subnet string
	losses int
}

// newCluster lays out a deployment; nothing is started yet. fronts is the number of front machines, cores that of core
// machines; both go round the zones.
func newCluster(r *record, cores, fronts int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-play-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		record: r, folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}, losses: 1,
		program: "target/shedrock", client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250))
		if free(c.address(10, metricsPort)) {
			break
		}
	}
	for _, port := range []*int{&c.front, &c.ready, &c.control, &c.peer} {
		*port, err = freePort(c.subnet + ".10")
		if err != nil {
			return nil, err
		}
	}
	for i := range cores {
		c.cores = append(c.cores, c.newMachine("control", "core", i, 10+i))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newMachine("entry", "front", i, 40+i))
	}
	return c, nil
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.subnet, host, port)
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (c *cluster) newMachine(role, class string, i, host int) *machine {
	zone := c.zones[i%len(c.zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, 1+i/len(c.zones))
	return &machine{name: name, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", c.subnet, host), config: filepath.Join(c.folder, name+".json")}
}

// settings returns a settings file as the deploy file's template gives it.
func (c *cluster) settings(m *machine, first bool) map[string]any {
	regions := map[string]string{}
	for _, z := range c.zones {
		regions[z] = "region"
	}
	var seeds []string
	for _, core := range c.cores[:min(3, len(c.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", core.ip, c.control))
	}
	out := map[string]any{
		"name": m.name, "ip": m.ip, "failure_domain": m.zone, "failure_domains": c.zones, "regions": regions,
		"peer_port": c.peer, "seeds": seeds, "first_start": first, "memory_mb": 280, "losses": c.losses, "catch_up": "4s", "lease": "3000ms",
		"old_weights": "12000ms", "retry_ratio": 0.2, "retry_slack": 56, "grace": "8s", "retry_window": "10s", "heartbeat": "1200ms",
	}
	if m.role == "entry" {
		out["callers"] = fmt.Sprintf("%s:%d", m.ip, c.front)
		out["ready"] = fmt.Sprintf("%s:%d", m.ip, c.ready)
		out["memory_mb"] = 134
	} else {
		out["control"] = fmt.Sprintf("%s:%d", m.ip, c.control)
		out["data"] = filepath.Join(c.folder, "data-"+m.name)
	}
	return out
}

// start starts a machine's process. first is the platform's `bootstrap`.
func (c *cluster) start(m *machine, first bool) error {
	text, err := json.MarshalIndent(c.settings(m, first), "", "  ")
	if err != nil {
		return err
	}
	err = os.WriteFile(m.config, text, 0o600)
	if err != nil {
		return err
	}
	if m.log == nil {
		m.log, err = os.Create(filepath.Join(c.folder, m.name+".log"))
		if err != nil {
			return err
		}
	}
	cmd := exec.Command(c.program, "platform", m.role)
	cmd.Env = append(os.Environ(), "SHEDROCK_CONFIG="+m.config)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	c.record.note("start %s at %s", m.name, m.ip)
	return nil
}

// startAll starts all machines for the first time.
func (c *cluster) startAll() error {
	for _, m := range append(append([]*machine{}, c.cores...), c.fronts...) {
		err := c.start(m, true)
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, m := range append(append([]*machine{}, c.cores...), c.fronts...) {
		m.signal(syscall.SIGKILL)
		if m.ended != nil {
			<-m.ended
		}
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		c.record.note("kept logs")
		_ = os.Rename(c.folder, keep)
		return
	}
	_ = os.RemoveAll(c.folder)
}

// put sends a configuration until it is acknowledged.
func (c *cluster) put(config map[string]any, within time.Duration) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	var last string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, core := range c.cores {
			res, err := c.client.Post(fmt.Sprintf("http://%s:%d%s", core.ip, c.control, wire["put_config"]), "application/json", strings.NewReader(string(text)))
			if err != nil {
				last = err.Error()
				continue
			}
			body, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				c.record.note("configuration %v acknowledged by %s", config["version"], core.name)
				return nil
			}
			last = fmt.Sprint(res.StatusCode, " ", string(body))
		}
	}
	return fmt.Errorf("the configuration was not acknowledged: %s", last)
}

// awaitReady waits until every front machine says that it is ready.
func (c *cluster) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range c.fronts {
			res, err := c.client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, c.ready, wire["ready"]))
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.fronts) {
			return nil
		}
	}
	return fmt.Errorf("not all front machines became ready")
}
