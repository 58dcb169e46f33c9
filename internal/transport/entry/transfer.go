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
	// copyTimeout bounds a background copy to a store, and the freeing of a batch of
	// objects.
	copyTimeout = 60 * time.Second
)

// fetch makes the chosen engine import stored context. Concurrent requests for the same
// context at the same engine share one fetch.
func (e *Entry) fetch(ctx context.Context, j *job) {
	key := j.plan.Name + "/" + j.keys[j.plan.FetchBlocks-1].String()
	done := e.fetches.DoChan(key, func() (any, error) {
		// All waiters share the fetch, so none of them may cancel it.
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
	start := clock.Now()
	e.mu.Lock()
	e.planner.BeginFetch(j.plan.Store)
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
	fetched := placement.FetchResult{Blocks: out.Blocks, Bytes: out.Bytes, Took: now.Sub(start), Aborted: err != nil}
	if fetched.Aborted {
		fetched.Bytes = int64(j.plan.FetchBlocks-j.plan.Cached) * int64(blockBytes(j))
	}
	notes := e.planner.EndFetch(&j.plan, j.keys, fetched, now)
	e.mu.Unlock()
	e.sendNotes(j.keys, notes...)
	e.startNextCopy()
	e.metrics.linkBytes.WithLabelValues(j.plan.Store, "out").Add(float64(out.Bytes))
	line := e.Log.Info().Str("event", "fetch").Str("run", j.runID).Str("store", j.plan.Store).Int("blocks", out.Blocks).Int64("bytes", out.Bytes).Str("refused", out.Refused)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// blockRefs returns the references to the stored objects of a job's plan, for the
// engine.
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

// transfer asks an engine to import or export context.
func (e *Entry) transfer(ctx context.Context, address string, in engine.Transfer) (engine.TransferResult, error) {
	var out engine.TransferResult
	req, err := sling.New().Post("http://" + address).BodyJSON(in).Request()
	if err != nil {
		return out, err
	}
	_, err = sling.New().Client(e.upstreams.HTTP()).Do(req.WithContext(ctx), &out, nil)
	return out, err
}

// retainContext records where the context of a finished prompt is cached, and copies it
// to a store in the background if the copy is worth the bandwidth.
func (e *Entry) retainContext(j *job) {
	if len(j.keys) == 0 {
		return
	}
	e.sendNotes(j.keys, placement.Note{Key: j.keys[len(j.keys)-1], Blocks: len(j.keys), Upstream: j.plan.Name})
	e.mu.Lock()
	p := placement.PostponedCopy{Keys: j.keys, Plan: j.plan, Tag: j}
	c, ok := e.planner.PlanCopy(p, clock.Now())
	e.mu.Unlock()
	if ok {
		e.startCopy(j, c)
	}
}

// startNextCopy starts a postponed copy if the link of its store is free.
func (e *Entry) startNextCopy() {
	e.mu.Lock()
	p, c, ok := e.planner.NextCopy(clock.Now())
	e.mu.Unlock()
	if ok {
		e.startCopy(p.Tag.(*job), c)
	}
}

func (e *Entry) startCopy(j *job, c placement.Copy) {
	if !e.background.tryAdd() {
		return
	}
	go func() {
		defer e.background.done()
		e.copyContext(j, c)
		if e.baseCtx.Err() == nil {
			e.startNextCopy()
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
		Label:   copyLabel(j, c),
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
	note, ok := e.planner.EndCopy(c, j.keys[len(j.keys)-1], len(j.keys), object, full, clock.Now())
	var evicted []placement.StoredObject
	if full {
		evicted = e.planner.EvictObjects(c.Store, c.Blocks)
	}
	e.mu.Unlock()
	if ok {
		note.Team = j.team
		e.sendNotes(j.keys, note)
	}
	e.freeObjects(evicted)
	e.metrics.linkBytes.WithLabelValues(c.Store, "in").Add(float64(out.Bytes))
	line := e.Log.Info().Str("event", "copy").Str("run", j.runID).Str("store", c.Store).Int("blocks", out.Blocks).Int64("bytes", out.Bytes).Str("refused", out.Refused)
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Msg("")
}

// copyLabel returns the label that is stored with the object of a copy: its team, and
// its place in the context and the directory.
func copyLabel(j *job, c placement.Copy) blocks.Label {
	route, _ := placement.Route(j.keys)
	return blocks.Label{
		Team: j.team, Part: placement.PartitionOf(route), Key: j.keys[len(j.keys)-1].String(), Parent: c.Parent.String(),
		Blocks: c.Blocks, End: len(j.keys),
	}
}

// sendNotes sends notes about a prompt's context to the entry that owns the context's
// partition of the directory.
func (e *Entry) sendNotes(keys []prefix.Key, notes ...placement.Note) {
	if e.Peers != nil {
		e.Peers.NotifyOwner(keys, notes...)
		return
	}
	e.ApplyNotes(notes)
}

// FindHints returns the hints for a prompt in this entry's part of the directory.
func (e *Entry) FindHints(keys []prefix.Key) *placement.Hints {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.planner.Find(keys)
}

// ApplyNotes applies notes to this entry's part of the directory, and frees the objects
// that are no longer needed.
func (e *Entry) ApplyNotes(notes []placement.Note) {
	var toFree []placement.StoredObject
	now := clock.Now()
	e.mu.Lock()
	for _, n := range notes {
		toFree = append(toFree, e.planner.Apply(n, now)...)
	}
	e.mu.Unlock()
	e.freeObjects(toFree)
}

// freeObjects deletes objects from their stores in the background. Their hints have
// already been removed from the directory; the store refuses readers that still hold
// one.
func (e *Entry) freeObjects(objects []placement.StoredObject) {
	if len(objects) == 0 {
		return
	}
	if !e.background.tryAdd() {
		return
	}
	go func() {
		defer e.background.done()
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		for _, o := range objects {
			e.freeObject(ctx, o)
		}
	}()
}

func (e *Entry) freeObject(ctx context.Context, o placement.StoredObject) {
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
