// Package store is a small stand-in for a store instance. It keeps objects in a
// memory tier and a disk tier behind one rate-limited network link.
//
// Invariant: a read can start only while the object is sealed, and the space of a
// freed object is not reclaimed before its last read has ended.
package store

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/standin/fault"
)

type phase int

const (
	writing phase = iota
	sealed
	freeing
)

// chunkBytes is the largest transfer between two waits for the rate limiters, and
// their burst size.
const chunkBytes = 16 << 10

type object struct {
	generation uint64
	label      blocks.Label
	phase      phase
	data       []byte
	length     int64
	readers    int
	onDisk     bool
}

// Options configures a Store. All sizes are in bytes.
type Options struct {
	MemoryBytes int64
	DiskBytes   int64
	// LinkRate limits transfers in both directions together, and DiskRate limits
	// reads from the disk tier. Both are in bytes per second.
	LinkRate float64
	DiskRate float64
	// Incarnation identifies this start of the store, which begins empty.
	Incarnation string
}

// Store is the stand-in server. Create one with New.
type Store struct {
	options     Options
	linkLimiter *rate.Limiter
	diskLimiter *rate.Limiter
	// Faults can be changed while the store runs.
	Faults fault.Injector

	mu            sync.Mutex
	incarnation   string
	restarts      int
	objects       map[uint64]*object
	lastID        uint64
	generation    uint64
	usedBytes     int64
	sentBytes     int64
	receivedBytes int64
}

// New returns an empty store.
func New(o Options) *Store {
	s := &Store{options: o, incarnation: o.Incarnation, objects: map[uint64]*object{}}
	s.linkLimiter = rate.NewLimiter(rate.Limit(o.LinkRate), chunkBytes)
	s.diskLimiter = rate.NewLimiter(rate.Limit(o.DiskRate), chunkBytes)
	s.Faults.OnReset = s.reset
	return s
}

// Handler returns the handler for the store's protocol and the fault settings.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc("GET "+blocks.PathStore, s.usage)
	mux.HandleFunc("POST "+blocks.PathObjects, s.create)
	mux.HandleFunc("POST "+blocks.PathList, s.list)
	mux.HandleFunc("PUT "+blocks.PathObjects+"/{id}", s.write)
	mux.HandleFunc("POST "+blocks.PathObjects+"/{id}/seal", s.seal)
	mux.HandleFunc("GET "+blocks.PathObjects+"/{id}", s.read)
	mux.HandleFunc("DELETE "+blocks.PathObjects+"/{id}", s.free)
	return mux
}

// reset simulates a restart without data: it discards all objects and changes the
// incarnation.
func (s *Store) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts++
	s.incarnation = s.options.Incarnation + "-" + strconv.Itoa(s.restarts)
	s.objects = map[uint64]*object{}
	s.lastID = 0
	s.generation = 0
	s.usedBytes = 0
}

