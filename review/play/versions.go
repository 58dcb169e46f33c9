package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// upgradeEvery is the time between the restarts of two replicas, and downFor how long one is down.
	upgradeEvery = 500 * time.Millisecond
	downFor      = 300 * time.Millisecond
	// lateBy is how late the first heartbeat of a new run arrives.
	lateBy = 3 * time.Second
	// streamRate is how many streams begin in a second.
	streamRate = 160
	// mayJoin is how many streams may hold events of two software versions.
	mayJoin = 2
)

// upgradedReplica stands in for a replica of streams that starts again under its id with other software.
type upgradedReplica struct {
	cluster           *cluster
	id, zone, address string
	node              int
	listener          net.Listener

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	// dark is closed when the run falls silent, and over when the next one has begun.
	dark, over chan struct{}
	// wait is how long the next heartbeat is on its way.
	wait  time.Duration
	ended bool
}

func (c *cluster) startUpgradedReplica(n, host int) (*upgradedReplica, error) {
	r := &upgradedReplica{cluster: c, id: fmt.Sprintf("i-talk-%d", n), zone: c.zones[n%len(c.zones)], node: n % len(c.cores)}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.subnet, host))
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	r.listener = l
	r.run("v1", 0)
	go r.beat()
	c.record.note("replica %s at %s in %s", r.id, r.address, r.zone)
	return r, nil
}

// run begins a run of the replica with some software.
func (r *upgradedReplica) run(version string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born, r.sequence, r.wait = version, time.Now().UnixMilli(), 0, wait
	r.dark, r.over = make(chan struct{}), make(chan struct{})
	r.server = &http.Server{Handler: r.handler(version, r.born, r.dark, r.over), ReadHeaderTimeout: 10 * time.Second}
	server, l := r.server, &runListener{Listener: r.listener, dark: r.dark}
	go func() { _ = server.Serve(l) }()
}

// runListener takes the connections of one run. The address stays: what arrives while no run accepts waits for the next one.
type runListener struct {
	net.Listener
	dark   chan struct{}
	closed atomic.Bool
}

