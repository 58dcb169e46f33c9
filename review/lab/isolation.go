package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// isolation plays one change of the configuration: a team that shared its context becomes isolated. The
// prompts of another team must not use what the isolated team made, also before the change.
func isolation(l *lab) (broken bool, err error) {
	if err := l.startFleet(3, 2); err != nil {
		return false, err
	}
	for range 2 {
		if _, err := l.addReplica("lm-taller", "m0"); err != nil {
			return false, err
		}
	}
	if err := l.putIsolation(7, false); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	served := 0
	for n := range 8 {
		served += l.prompt("a", n)
	}
	if served < 4 {
		return false, fmt.Errorf("only %d of 8 prompts were served before the change", served)
	}
	if err := l.putIsolation(12, l.trouble); err != nil {
		return false, err
	}
	// A change is in force 2 s after its acknowledgement.
	time.Sleep(5 * time.Second)
	changed := time.Now()
	served = 0
	for n := range 8 {
		served += l.prompt("b", n)
	}
	if served < 4 {
		return false, fmt.Errorf("only %d of 8 prompts were served after the change", served)
	}
	shared := 0
	for _, r := range l.replicas {
		r.mu.Lock()
		for _, d := range r.draws {
			if d.at.After(changed) && d.team == "taller-b" && d.maker == "taller-a" {
				shared++
			}
		}
		r.mu.Unlock()
	}
	l.note("%d times a prompt of taller-b used a part that taller-a made; taller-a is isolated: %t", shared, l.trouble)
	return l.trouble && shared > 0, nil
}

func (l *lab) putIsolation(version int, isolated bool) error {
	l.note("the operator sends configuration %d: taller-a isolated %t", version, isolated)
	return l.putConfig(version, render("isolation.tmpl", map[string]any{"Version": version, "Isolated": isolated}))
}

// prompt sends a prompt of a team with two shared parts and one of its own, and returns 1 if it was served.
func (l *lab) prompt(team string, n int) int {
	entries := l.ofRole("entry")
	e := entries[n%len(entries)]
	id := fmt.Sprintf("%s-%d", team, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/diagnosis/7f", strings.NewReader("what is wrong with the valve?"))
	if err != nil {
		return 0
	}
	req.Host = "taller.example"
	for name, value := range map[string]string{
		"request": id, "key": "key-" + team, "model": "m0", "usage": "17060,30", "deadline": "10000",
		"parts": fmt.Sprintf("5c1e07a2:9000,91bd3f06:3800,e44%02x%s:4260", n, team),
	} {
		req.Header.Set(names[name], value)
	}
	res, err := l.client.Do(req)
	if err != nil {
		l.note("request %s to %s: %v", id, e.name, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	l.note("request %s to %s: status %d, %d bytes, error %v", id, e.name, res.StatusCode, len(body), err)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0
	}
	return 1
}
