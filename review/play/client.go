package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests to all front machines in turn, at a steady rate, on kept connections.
type clients struct {
	cluster *cluster
	method  string
	host    string
	path    string
	wait    time.Duration
	http    *http.Client
	next    atomic.Int64
	group   sync.WaitGroup

	mu   sync.Mutex
	sent map[string]sentRequest
}

type sentRequest struct {
	at     time.Time
	front  string
	status int
}

func newClients(c *cluster, method, host, path string, wait time.Duration) *clients {
	return &clients{
		cluster: c, method: method, host: host, path: path, wait: wait, sent: map[string]sentRequest{},
		http: &http.Client{Timeout: wait + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}},
	}
}

// run sends requests at a rate per second until stop is closed.
func (c *clients) run(rate float64, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.group.Go(c.one)
		case <-stop:
			c.group.Wait()
			return
		}
	}
}

func (c *clients) one() {
	n := c.next.Add(1)
	m := c.cluster.fronts[int(n)%len(c.cluster.fronts)]
	id := fmt.Sprintf("r%06d", n)
	req, err := http.NewRequest(c.method, fmt.Sprintf("http://%s:%d%s", m.ip, c.cluster.front, c.path), strings.NewReader(""))
	if err != nil {
		return
	}
	req.Host = c.host
	req.Header.Set(wire["request"], id)
	req.Header.Set(wire["deadline"], fmt.Sprint(c.wait.Milliseconds()))
	req.Header.Set(wire["key"], "key-of-one")
	at := time.Now()
	c.cluster.record.note("send %s to %s", id, m.name)
	status := 0
	res, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	if err != nil {
		c.cluster.record.note("answer %s: %v", id, err)
	} else {
		c.cluster.record.note("answer %s: %d", id, status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = sentRequest{at, m.name, status}
}

// of returns what is known of a request.
func (c *clients) of(id string) sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// counts returns how many requests ended with each status; 0 stands for no answer.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int{}
	for _, s := range c.sent {
		out[s.status]++
	}
	return out
}
