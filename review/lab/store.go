package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	tokenBits = 8 * 18432
	// storeBits are the bits per millisecond of the store's link, which is slower than the engines'.
	storeBits = 40e6
	// storeFirst is the wait before each move, and storeZone the store's zone.
	storeFirst = 6 * time.Millisecond
	storeZone  = "bilbao-dos"
	// eventLag is how late events arrive.
	eventLag = 60 * time.Millisecond
)

// storedPart is a part in the store. It is whole once all of it has been written.
type storedPart struct {
	tokens int
	whole  bool
}

type storeEvent struct {
	Number   int
	Sign     string
	Salt, ID string
	Tokens   int
	at       time.Time
}

// store is a store of kept context. It drops nothing but at a restart.
type store struct {
	lab     *lab
	address string

	mu     sync.Mutex
	server *http.Server
	up     bool
	epoch  int
	parts  map[keptPart]*storedPart
	events []storeEvent
	// unwhole counts the fetches of parts that were not whole.
	unwhole int
}

func (s *store) addUnwhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwhole++
}

func (s *store) unwholeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwhole
}

func (l *lab) addStore() (*store, error) {
	listener, err := net.Listen("tcp", l.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &store{lab: l, address: listener.Addr().String()}
	s.serve(listener)
	l.closers = append(l.closers, s.stop)
	return s, nil
}

// serve begins an incarnation, which is empty.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(names["events"], s.serveEvents)
	mux.HandleFunc(names["list"], s.serveList)
	mux.HandleFunc(names["free"], s.serveFree)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: mux}
	s.up, s.epoch, s.parts, s.events = true, s.epoch+1, map[keptPart]*storedPart{}, nil
	server := s.server
	go func() { _ = server.Serve(listener) }()
}

func (s *store) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	_ = s.server.Close()
}

// restart crashes the store, which is back after some time.
func (s *store) restart(down time.Duration) error {
	s.stop()
	s.lab.note("the store crashes and is down for %v", down)
	time.Sleep(down)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.serve(listener)
	s.lab.note("the store is back, empty")
	return nil
}

func (l *lab) clock() int64 { return 1000 + time.Since(l.began).Milliseconds() }

func (s *store) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get(names["wait"]))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		epoch := s.epoch
		var out []storeEvent
		for _, e := range s.events {
			if e.Number > since && time.Since(e.at) >= eventLag {
				out = append(out, e)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 || time.Now().After(until) {
			next := since
			if len(out) > 0 {
				next = out[len(out)-1].Number
			}
			answerJSON(w, "events.tmpl", map[string]any{"Epoch": epoch, "Next": next, "Lost": false, "Events": out, "Clock": s.lab.clock()})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func answerJSON(w http.ResponseWriter, name string, values any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(render(name, values))
}

func (s *store) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held, partial []storeEvent
	for k, p := range s.parts {
		e := storeEvent{Salt: strconv.Quote(k.salt), ID: k.id, Tokens: p.tokens}
		if p.whole {
			held = append(held, e)
		} else {
			partial = append(partial, e)
		}
	}
	answerJSON(w, "list.tmpl", map[string]any{"Epoch": s.epoch, "Next": len(s.events), "Held": held, "Partial": partial, "Clock": s.lab.clock()})
}

// serveFree frees parts, unless the order is for another incarnation or comes too late.
func (s *store) serveFree(w http.ResponseWriter, r *http.Request) {
	var in map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var parts [][2]string
	epoch, until := 0, int64(0)
	for name, out := range map[string]any{"parts_field": &parts, "epoch": &epoch, "until_field": &until} {
		if text, ok := in[names[name]]; ok && json.Unmarshal(text, out) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != 0 && epoch != s.epoch || until != 0 && until < s.lab.clock() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, p := range parts {
		delete(s.parts, keptPart{p[0], p[1]})
	}
}

// reserve takes the room of a part that an engine has read. It returns nil if nothing is to be written: a part that
// the store has stays as it is. What a crash meets on its way is lost.
func (s *store) reserve(k keptPart, tokens int, by string) (write func(took time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.parts[k] != nil {
		return nil
	}
	p, epoch := &storedPart{tokens: tokens}, s.epoch
	s.parts[k] = p
	s.lab.note("%s begins to save part %s in incarnation %d of the store", by, k.id, epoch)
	return func(took time.Duration) {
		time.Sleep(took)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.epoch != epoch || !s.up {
			return
		}
		p.whole = true
		s.events = append(s.events, storeEvent{Number: len(s.events) + 1, Sign: "+", Salt: strconv.Quote(k.salt), ID: k.id, Tokens: tokens, at: time.Now()})
		s.lab.note("part %s is whole in incarnation %d of the store", k.id, epoch)
	}
}

// fetch reads a part. found is false for a part that is not there, and whole is false if the part is still not whole
// when all of it has been read. The fetch is thrown away if it has not ended by until.
func (s *store) fetch(k keptPart, took time.Duration, until int64) (found, whole bool) {
	s.mu.Lock()
	p, epoch := s.parts[k], s.epoch
	found = s.up && p != nil
	s.mu.Unlock()
	if !found {
		time.Sleep(time.Millisecond)
		return false, false
	}
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || !s.up || s.lab.clock() > until {
		return false, false
	}
	return true, p.whole
}