func (l *runListener) Accept() (net.Conn, error) {
	for {
		select {
		case <-l.dark:
			return nil, net.ErrClosed
		default:
		}
		if l.closed.Load() {
			return nil, net.ErrClosed
		}
		tcp := l.Listener.(*net.TCPListener)
		_ = tcp.SetDeadline(time.Now().Add(20 * time.Millisecond))
		conn, err := tcp.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// Close leaves the address in use.
func (l *runListener) Close() error {
	l.closed.Store(true)
	return nil
}

func (r *upgradedReplica) handler(version string, born int64, dark, over chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == wire["report"] || req.URL.Path == "/healthz" {
			w.Header().Set("Instance-Id", r.id)
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"born":%d}`, born)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(wire["request"])
		w.Header().Set(wire["request"], id)
		if expected := req.Header.Get(wire["instance"]); expected != "" && expected != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		after, _ := strconv.Atoi(req.Header.Get(wire["last_event"]))
		r.cluster.record.note("run %s at %s (%s) after event %d", id, r.id, version, after)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(wire["stamp"], "stamp-"+id+"-"+r.id)
		w.WriteHeader(http.StatusOK)
		flusher := http.NewResponseController(w)
		for number := after + 1; number <= streamEvents; number++ {
			select {
			case <-time.After(eventPause):
			case <-dark:
				<-over
				return
			case <-req.Context().Done():
				return
			}
			_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s, written by %s\n\n", number, number, id, version)
			if err != nil || flusher.Flush() != nil {
				return
			}
		}
	})
}

// upgrade restarts the replica under its id with other software; the first heartbeat of the new run is late.
func (r *upgradedReplica) upgrade(version string) {
	r.mu.Lock()
	server, dark, over := r.server, r.dark, r.over
	r.mu.Unlock()
	r.cluster.record.note("%s crashes and is silent", r.id)
	close(dark)
	time.Sleep(downFor)
	_ = server.Close()
	close(over)
	r.run(version, lateBy)
	r.cluster.record.note("%s starts again with %s", r.id, version)
}

// beat sends heartbeats. What a run sent before its end is not on its way any more.
func (r *upgradedReplica) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		ended, wait, born := r.ended, r.wait, r.born
		r.wait = 0
		r.sequence++
		body := map[string]any{
			"service": "talk", "address": r.address, "zone": r.zone, "version": r.version, "slots": 32, "state": "ready",
			wire["cold"]: 0, "sequence": r.sequence, "born": born,
		}
		r.mu.Unlock()
		if ended {
			return
		}
		text, _ := json.Marshal(body)
		time.Sleep(wait)
		for range r.cluster.cores {
			m := r.cluster.cores[r.node]
			res, err := client.Post(fmt.Sprintf("http://%s:%d%s%s", m.ip, r.cluster.control, wire["heartbeat"], r.id), "application/json", bytes.NewReader(text))
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if res.StatusCode/100 == 2 {
					break
				}
			}
			r.node = (r.node + 1) % len(r.cluster.cores)
		}
		if wait > 0 {
			r.cluster.record.note("first heartbeat of %s with %s", r.id, body["version"])
		}
		for range 24 {
			time.Sleep(heartbeat / 24)
			r.mu.Lock()
			again := r.born != born
			r.mu.Unlock()
			if again {
				break
			}
		}
	}
}

func (r *upgradedReplica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.server.Close()
	_ = r.listener.Close()
}

// writers finds the software version that wrote each event.
var writers = regexp.MustCompile(`written by (v[0-9]+)`)

// takeStream takes one stream, and returns the versions that wrote its events, and whether it ended as complete.
func takeStream(c *cluster, m *machine, n int) (versions map[string]int, whole bool) {
	id := fmt.Sprintf("r%06d", n)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/two/x", m.ip, c.front), strings.NewReader("question"))
	if err != nil {
		return nil, false
	}
	req.Host = "shop.example"
	req.Header.Set(wire["request"], id)
	req.Header.Set(wire["deadline"], "6000")
	req.Header.Set(wire["key"], "key-of-one")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c.record.note("send %s to %s", id, m.name)
	res, err := client.Do(req)
	if err != nil {
		c.record.note("answer %s: %v", id, err)
		return nil, false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	versions = map[string]int{}
	for _, match := range writers.FindAllStringSubmatch(string(text), -1) {
		versions[match[1]]++
	}
	c.record.note("answer %s: %d, whole %v, events by version %v", id, res.StatusCode, err == nil, versions)
	return versions, err == nil && res.StatusCode == http.StatusOK
}

// upgradesInPlace restarts the replicas of a service one after the other, under their ids, with other software. ORDER: no more
// than two streams may hold events of two software versions.
func upgradesInPlace(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, 3, 8)
	if err != nil {
		return verdict{}, err
	}
	defer c.stop()
	err = c.startAll()
	if err != nil {
		return verdict{}, err
	}
	config := serviceConfig(1, "safe")
	config["routes"] = []any{map[string]any{
		"name": "r-two", "host": "shop.example", wire["prefix"]: "/two/", "type": "stream", "timeout_ms": 6000, "target_latency_ms": 400,
		"priority": 0, "service": "talk", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300,
	}}
	config["services"] = []any{map[string]any{"name": "talk", "health_path": "/healthz", "max_connections": 180, "protocol": "h1", "tls": false}}
	err = c.put(config, 20*time.Second)
	if err != nil {
		return verdict{}, err
	}
	var replicas []*upgradedReplica
	for i := range 14 {
		in, err := c.startUpgradedReplica(i, 100+i)
		if err != nil {
			return verdict{}, err
		}
		defer in.end()
		replicas = append(replicas, in)
	}
	err = c.awaitReady(20 * time.Second)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	all, complete, joined := 0, 0, 0
	var group sync.WaitGroup
	stop := make(chan struct{})
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		ticker := time.NewTicker(time.Second / streamRate)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			at := n
			group.Go(func() {
				versions, whole := takeStream(c, c.fronts[at%len(c.fronts)], at)
				mu.Lock()
				defer mu.Unlock()
				all++
				if whole {
					complete++
				}
				if len(versions) > 1 {
					joined++
					c.record.note("stream r%06d holds events of two software versions: %v", at, versions)
				}
			})
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		// Twice, a share of 0.29 of the replicas.
		for i, in := range replicas[:8] {
			if i == 4 {
				time.Sleep(5 * time.Second)
			}
			in.upgrade("v2")
			time.Sleep(upgradeEvery)
		}
	} else {
		time.Sleep(11 * time.Second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	<-loaded
	group.Wait()
	text := fmt.Sprintf("ORDER: of %d streams, %d were complete, and %d held events of two software versions; %d may", all, complete, joined, mayJoin)
	return verdict{broken: joined > mayJoin, text: text}, nil
}
