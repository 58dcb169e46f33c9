package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// leavingServes is how long a replica that leaves goes on serving after its departure was acknowledged: drain_ms, and
	// some seconds longer.
	leavingServes = 6 * time.Second
	// darkFor is how long the machine that lost power stays dark.
	darkFor = 5 * time.Second
)

// serviceConfig is a configuration with one route to one plain service.
func serviceConfig(version int, route string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-one", "host": "shop.example", wire["prefix"]: "/one/", "type": route, "timeout_ms": 2500, "target_latency_ms": 150,
			"priority": 0, "service": "app", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "one", "api_keys": []string{"key-of-one"}, "priority": 1}},
	}
}

// forgottenDeparture has two replicas sign off at the same core machine, which loses power right after it has acknowledged
// the second. DRAIN: no request may reach them later than drain_ms after that from machines in touch.
func forgottenDeparture(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, 3, 3)
	if err != nil {
		return verdict{}, err
	}
	defer c.stop()
	err = c.startAll()
	if err != nil {
		return verdict{}, err
	}
	err = c.put(serviceConfig(1, "safe"), 20*time.Second)
	if err != nil {
		return verdict{}, err
	}
	var replicas []*replica
	for i := range 12 {
		in, err := c.startReplica("app", i, 100+i, 30*time.Millisecond)
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
	load := newClients(c, "GET", "shop.example", "/one/x", 2500*time.Millisecond)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { load.run(120, stop); close(done) }()
	time.Sleep(5 * time.Second)

	// Both call the same core machine.
	const called = 2
	first, second := replicas[2], replicas[5]
	node, firstAt := first.leave(called)
	if node == nil {
		return verdict{}, fmt.Errorf("the first departure was not acknowledged")
	}
	r.note("%s acknowledged the departure of %s", node.name, first.id)
	time.Sleep(10 * time.Millisecond)
	again, secondAt := second.leave(called)
	if again != node {
		return verdict{}, fmt.Errorf("the second departure was not acknowledged by the same node")
	}
	if trouble {
		node.signal(syscall.SIGKILL)
	}
	killed := time.Now()
	r.note("%s acknowledged the departure of %s", node.name, second.id)
	if trouble {
		r.note("%s loses power", node.name)
	}
	time.Sleep(time.Until(killed.Add(darkFor)))
	if trouble {
		r.note("%s is back", node.name)
		err = c.start(node, false)
		if err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(secondAt.Add(leavingServes)))
	first.end()
	second.end()
	r.note("the replicas that left have ended")
	time.Sleep(2 * time.Second)
	close(stop)
	<-done

	late, inTouch := 0, 0
	var sample string
	for _, left := range []struct {
		*replica
		at time.Time
	}{{first, firstAt}, {second, secondAt}} {
		for _, a := range left.ran() {
			if a.at.Sub(left.at) <= drainBound {
				continue
			}
			late++
			// After a kill in the core, machines are in touch again once contact_ms have passed, until the next start there.
			if trouble && (a.at.Before(killed.Add(contact)) || a.at.After(killed.Add(darkFor))) {
				continue
			}
			inTouch++
			if sample == "" {
				s := load.of(a.id)
				sample = fmt.Sprintf("; the first, %s, was sent to %s and reached %s %.2f s after the acknowledgement", a.id, s.front, a.replica, a.at.Sub(left.at).Seconds())
			}
		}
	}
	text := fmt.Sprintf("DRAIN: %d requests reached a replica more than %v after its departure was acknowledged, %d of them from machines in touch%s; answers by status: %v", late, drainBound, inTouch, sample, load.counts())
	return verdict{broken: inTouch > 0, text: text}, nil
}
