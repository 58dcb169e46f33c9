package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

const (
	binary   = "bin/shedrock"
	patience = 30 * time.Second
	teamKey  = "demo-key"
	// keyDigest is the SHA-256 digest of teamKey.
	keyDigest = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
)

// lab starts processes and ends them.
type lab struct {
	folder    string
	processes []*exec.Cmd
	cancels   []func()
}

func newLab() *lab {
	folder, err := os.MkdirTemp("", "shedrock-bench-")
	check(err)
	l := &lab{folder: folder}
	check(os.WriteFile(l.secret(), []byte("a secret of the bench runs\n"), 0o600))
	return l
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func (l *lab) secret() string { return filepath.Join(l.folder, "secret") }

func (l *lab) close() {
	for _, cancel := range l.cancels {
		cancel()
	}
	for _, p := range l.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(l.folder)
}

// start runs the binary with arguments.
func (l *lab) start(args ...string) *exec.Cmd {
	cmd := exec.Command(binary, append([]string{"--log-level", "error"}, args...)...)
	cmd.Stderr = os.Stderr
	check(cmd.Start())
	l.processes = append(l.processes, cmd)
	return cmd
}

// firstPort begins below the ports that systems give to outgoing connections: one of
// those could take an address between its choice and its use.
const firstPort = 20000

var nextPort = firstPort

func freeAddress() string {
	for {
		nextPort++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
}

// control starts a control log and returns its processes, their addresses and a
// client.
func (l *lab) control(n int) ([]*exec.Cmd, []string, *controlclient.Client) {
	var addresses []string
	for range n {
		addresses = append(addresses, freeAddress())
	}
	var processes []*exec.Cmd
	for i := range n {
		processes = append(processes, l.start(l.controlArgs(i, addresses)...))
	}
	return processes, addresses, controlclient.New(controlclient.StaticAddresses(addresses))
}

func (l *lab) controlArgs(i int, addresses []string) []string {
	data := filepath.Join(l.folder, "control-"+strings.ReplaceAll(addresses[i], ":", "-"))
	args := []string{"control", "--id", strconv.Itoa(i + 1), "--address", addresses[i], "--data", data}
	for j, address := range addresses {
		args = append(args, "--peers", fmt.Sprintf("%d=%s", j+1, address))
	}
	return args
}

// entry starts an entry and returns where callers and operators reach it.
func (l *lab) entry(name, domain, peers, seeds string, control []string) (cmd *exec.Cmd, callers, operators string) {
	callers, operators = freeAddress(), freeAddress()
	args := []string{"entry", "--name", name, "--failure-domain", domain, "--callers", callers, "--operators", operators,
		"--peers", peers, "--secret-file", l.secret(), "--control", strings.Join(control, ",")}
	if seeds != "" {
		args = append(args, "--seeds", seeds)
	}
	return l.start(args...), callers, operators
}

// gauge reads one metric without labels from an operators' listener.
func gauge(operators, name string) float64 {
	res, err := http.Get("http://" + operators + "/metrics")
	check(err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	check(err)
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(rest, 64)
			check(err)
			return v
		}
	}
	panic("no " + name)
}

// apply submits a document.
func apply(client *controlclient.Client, kind string, version int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := client.Apply(ctx, kind, []byte(fmt.Sprintf("document: %s\nversion: %d\n%s", kind, version, body)))
	check(err)
	if answer.Revision == 0 {
		panic(fmt.Sprint(kind, ": ", answer))
	}
}

func modelsBody(version string) string {
	return "models:\n  - {name: demo, weight_version: " + version + ", kv_bytes_per_token: 64, max_prompt_tokens: 1000000}\n"
}

func upstreamsBody(addresses []string, slots int) string {
	body := "upstreams:\n"
	for i, address := range addresses {
		body += fmt.Sprintf("  - {name: u%d, address: %q, failure_domain: d1, model: demo, slots: %d, prefill_tokens_per_second: 1e6, link_bytes_per_second: 1e9}\n", i+1, address, slots)
	}
	return body
}

const teamsBody = "teams:\n  - {name: demo, key_digests: [" + keyDigest + "], models: [demo], max_queued: 100000}\n"

// waitReady waits until an entry serves the team.
func waitReady(callers string) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		req, err := http.NewRequest(http.MethodGet, "http://"+callers+"/v1/models", nil)
		check(err)
		req.Header.Set("Authorization", "Bearer "+teamKey)
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic("the entry never served")
}

// cpu is the processor time that a process has used.
func cpu(cmd *exec.Cmd) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	check(err)
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	check(err)
	system, err := strconv.Atoi(fields[12])
	check(err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// memory is the resident memory of a process in bytes.
func memory(cmd *exec.Cmd) int { return procField(cmd, "status", "VmRSS:") * 1024 }

// traffic is how many bytes a process has read and written; with logs off that is
// its sockets.
func traffic(cmd *exec.Cmd) int {
	return procField(cmd, "io", "rchar:") + procField(cmd, "io", "wchar:")
}

func procField(cmd *exec.Cmd, file, name string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, file))
	check(err)
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			check(err)
			return n
		}
	}
	panic("no " + name)
}
