package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPath is the path of the request that crashes replicas, and poisonWork how long one runs until it does.
	poisonPath = "/one/poison"
	poisonWork = 50 * time.Millisecond
	// backAfter is how long after a crash a replica is back.
	backAfter = 3 * time.Second
	// waveEvery is how often a caller sends the request, once at each front machine, and apart the time between two of these.
	waveEvery = 35 * time.Second
	apart     = 5 * time.Millisecond
	waves     = 2
)

// fragileReplica stands in for a replica that a certain request crashes. It starts again under its id and at its address.
type fragileReplica struct {
	cluster           *cluster
	id, zone, address string
	node              int
	crashes           bool
	poisoned          *poisonLog

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	ended    bool
	down     bool
}

// poisonLog holds when the request began to run at replicas, and when it crashed them.
type poisonLog struct {
	mu            sync.Mutex
	runs, crashes []time.Time
}

func (c *cluster) startFragileReplica(n, host int, crashes bool, log *poisonLog) (*fragileReplica, error) {
	r := &fragileReplica{cluster: c, id: fmt.Sprintf("i-app-%d", n), zone: c.zones[n%len(c.zones)], node: n % len(c.cores), crashes: crashes, poisoned: log}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.subnet, host))
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	r.serveOn(l)
	go r.beat()
	c.record.note("replica %s at %s in %s", r.id, r.address, r.zone)
	return r, nil
}

// serveOn begins a new run of the replica.
func (r *fragileReplica) serveOn(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	r.server, r.born, r.sequence, r.down = server, time.Now().UnixMilli(), 0, false
	go func() { _ = server.Serve(l) }()
}

func (r *fragileReplica) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == wire["report"] || req.URL.Path == "/healthz" {
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
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
	poison := req.URL.Path == poisonPath
	r.cluster.record.note("run %s %s at %s", id, req.URL.Path, r.id)
	if poison {
		r.poisoned.mu.Lock()
		r.poisoned.runs = append(r.poisoned.runs, time.Now())
		r.poisoned.mu.Unlock()
	}
	time.Sleep(poisonWork)
	if poison && r.crashes {
		r.crash(id)
		return
	}
	body := "done " + id
	w.Header().Set(wire["stamp"], "stamp-"+id+"-"+r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// crash ends the replica's process; it is back some seconds later.
func (r *fragileReplica) crash(id string) {
	r.mu.Lock()
	if r.down || r.ended {
		r.mu.Unlock()
		return
	}
	r.down = true
	server := r.server
	r.mu.Unlock()
	r.cluster.record.note("%s crashes under %s", r.id, id)
	r.poisoned.mu.Lock()
	r.poisoned.crashes = append(r.poisoned.crashes, time.Now())
	r.poisoned.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.cluster.record.note("%s does not start again: %v", r.id, err)
			return
		}
		r.serveOn(l)
		r.cluster.record.note("%s is back", r.id)
	})
}

// beat sends heartbeats while the replica runs.
func (r *fragileReplica) beat() {
	for {
		r.mu.Lock()
		ended, down := r.ended, r.down
		r.sequence++
		body := map[string]any{
			"service": "app", "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
			wire["cold"]: 0, "sequence": r.sequence, "born": r.born,
		}
		born := r.born
		r.mu.Unlock()
		if ended {
			return
		}
		if !down {
			text, _ := json.Marshal(body)
			r.call(wire["heartbeat"]+r.id, text)
		}
		// A new run tells of itself at once.
		for range 12 {
			time.Sleep(heartbeat / 12)
			r.mu.Lock()
			again := r.born != born
			r.mu.Unlock()
			if again {
				break
			}
		}
	}
}

// call calls the node of the replica, or the next one if that does not acknowledge within a second.
func (r *fragileReplica) call(path string, body []byte) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range r.cluster.cores {
		m := r.cluster.cores[r.node]
		res, err := client.Post(fmt.Sprintf("http://%s:%d%s", m.ip, r.cluster.control, path), "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode/100 == 2 {
				return
			}
		}
		r.node = (r.node + 1) % len(r.cluster.cores)
	}
}

func (r *fragileReplica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.server.Close()
}

// sendPoison sends the request once at each front machine, shortly after one another, as the workers of one caller do.
func (c *cluster) sendPoison(wave int) {
	var group sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, m := range c.fronts {
		time.Sleep(apart)
		group.Go(func() {
			id := fmt.Sprintf("p%d-%d", wave, i)
			req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, c.front, poisonPath), strings.NewReader("order 4711"))
			if err != nil {
				return
			}
			req.Host = "shop.example"
			req.Header.Set(wire["request"], id)
			req.Header.Set(wire["deadline"], "2500")
			req.Header.Set(wire["key"], "key-of-one")
			c.record.note("send %s %s to %s", id, poisonPath, m.name)
			res, err := client.Do(req)
			if err != nil {
				c.record.note("answer %s: %v", id, err)
				return
			}
			text, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			c.record.note("answer %s: %d %s", id, res.StatusCode, text)
		})
	}
	group.Wait()
}

// poisonWaves has a caller send a request that crashes each replica that runs it, once at each front machine, and
// again half a minute later. BUDGET: it may reach replicas in three retries at most, later than contact_ms after its third crash.
func poisonWaves(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, 3, 8)
	if err != nil {
		return verdict{}, err
	}
	defer c.stop()
	err = c.startAll()
	if err != nil {
		return verdict{}, err
	}
	err = c.put(serviceConfig(1, "unsafe"), 20*time.Second)
	if err != nil {
		return verdict{}, err
	}
	log := &poisonLog{}
	for i := range 12 {
		in, err := c.startFragileReplica(i, 100+i, trouble, log)
		if err != nil {
			return verdict{}, err
		}
		defer in.end()
	}
	err = c.awaitReady(20 * time.Second)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	load := newClients(c, "POST", "shop.example", "/one/x", 2500*time.Millisecond)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { load.run(60, stop); close(done) }()
	time.Sleep(3 * time.Second)
	for wave := range waves {
		if wave > 0 {
			time.Sleep(waveEvery)
		}
		c.sendPoison(wave)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	if len(log.crashes) >= 3 {
		from := log.crashes[2].Add(contact)
		for _, at := range log.runs {
			if at.After(from) {
				late++
			}
		}
	}
	text := fmt.Sprintf("BUDGET: the request ran %d times and crashed replicas %d times; %d of its runs came later than %v after its third crash; answers to others by status: %v", len(log.runs), len(log.crashes), late, contact, load.counts())
	return verdict{broken: late > 3, text: text}, nil
}
