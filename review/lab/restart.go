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

const (
	// sharedTokens is the size of a manual that prompts share, ownTokens that of the part of each
	// prompt that no other has, and otherTokens the size of a prompt that shares nothing.
	sharedTokens = 34000
	ownTokens    = 4260
	otherTokens  = 12800
	// promptRate is how many prompts about manuals come per second, and otherRate how many that share nothing.
	promptRate = 42
	otherRate  = 3
	// engines is the number of engines, and manuals that of the manuals in a round.
	engines = 18
	manuals = 14
	// rounds is how often the store restarts, and roundTime how much later each time: it takes new parts again 7 s
	// after a restart.
	rounds    = 10
	roundTime = 10200 * time.Millisecond
	// restartAfter is how many milliseconds after a round's beginning the store restarts, and in each round 50 later.
	restartAfter = 950
	// storeDown is how long the store is down.
	storeDown = 100 * time.Millisecond
)

// restart plays prompts about new manuals, and a store that restarts soon after it has kept them for the first time.
// No prompt may go on from a part that is not whole in the store.
func restart(l *lab) (broken bool, err error) {
	if err := l.startFleet(3, 2); err != nil {
		return false, err
	}
	s, err := l.addStore()
	if err != nil {
		return false, err
	}
	for range engines {
		r, err := l.addReplica("lm-taller", "m0")
		if err != nil {
			return false, err
		}
		r.engine = &engine{lab: l, id: r.id, zone: r.zone, store: s, kept: map[keptPart]*keptTokens{}}
	}
	if err := l.putConfig(7, render("restart.tmpl", map[string]any{"Version": 7, "Store": s.address})); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	// A store takes parts 7 s after a leader has first read it.
	time.Sleep(9 * time.Second)
	var served, sent atomic.Int64
	var group sync.WaitGroup
	for round := range rounds {
		began := time.Now()
		l.note("round %d", round)
		stop := make(chan struct{})
		for manual := range manuals {
			l.spawn(&group, promptRate/manuals, stop, &served, &sent, func(n int) string {
				return fmt.Sprintf("5c%02x%02x:%d,e4%02x%02x%04x:%d", round, manual, sharedTokens, round, manual, n, ownTokens)
			}, fmt.Sprintf("m%d-%d", round, manual))
		}
		l.spawn(&group, otherRate, stop, &served, &sent, func(n int) string {
			return fmt.Sprintf("f0%02x%04x:%d", round, n, otherTokens)
		}, fmt.Sprint("o", round))
		time.Sleep(time.Duration(restartAfter+50*round) * time.Millisecond)
		if l.trouble {
			if err := s.restart(storeDown); err != nil {
				return false, err
			}
		}
		time.Sleep(2500 * time.Millisecond)
		close(stop)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	group.Wait()
	if served.Load() < sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d prompts were served", served.Load(), sent.Load())
	}
	l.note("%d of %d prompts were served; %d fetches used a part that was not whole", served.Load(), sent.Load(), s.unwholeCount())
	return s.unwholeCount() > 0, nil
}

// spawn sends prompts at a rate until stop is closed.
func (l *lab) spawn(group *sync.WaitGroup, rate int, stop <-chan struct{}, served, sent *atomic.Int64, parts func(n int) string, prefix string) {
	entries := l.ofRole("entry")
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			group.Go(func() {
				sent.Add(1)
				if l.ask(entries[n%len(entries)], fmt.Sprintf("%s-%d", prefix, n), parts(n)) {
					served.Add(1)
				}
			})
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	})
}

// ask sends a prompt of taller-a and reports whether it was served.
func (l *lab) ask(e *process, id, parts string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/diagnosis/7f", strings.NewReader("what is wrong with the valve?"))
	if err != nil {
		return false
	}
	tokens := 0
	for part := range strings.SplitSeq(parts, ",") {
		n := 0
		_, _ = fmt.Sscanf(part[strings.IndexByte(part, ':')+1:], "%d", &n)
		tokens += n
	}
	req.Host = "taller.example"
	for name, value := range map[string]string{
		"request": id, "key": "key-a", "model": "m0", "usage": fmt.Sprintf("%d,30", tokens), "deadline": "10000", "parts": parts,
	} {
		req.Header.Set(names[name], value)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: l.client.Transport}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