func (s *Store) usage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.options.MemoryBytes + s.options.DiskBytes - s.usedBytes
	if s.Faults.Get().FillUp {
		free = 0
	}
	writeJSON(w, blocks.Usage{
		Incarnation:   s.incarnation,
		MemoryBytes:   s.options.MemoryBytes,
		DiskBytes:     s.options.DiskBytes,
		FreeBytes:     free,
		Objects:       len(s.objects),
		SentBytes:     s.sentBytes,
		ReceivedBytes: s.receivedBytes,
	})
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var in blocks.Create
	err := json.NewDecoder(r.Body).Decode(&in)
	if err != nil || in.Length <= 0 {
		http.Error(w, "length: a number above 0 is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Faults.Get().FillUp || s.usedBytes+in.Length > s.options.MemoryBytes+s.options.DiskBytes {
		http.Error(w, "no space left", http.StatusInsufficientStorage)
		return
	}
	s.lastID++
	s.generation++
	s.objects[s.lastID] = &object{
		generation: s.generation,
		label:      in.Label,
		length:     in.Length,
		onDisk:     s.usedBytes+in.Length > s.options.MemoryBytes,
	}
	s.usedBytes += in.Length
	writeJSON(w, blocks.Name{Object: s.lastID, Generation: s.generation, Incarnation: s.incarnation})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	var in blocks.ListRequest
	err := json.NewDecoder(r.Body).Decode(&in)
	if err != nil || in.Limit <= 0 {
		http.Error(w, "limit: a number above 0 is needed", http.StatusBadRequest)
		return
	}
	wanted := map[uint16]bool{}
	for _, part := range in.Parts {
		wanted[part] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out blocks.ListResponse
	for _, id := range slices.Sorted(maps.Keys(s.objects)) {
		o := s.objects[id]
		if id <= in.After || o.phase == freeing || !wanted[o.label.Part] {
			continue
		}
		if len(out.Objects) == in.Limit {
			out.More = true
			break
		}
		name := blocks.Name{Object: id, Generation: o.generation, Incarnation: s.incarnation}
		out.Objects = append(out.Objects, blocks.ListedObject{Name: name, Label: o.label, Sealed: o.phase == sealed})
	}
	writeJSON(w, out)
}

// lookUp returns the object with the request's id, generation and incarnation if
// it is in phase want. The caller must hold s.mu.
func (s *Store) lookUp(r *http.Request, want phase) (*object, bool) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return nil, false
	}
	o, ok := s.objects[id]
	if !ok || o.phase != want {
		return nil, false
	}
	q := r.URL.Query()
	generation, err := strconv.ParseUint(q.Get(blocks.ParamGeneration), 10, 64)
	if err != nil || generation != o.generation || q.Get(blocks.ParamIncarnation) != s.incarnation {
		return nil, false
	}
	return o, true
}

const mismatchMessage = "no such object in that phase, generation and incarnation"

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.lookUp(r, writing)
	s.mu.Unlock()
	if !ok {
		http.Error(w, mismatchMessage, http.StatusConflict)
		return
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Body.Read(buf)
		s.linkLimiter.WaitN(r.Context(), n)
		s.mu.Lock()
		o.data = append(o.data, buf[:n]...)
		s.receivedBytes += int64(n)
		s.mu.Unlock()
		if err == io.EOF {
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
}

func (s *Store) seal(w http.ResponseWriter, r *http.Request) {
	var in blocks.Seal
	err := json.NewDecoder(r.Body).Decode(&in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.lookUp(r, writing)
	if !ok || in.Length != o.length || int64(len(o.data)) != in.Length || blocks.Checksum(o.data) != in.Checksum {
		http.Error(w, mismatchMessage+", or its length or checksum differs", http.StatusConflict)
		return
	}
	o.phase = sealed
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.lookUp(r, sealed)
	if ok {
		o.readers++
	}
	s.mu.Unlock()
	if !ok {
		http.Error(w, mismatchMessage, http.StatusConflict)
		return
	}
	defer s.releaseReader(r, o)
	if r.URL.Query().Has(blocks.ParamCheck) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(o.data)))
	s.send(r.Context(), w, o)
}

func (s *Store) send(ctx context.Context, w io.Writer, o *object) {
	for offset := 0; offset < len(o.data); offset += chunkBytes {
		chunk := o.data[offset:min(offset+chunkBytes, len(o.data))]
		if o.onDisk {
			s.diskLimiter.WaitN(ctx, len(chunk))
		}
		err := s.linkLimiter.WaitN(ctx, len(chunk))
		if err != nil {
			return
		}
		_, err = w.Write(chunk)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.sentBytes += int64(len(chunk))
		s.mu.Unlock()
	}
}

// releaseReader ends a read, and removes an object in phase freeing when its last
// read has ended.
func (s *Store) releaseReader(r *http.Request, o *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.readers--
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if o.phase == freeing && o.readers == 0 && s.objects[id] == o {
		s.remove(id, o)
	}
}

func (s *Store) free(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.lookUp(r, sealed)
	if !ok {
		o, ok = s.lookUp(r, writing)
	}
	if !ok {
		http.Error(w, mismatchMessage, http.StatusConflict)
		return
	}
	o.phase = freeing
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if o.readers == 0 {
		s.remove(id, o)
	}
}

func (s *Store) remove(id uint64, o *object) {
	delete(s.objects, id)
	s.usedBytes -= o.length
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Len returns the number of objects, in any phase.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}
