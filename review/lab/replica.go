package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is that of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// keptPart names a part of a prompt that a replica keeps: its salt and its id.
type keptPart struct{ salt, id string }

// draw is the use of a kept part by a request.
type draw struct {
	part                 keptPart
	request, team, maker string
	at                   time.Time
}

// arrival is a request at a replica.
type arrival struct {
	request, replica string
	ran              bool
	at               time.Time
}

// replica is a sound instance that runs requests and keeps the parts of prompts that it has read.
type replica struct {
	lab                      *lab
	id, service, model, zone string
	address                  string
	born                     int64
	server                   *http.Server
	stop                     chan struct{}
	// engine, if set, reads prompts with the time that it takes.
	engine *engine
	// events and pause are the number of events of a stream and the time between two.
	events int
	pause  time.Duration

	mu       sync.Mutex
	sequence int
	// software is the version of its software, and silentUntil is until when its heartbeats are held back.
	software    string
	silentUntil time.Time
	makers      map[keptPart]string
	draws       []draw
	arrivals    []arrival
}

// addReplica starts a replica that reports itself.
func (l *lab) addReplica(service, model string) (*replica, error) {
	n := len(l.replicas)
	listener, err := net.Listen("tcp", l.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		lab: l, id: fmt.Sprintf("i-%s-%d", service, n), service: service, model: model, zone: domains[n%len(domains)],
		address: listener.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}), makers: map[keptPart]string{},
		software: "v1", events: 4, pause: 20 * time.Millisecond,
	}
	r.serve(listener)
	go r.keepReporting()
	l.replicas = append(l.replicas, r)
	return r, nil
}

// serve begins to listen.
func (r *replica) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(names["report"], func(w http.ResponseWriter, _ *http.Request) {
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		answerJSON(w, "report.tmpl", map[string]any{"Model": r.model, "Clock": r.lab.clock(), "Born": born})
	})
	mux.HandleFunc(names["order"], func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", r.run)
	server := &http.Server{Handler: mux}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

func (r *replica) close() {
	close(r.stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
}

// restart ends the process with all its connections, and starts it again after some time under its id, with another
// version of its software. Its heartbeats arrive late at first.
func (r *replica) restart(software string, down, late time.Duration) error {
	r.mu.Lock()
	r.silentUntil = time.Now().Add(down + late)
	_ = r.server.Close()
	r.mu.Unlock()
	r.lab.note("%s ends", r.id)
	time.Sleep(down)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.software, r.born, r.sequence, r.makers = software, time.Now().UnixMilli(), 0, map[keptPart]string{}
	r.mu.Unlock()
	r.serve(listener)
	r.lab.note("%s starts again under its id, with software %s", r.id, software)
	time.AfterFunc(late, func() { r.report(r.lab.client, r.lab.ofRole("control")[0]) })
	return nil
}

// keepReporting sends heartbeats to one control instance, and to the next one after a failure.
func (r *replica) keepReporting() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; {
		controls := r.lab.ofRole("control")
		if !r.report(client, controls[n%len(controls)]) {
			n++
		}
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *replica) report(client *http.Client, c *process) bool {
	r.mu.Lock()
	if time.Now().Before(r.silentUntil) {
		r.mu.Unlock()
		return true
	}
	r.sequence++
	text := render("heartbeat.tmpl", map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Model": r.model, "Sequence": r.sequence, "Born": r.born, "Software": r.software,
	})
	r.mu.Unlock()
	res, err := client.Post("http://"+c.control+names["heartbeat"]+r.id, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// run runs one request, unless it is meant for another replica or other weights.
func (r *replica) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(names["request"])
	_, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	w.Header().Set(names["request"], id)
	version := req.Header.Get(names["version"])
	ran := req.Header.Get(names["instance"]) == r.id && (version == "" || version == "1")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, r.id, ran, time.Now()})
	r.mu.Unlock()
	if !ran {
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.engine != nil {
		r.engine.read(req)
	} else {
		r.read(req, id)
	}
	w.Header().Set(names["stamp"], "stamp-"+r.id)
	r.mu.Lock()
	software := r.software
	r.mu.Unlock()
	after, _ := strconv.Atoi(req.Header.Get(names["last_event"]))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= r.events; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", n, n, id, software)
		if err != nil || req.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(r.pause)
	}
}

// read reads the parts of a prompt: a part that is kept under the request's salt, with all before it, is used, and the
// others are made and kept.
func (r *replica) read(req *http.Request, id string) {
	salt, team := req.Header.Get(names["salt"]), req.Header.Get(names["team"])
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := true
	for part := range strings.SplitSeq(req.Header.Get(names["parts"]), ",") {
		name, _, _ := strings.Cut(part, ":")
		if name == "" {
			continue
		}
		k := keptPart{salt, name}
		maker, ok := r.makers[k]
		kept = kept && ok
		if !kept {
			r.makers[k] = team
			r.lab.note("%s reads part %s for request %s of %s, under salt %s", r.id, name, id, team, salt)
			continue
		}
		r.draws = append(r.draws, draw{k, id, team, maker, time.Now()})
		r.lab.note("%s uses part %s made by %s for request %s of %s, under salt %s", r.id, name, maker, id, team, salt)
	}
}
