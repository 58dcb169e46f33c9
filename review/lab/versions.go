package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// streamRate is how many streams begin per second, streamEvents how many events each has, and eventPause
	// lies between two.
	streamRate   = 6
	streamEvents = 12
	eventPause   = 125 * time.Millisecond
	// restarts is how many replicas restart, one after the other, and restartGap lies between two.
	restarts   = 9
	restartGap = 6 * time.Second
	// replicaDown is how long each is down, and heartbeatLate how late the first heartbeat of its new process arrives.
	replicaDown   = 200 * time.Millisecond
	heartbeatLate = 1500 * time.Millisecond
	// mixedAllowed is how many streams may hold events of two versions.
	mixedAllowed = 2
)

// versions plays an upgrade in place: the replicas of a service restart one after the other under their ids, with
// another version of their software. A stream may go on only at the version that began it.
func versions(l *lab) (broken bool, err error) {
	if err := l.startFleet(3, 2); err != nil {
		return false, err
	}
	for range 3 {
		r, err := l.addReplica("lm-taller", "")
		if err != nil {
			return false, err
		}
		r.events, r.pause = streamEvents, eventPause
	}
	if err := l.putConfig(7, render("versions.tmpl", map[string]any{"Version": 7})); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	mixed, whole, sent := 0, 0, 0
	var mu sync.Mutex
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / streamRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				seen, last := l.stream(fmt.Sprint("s", n), n)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if len(seen) > 1 {
					mixed++
				}
				if last == streamEvents {
					whole++
				}
			})
		}
	})
	for n := range restarts {
		time.Sleep(restartGap)
		if !l.trouble {
			continue
		}
		if err := l.replicas[n%3].restart(fmt.Sprintf("v%d", 2+n/3), replicaDown, heartbeatLate); err != nil {
			return false, err
		}
	}
	time.Sleep(restartGap)
	close(stop)
	group.Wait()
	if whole < sent/2 {
		return false, fmt.Errorf("only %d of %d streams came whole", whole, sent)
	}
	l.note("%d of %d streams came whole; %d hold events of two software versions, allowed %d", whole, sent, mixed, mixedAllowed)
	return mixed > mixedAllowed, nil
}

// stream sends a prompt and reads its stream. It returns the software versions that its events name, and the number of
// the last event.
func (l *lab) stream(id string, n int) (seen map[string]int, last int) {
	entries := l.ofRole("entry")
	e := entries[n%len(entries)]
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/diagnosis/7f", strings.NewReader("what is wrong with valve "+id+"?"))
	if err != nil {
		return nil, 0
	}
	req.Host = "taller.example"
	for name, value := range map[string]string{
		"request": id, "key": "key-a", "deadline": "10000",
	} {
		req.Header.Set(names[name], value)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: l.client.Transport}
	res, err := client.Do(req)
	if err != nil {
		l.note("stream %s at %s: %v", id, e.name, err)
		return nil, 0
	}
	defer func() { _ = res.Body.Close() }()
	seen = map[string]int{}
	lines := bufio.NewScanner(res.Body)
	order := ""
	for lines.Scan() {
		_, _ = fmt.Sscanf(lines.Text(), "id: %d", &last)
		if _, software, ok := strings.Cut(lines.Text(), " by "); ok {
			if seen[software] == 0 {
				order += fmt.Sprintf(" %s from event %d", software, last)
			}
			seen[software]++
		}
	}
	l.note("stream %s at %s: status %d, last event %d, software%s, error %v", id, e.name, res.StatusCode, last, order, lines.Err())
	return seen, last
}
