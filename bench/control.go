package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/transport/controlclient"
)

// bareSync times a loop of writing and syncing, which is what a commit cannot beat.
func bareSync(folder string) (median time.Duration, perSecond float64) {
	const writes = 300
	file, err := os.Create(filepath.Join(folder, "bare"))
	check(err)
	defer file.Close()
	block := make([]byte, 200)
	var times []time.Duration
	began := time.Now()
	for range writes {
		at := time.Now()
		_, err = file.Write(block)
		check(err)
		check(file.Sync())
		times = append(times, time.Since(at))
	}
	return quantile(times, .5), writes / time.Since(began).Seconds()
}

var nextKey atomic.Int64

func reserve(client *controlclient.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	key := fmt.Sprint("key-", nextKey.Add(1))
	_, err := client.Reserve(ctx, &wire.ReserveRequest{Team: "demo", Key: key, RequestDigest: []byte("digest"), Holder: key})
	return err
}

// commits measures one group: the latency of one at a time, and the rate of many.
func commits(client *controlclient.Client) (median time.Duration, perSecond float64) {
	check(reserve(client))
	var times []time.Duration
	for range 200 {
		at := time.Now()
		check(reserve(client))
		times = append(times, time.Since(at))
	}
	const workers, span = 512, 3 * time.Second
	var n atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < span {
				if reserve(client) == nil {
					n.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return quantile(times, .5), float64(n.Load()) / time.Since(began).Seconds()
}

// benchControl measures the control log.
func benchControl(l *lab, t *table) {
	syncMedian, syncRate := bareSync(l.folder)
	t.add("bare loop of write and sync", "", "%.3f ms, %.0f a second", float64(syncMedian)/1e6, syncRate)
	for _, n := range []int{1, 3} {
		_, _, client := l.control(n)
		median, perSecond := commits(client)
		goal := ""
		if n == 3 {
			goal = "over 5,000 records a second"
		}
		t.add(fmt.Sprintf("commits, %d processes, many at a time", n), goal, "%.0f a second, %.1f times the bare loop", perSecond, perSecond/syncRate)
		t.add(fmt.Sprintf("commit latency, %d processes, one at a time", n), "under 3 syncs", "median %.3f ms, %.1f syncs", float64(median)/1e6, float64(median)/float64(syncMedian))
	}
	leaderLoss(l, t)
	inForce(l, t)
}

// leaderLoss kills the leader and times the next commit.
func leaderLoss(l *lab, t *table) {
	processes, addresses, client := l.control(3)
	check(reserve(client))
	var times []time.Duration
	for range 7 {
		leader := leaderOf(addresses)
		check(processes[leader].Process.Kill())
		at := time.Now()
		check(reserve(client))
		times = append(times, time.Since(at))
		_ = processes[leader].Wait()
		processes[leader] = l.start(l.controlArgs(leader, addresses)...)
		time.Sleep(time.Second)
	}
	t.add("leader's loss to the next commit, 7 kills", "median under 1 s", "median %.0f ms, most %.0f ms", float64(quantile(times, .5))/1e6, float64(quantile(times, 1))/1e6)
}

func leaderOf(addresses []string) int {
	for {
		for i := range addresses {
			for _, s := range controlclient.New(controlclient.StaticAddresses(addresses[i : i+1])).Status(context.Background()) {
				if s.Leader == s.Incarnation && s.Incarnation != "" {
					return i
				}
			}
		}
	}
}

// inForce times changes until they are in force on many watchers.
func inForce(l *lab, t *table) {
	_, addresses, client := l.control(3)
	version := 1
	apply(client, "models", version, modelsBody("v1"))
	for _, shape := range []struct{ relays, each int }{{8, 0}, {13, 29}} {
		w := newWatchers(l, addresses, shape.relays, shape.each)
		w.waitFor(uint64(version))
		var times []time.Duration
		for range 20 {
			version++
			at := time.Now()
			apply(client, "models", version, modelsBody(fmt.Sprint("v", version)))
			w.waitFor(uint64(version))
			times = append(times, w.times(at)...)
		}
		t.add(fmt.Sprintf("a change in force on %d watchers behind %d relays", shape.relays*(1+shape.each), shape.relays), "99th under 1 s",
			"median %.0f ms, 99th %.0f ms, most %.0f ms", float64(quantile(times, .5))/1e6, float64(quantile(times, .99))/1e6, float64(quantile(times, 1))/1e6)
		w.stop()
	}
	behind := newWatchers(l, addresses, 1, 0)
	behind.waitFor(uint64(version))
	held := behind.pause()
	for range 600 {
		version++
		apply(client, "models", version, modelsBody(fmt.Sprint("v", version)))
	}
	at := time.Now()
	held()
	behind.waitFor(uint64(version))
	t.add("back after 600 missed changes, to in force", "under 1 s", "%.0f ms", float64(time.Since(at))/1e6)
	behind.stop()
}
