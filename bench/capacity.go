package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"time"

	"github.com/shedrock/shedrock/internal/standin/engine"
)

// span is how long a slope's point is measured.
const span = 8 * time.Second

// settleTime is how long new entries have to find each other before a measurement.
const settleTime = 15 * time.Second

// point is what one entry used over a span.
type point struct{ bytes, cores, megabytes float64 }

func (p point) String() string {
	return fmt.Sprintf("%.0f B/s, %.2f%% of a core, %.1f MB", p.bytes, 100*p.cores, p.megabytes)
}

// measure watches an entry for a span, while during runs.
func measure(cmd *exec.Cmd, during func()) point {
	bytes, used, began := traffic(cmd), cpu(cmd), time.Now()
	during()
	took := time.Since(began).Seconds()
	return point{
		bytes:     float64(traffic(cmd)-bytes) / took,
		cores:     (cpu(cmd) - used).Seconds() / took,
		megabytes: float64(memory(cmd)) / 1e6,
	}
}

func idle() { time.Sleep(span) }

// engines serves stand-in engines in this process.
func engines(l *lab, n int) []string {
	var addresses []string
	for range n {
		e := engine.New(engine.Options{Version: "v1", Slots: 8, Queue: 8, PrefillRate: 1e6, CacheBlocks: 64, KeepRuns: time.Second, DefaultTokens: 4, Start: "s"})
		address := freeAddress()
		server := &http.Server{Addr: address, Handler: e.Handler()}
		go func() { _ = server.ListenAndServe() }()
		l.cancels = append(l.cancels, func() { _ = server.Close() })
		addresses = append(addresses, address)
	}
	return addresses
}

// benchCapacity measures how an entry's control costs grow with entries, upstreams,
// changes and teams. Entries serve nobody meanwhile, so all of it is control.
func benchCapacity(l *lab, t *table) {
	processes, control, client := l.control(3)
	apply(client, "models", 1, modelsBody("v1"))
	var entries []*exec.Cmd
	seed := freeAddress()
	for _, n := range []int{2, 8, 24} {
		for len(entries) < n {
			peers := freeAddress()
			if len(entries) == 0 {
				peers = seed
			}
			cmd, _, _ := l.entry(fmt.Sprintf("e%03d", len(entries)), "d1", peers, seed, control)
			entries = append(entries, cmd)
		}
		time.Sleep(5 * time.Second)
		t.add(fmt.Sprintf("an entry that is no relay, among %d, no upstreams", n), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[n-1], idle))
		t.add(fmt.Sprintf("the relay, among %d, no upstreams", n), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[0], idle))
	}
	version := 1
	changes := func() {
		for began := time.Now(); time.Since(began) < span; time.Sleep(200 * time.Millisecond) {
			version++
			apply(client, "models", version, modelsBody(fmt.Sprint("v", version)))
		}
	}
	t.add("no relay, 5 changes a second of a small document", "0.15 changes/s", "%v", measure(entries[23], changes))
	t.add("the relay for 24, 5 changes a second", "0.15 changes/s", "%v", measure(entries[0], changes))
	for i, p := range processes {
		t.add(fmt.Sprintf("control replica %d, 5 changes a second", i+1), "", "%v", measure(p, changes))
	}
	for i, p := range processes {
		t.add(fmt.Sprintf("control replica %d, idle", i+1), "", "%v", measure(p, idle))
	}
	for _, n := range []int{20, 60, 120} {
		apply(client, "upstreams", map[int]int{20: 1, 60: 2, 120: 3}[n], upstreamsBody(engines(l, n), 8))
		time.Sleep(2 * time.Second)
		t.add(fmt.Sprintf("an entry, among 24, %d upstreams", n), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[23], idle))
	}
	for i, n := range []int{10, 200, 800} {
		body := "teams:\n"
		for k := range n {
			body += fmt.Sprintf("  - {name: team-%d, key_digests: [\"%064x\"], models: [demo]}\n", k, k+1)
		}
		apply(client, "teams", i+1, body)
		time.Sleep(time.Second)
		t.add(fmt.Sprintf("an entry, among 24, 120 upstreams, %d teams", n), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[23], idle))
	}
}

// benchDomains measures what entries of other failure domains cost one that does not
// serve them.
func benchDomains(l *lab, t *table) {
	const each = 12
	_, control, client := l.control(3)
	apply(client, "models", 1, modelsBody("v1"))
	seed := freeAddress()
	var entries []*exec.Cmd
	for domain := range 12 {
		for i := range each {
			peers := freeAddress()
			if len(entries) == 0 {
				peers = seed
			}
			cmd, _, _ := l.entry(fmt.Sprintf("e%02d-%02d", domain, i), fmt.Sprint("d", domain+1), peers, seed, control)
			entries = append(entries, cmd)
		}
		if domain != 0 && domain != 3 && domain != 11 {
			continue
		}
		time.Sleep(settleTime)
		t.add(fmt.Sprintf("an entry that is no relay, %d domains of %d", domain+1, each), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[each-1], idle))
		t.add(fmt.Sprintf("a relay, %d domains of %d", domain+1, each), "4 KB/s, 1.6%, 64 MB", "%v", measure(entries[0], idle))
	}
}
