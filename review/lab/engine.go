package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readRate is how many tokens of prompts an engine reads per millisecond, and engineTokens its memory.
	readRate     = 54.6
	engineTokens = 87295
)

// engine is the part of a replica that reads prompts: one after the other, with a memory in which those parts give
// way that were not used for longest.
type engine struct {
	lab   *lab
	id    string
	zone  string
	store *store

	// reading is held by the prompt that is being read, and link by the move in progress.
	reading, link ticket
	mu            sync.Mutex
	kept          map[keptPart]*keptTokens
}

type keptTokens struct {
	tokens int
	usedAt time.Time
}

// ticket is a lock that is given in the order in which it was asked for.
type ticket struct {
	mu   sync.Mutex
	last chan struct{}
}

func (t *ticket) lock() (unlock func()) {
	mine := make(chan struct{})
	t.mu.Lock()
	before := t.last
	t.last = mine
	t.mu.Unlock()
	if before != nil {
		<-before
	}
	return func() { close(mine) }
}

// has reports whether the engine keeps a part, and counts that as a use.
func (e *engine) has(k keptPart) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.kept[k]
	if p != nil {
		p.usedAt = time.Now()
	}
	return p != nil
}

// moveTime returns how long the move of a part takes between the store and this engine.
func (e *engine) moveTime(tokens int) time.Duration {
	d := time.Duration(float64(tokens) * tokenBits / storeBits * float64(time.Millisecond))
	if e.zone != storeZone {
		d *= 2
	}
	return storeFirst + d
}

func (e *engine) keep(k keptPart, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept[k] = &keptTokens{tokens, time.Now()}
	for {
		sum := 0
		var oldest keptPart
		for other, p := range e.kept {
			sum += p.tokens
			if o := e.kept[oldest]; o == nil || p.usedAt.Before(o.usedAt) {
				oldest = other
			}
		}
		if sum <= engineTokens {
			return
		}
		delete(e.kept, oldest)
	}
}

// read fetches the parts of a prompt for which a store is named, reads the others, and saves those that are to be
// saved.
func (e *engine) read(req *http.Request) {
	salt := req.Header.Get(names["salt"])
	request := req.Header.Get(names["request"])
	until, _ := strconv.ParseInt(req.Header.Get(names["until"]), 10, 64)
	fetches := strings.Split(req.Header.Get(names["fetch"]), ",")
	saves := strings.Split(req.Header.Get(names["save"]), ",")
	parts := strings.Split(req.Header.Get(names["parts"]), ",")
	at := func(list []string, i int) string {
		if i < len(list) && list[i] != "-" {
			return list[i]
		}
		return ""
	}
	for i, part := range parts {
		name, size, _ := strings.Cut(part, ":")
		_, amount, ok := strings.Cut(at(fetches, i), "/")
		tokens, err := strconv.Atoi(amount)
		k := keptPart{salt, name}
		if !ok || err != nil || e.has(k) {
			continue
		}
		unlock := e.link.lock()
		found, whole := e.store.fetch(k, e.moveTime(tokens), until)
		unlock()
		if found {
			e.keep(k, tokens)
			if !whole {
				e.store.addUnwhole()
				e.lab.note("request %s at %s uses %d tokens of part %s (%s tokens), which is not whole in the store when all of them have been read", request, e.id, tokens, name, size)
			}
		}
	}
	unlock := e.reading.lock()
	defer unlock()
	for i, part := range parts {
		name, size, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(size)
		k := keptPart{salt, name}
		if e.has(k) {
			continue
		}
		time.Sleep(time.Duration(float64(tokens) / readRate * float64(time.Millisecond)))
		e.keep(k, tokens)
		if at(saves, i) == "" {
			continue
		}
		write := e.store.reserve(k, tokens, e.id)
		if write == nil {
			continue
		}
		go func() {
			unlock := e.link.lock()
			defer unlock()
			write(e.moveTime(tokens))
		}()
	}
}
