package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// copyTimeout bounds a background copy.
	copyTimeout = 60 * time.Second
)

// fetch has the chosen engine import kept context. Requests that want the same
// context at the same engine wait for one fetch.
func (e *Entry) fetch(ctx context.Context, j *job) {
	key := j.plan.Name + "/" + j.keys[j.plan.FetchBlocks-1].String()
	done := e.fetches.DoChan(key, func() (any, error) {
		// The fetch serves every waiter, so none of them can cancel it.
		e.importContext(context.WithoutCancel(ctx), j)
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (e *Entry) importContext(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, j.plan.FetchTimeout)
	defer cancel()
	began := clock.Now()
	e.mu.Lock()
	e.board.BeginFetch(j.plan.Store)
	e.mu.Unlock()
	out, err := e.transfer(ctx, j.plan.Address+engine.PathImport, engine.Transfer{
		Store:   j.plan.Store,
		Version: j.version,
		Keys:    engine.KeyStrings(j.keys[:j.plan.FetchBlocks]),
		Refs:    blockRefs(j),
		Bytes:   blockBytes(j),
	})
	e.mu.Lock()
	now := clock.Now()
	fetched := placement.FetchResult{Blocks: out.Blocks, Bytes: out.Bytes, Took: now.Sub(began), Aborted: err != nil}
	if fetched.Aborted {
		fetched.Bytes = int64(j.plan.FetchBlocks-j.plan.Cached) * int64(blockBytes(j))
	}
	notes := e.board.EndFetch(&j.plan, j.keys, fetched, now)
	e.mu.Unlock()
	e.note(j.keys, notes...)
	e.nextCopy()
	e.metrics.linkBytes.WithLabelValues(j.plan.Store, "out").Add(float64(out.Bytes))
	line := e.Log.Info().Str("event", "fetch").Str("run", j.run).Str("store", j.plan.Store).Int("blocks", out.Blocks).Int64("bytes", out.Bytes).Str("refused", out.Refused)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// blockRefs names the objects of a job's plan to an engine.
func blockRefs(j *job) []engine.BlockRef {
	var refs []engine.BlockRef
	for _, k := range j.plan.Refs {
		refs = append(refs, engine.BlockRef{
			Key: j.keys[k.End-1].String(), Blocks: k.Blocks, Object: k.Object, Generation: k.Generation, Incarnation: k.Incarnation,
		})
	}
	return refs
}

func blockBytes(j *job) int { return int(j.model.BytesPerToken()) * prefix.BlockTokens }

// transfer asks an engine for an import or export.
func (e *Entry) transfer(ctx context.Context, address string, in engine.Transfer) (engine.Transferred, error) {
	var out engine.Transferred
	req, err := sling.New().Post("http://" + address).BodyJSON(in).Request()
	if err != nil {
		return out, err
	}
	_, err = sling.New().Client(e.upstreams.HTTP()).Do(req.WithContext(ctx), &out, nil)
	return out, err
}

// keep notes where a finished prompt's context is, and copies it to a store in
// the background when that is worth its bytes.
func (e *Entry) keep(j *job) {
	if len(j.keys) == 0 {
		return
	}
	e.note(j.keys, placement.Note{Key: j.keys[len(j.keys)-1], Blocks: len(j.keys), Upstream: j.plan.Name})
	e.mu.Lock()
	p := placement.PostponedCopy{Keys: j.keys, Plan: j.plan, Tag: j}
	c, ok := e.board.PlanCopy(p, clock.Now())
	e.mu.Unlock()
	if ok {
		e.startCopy(j, c)
	}
}

// nextCopy begins a copy that had been postponed, if a link is free for it.
func (e *Entry) nextCopy() {
	e.mu.Lock()
	p, c, ok := e.board.NextCopy(clock.Now())
	e.mu.Unlock()
	if ok {
		e.startCopy(p.Tag.(*job), c)
	}
}

func (e *Entry) startCopy(j *job, c placement.Copy) {
	if !e.background.begin() {
		return
	}
	go func() {
		defer e.background.end()
		e.copyContext(j, c)
		if e.work.Err() == nil {
			e.nextCopy()
		}
	}()
}

func (e *Entry) copyContext(j *job, c placement.Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	out, err := e.transfer(ctx, j.plan.Address+engine.PathExport, engine.Transfer{
		Store:   c.Store,
		Version: j.version,
		Keys:    engine.KeyStrings(j.keys),
		Refs:    []engine.BlockRef{{Blocks: c.Blocks}},
		Bytes:   blockBytes(j),
		Label:   label(j, c),
	})
	full := strings.Contains(out.Refused, "507")
	var object *placement.StoredObject
	if out.Ref.Object != 0 {
		object = &placement.StoredObject{
			Store: c.Store, Incarnation: out.Ref.Incarnation, Object: out.Ref.Object, Generation: out.Ref.Generation,
			Blocks: c.Blocks, End: len(j.keys),
		}
	}
	e.mu.Lock()
	note, ok := e.board.EndCopy(c, j.keys[len(j.keys)-1], len(j.keys), object, full, clock.Now())
	var victims []placement.StoredObject
	if full {
		victims = e.board.EvictObjects(c.Store, c.Blocks)
	}
	e.mu.Unlock()
	if ok {
		note.Team = j.team
		e.note(j.keys, note)
	}
	e.free(victims)
	e.metrics.linkBytes.WithLabelValues(c.Store, "in").Add(float64(out.Bytes))
	line := e.Log.Info().Str("event", "copy").Str("run", j.run).Str("store", c.Store).Int("blocks", out.Blocks).Int64("bytes", out.Bytes).Str("refused", out.Refused)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// label says to the store whose and what the object of a copy is.
func label(j *job, c placement.Copy) blocks.Label {
	route, _ := placement.Route(j.keys)
	return blocks.Label{
		Team: j.team, Part: placement.PartitionOf(route), Key: j.keys[len(j.keys)-1].String(), Parent: c.Parent.String(),
		Blocks: c.Blocks, End: len(j.keys),
	}
}

// note tells the owner of a prompt's context what became of it.
func (e *Entry) note(keys []prefix.Key, notes ...placement.Note) {
	if e.Peers != nil {
		e.Peers.Note(keys, notes...)
		return
	}
	e.ApplyNotes(notes)
}

// FindHints returns what this entry's part of the directory knows of a prompt.
func (e *Entry) FindHints(keys []prefix.Key) *placement.Hints {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.board.Find(keys)
}

// ApplyNotes takes notes into this entry's part of the directory, and frees the objects
// that are of no more use.
func (e *Entry) ApplyNotes(notes []placement.Note) {
	var useless []placement.StoredObject
	now := clock.Now()
	e.mu.Lock()
	for _, n := range notes {
		useless = append(useless, e.board.Apply(n, now)...)
	}
	e.mu.Unlock()
	e.free(useless)
}

// free gives objects back to their stores, in the background. Their hints are gone
// already; a reader that still holds one is refused by the store.
func (e *Entry) free(objects []placement.StoredObject) {
	if len(objects) == 0 {
		return
	}
	if !e.background.begin() {
		return
	}
	go func() {
		defer e.background.end()
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		for _, o := range objects {
			e.freeOne(ctx, o)
		}
	}()
}

func (e *Entry) freeOne(ctx context.Context, o placement.StoredObject) {
	type query struct {
		Generation  uint64 `url:"generation"`
		Incarnation string `url:"incarnation"`
	}
	path := "http://" + o.Store + blocks.PathObjects + "/" + strconv.FormatUint(o.Object, 10)
	req, err := sling.New().Delete(path).QueryStruct(query{o.Generation, o.Incarnation}).Request()
	if err != nil {
		return
	}
	res, err := e.upstreams.HTTP().Do(req.WithContext(ctx))
	if err != nil {
		return
	}
	_ = res.Body.Close()
	e.Log.Debug().Str("event", "free").Str("store", o.Store).Uint64("object", o.Object).Int("status", res.StatusCode).Msg("")
}
