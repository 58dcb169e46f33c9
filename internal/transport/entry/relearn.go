package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/placement"
	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

const (
	// DefaultRelearn is how often it is looked whether this entry owns parts of the
	// directory that it has not learned from the stores.
	DefaultRelearn = time.Second
	// settledLooks is how many looks in a row must find the same parts owned: while
	// entries find each other, ownership changes with every one that is found.
	settledLooks = 4
	// auditEvery is how many times the pause between two looks lies between two lists of everything
	// owned. They find objects that nobody knows of, and those whose writer died.
	auditEvery = 3600
	// listLimit is how many objects a store lists at once, and listTimeout bounds that.
	listLimit   = 500
	listTimeout = 10 * time.Second
)

// relearner makes this entry's part of the directory again from what the stores hold,
// after a restart, and when parts come to it from an entry that has gone.
//
// What it learns are hints like all others: the store checks each read.
type relearner struct {
	e *Entry
	// owned is what was owned at the last look, and settled counts the looks since it
	// changed.
	owned   []uint16
	settled int
	// audited is when everything owned was last listed. It is kept in time and not in looks, of
	// which there are fewer while a processor is busy.
	audited time.Time
	// learned holds, for each store's address, the parts that were listed since this
	// entry came to own them.
	learned map[string]map[uint16]bool
	// writing holds the objects that were not sealed at the last audit.
	writing map[blocks.Name]bool
}

func (e *Entry) keepRelearning(ctx context.Context) {
	r := &relearner{e: e, learned: map[string]map[uint16]bool{}, audited: clock.Now()}
	ticker := time.NewTicker(e.Relearn)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// look learns what is owned and not learned, once that has settled.
func (r *relearner) look(ctx context.Context) {
	owned := r.e.owned()
	if !slices.Equal(owned, r.owned) {
		r.owned = owned
		r.settled = 0
		r.forgetLost()
	}
	r.settled++
	if r.settled < settledLooks {
		return
	}
	audit := clock.Since(r.audited) >= auditEvery*r.e.Relearn
	writing := map[blocks.Name]bool{}
	for _, store := range r.e.nearStores() {
		r.learn(ctx, store, audit, writing)
	}
	if audit {
		r.writing = writing
		r.audited = clock.Now()
	}
}

// forgetLost forgets that parts were learned which are no longer owned: while another
// entry owned them, only that one heard of their contexts.
func (r *relearner) forgetLost() {
	owned := partSet(r.owned)
	for _, learned := range r.learned {
		maps.DeleteFunc(learned, func(part uint16, _ bool) bool { return !owned[part] })
	}
}

// learn lists what one store holds of the parts that are missing, or of all at an audit.
func (r *relearner) learn(ctx context.Context, store string, audit bool, writing map[blocks.Name]bool) {
	missing := r.owned
	if !audit {
		missing = r.missing(store)
	}
	if len(missing) == 0 {
		return
	}
	objects, err := r.e.list(ctx, store, missing)
	if err != nil {
		r.e.Log.Warn().Str("event", "relearn_failed").Str("store", store).Str("error", err.Error()).Msg("")
		return
	}
	r.learned[store] = partSet(r.owned)
	learned, useless := 0, 0
	// Some at a time, so that no prompt waits for the whole list.
	for some := range slices.Chunk(objects, listLimit) {
		n, gone := r.take(store, some, writing)
		r.e.free(gone)
		learned += n
		useless += len(gone)
	}
	r.e.metrics.relearned.WithLabelValues(store).Add(float64(learned))
	r.e.Log.Info().Str("event", "relearned").Str("store", store).Int("parts", len(missing)).Int("objects", learned).Int("freed", useless).Msg("")
}

func partSet(parts []uint16) map[uint16]bool {
	set := map[uint16]bool{}
	for _, part := range parts {
		set[part] = true
	}
	return set
}

func (r *relearner) missing(store string) []uint16 {
	var out []uint16
	for _, part := range r.owned {
		if !r.learned[store][part] {
			out = append(out, part)
		}
	}
	return out
}

// take puts listed objects into the directory; it returns how many were of use, and
// those to be freed.
func (r *relearner) take(store string, objects []blocks.Listed, writing map[blocks.Name]bool) (learned int, useless []placement.StoredObject) {
	e := r.e
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range objects {
		kept := placement.StoredObject{
			Store: store, Incarnation: o.Incarnation, Object: o.Object, Generation: o.Generation,
			Blocks: o.Label.Blocks, End: o.Label.End,
		}
		if !o.Sealed {
			writing[o.Name] = true
			if r.writing[o.Name] {
				// It was being written an audit ago: its writer has gone.
				useless = append(useless, kept)
			}
			continue
		}
		note, ok := noteOf(o.Label, kept)
		if !ok {
			continue
		}
		gone := e.board.ApplyListed(note, now)
		if len(gone) == 0 {
			learned++
		}
		useless = append(useless, gone...)
	}
	return learned, useless
}

// noteOf reads a label; ok is false when it is not one of ours.
func noteOf(l blocks.Label, kept placement.StoredObject) (n placement.Note, ok bool) {
	key, ok := prefix.ParseKey(l.Key)
	if !ok {
		return n, false
	}
	parent, ok := prefix.ParseKey(l.Parent)
	if !ok || l.Blocks <= 0 || l.End < l.Blocks {
		return n, false
	}
	return placement.Note{Team: l.Team, Key: key, Blocks: l.End, Object: &kept, Parent: parent}, true
}

// owned returns the parts of the directory that this entry owns.
func (e *Entry) owned() []uint16 {
	if e.Peers != nil {
		return e.Peers.Owned()
	}
	all := make([]uint16, placement.Partitions)
	for part := range all {
		all[part] = uint16(part)
	}
	return all
}

// nearStores returns the addresses of the stores in this entry's region.
func (e *Entry) nearStores() []string {
	state := e.state.Load()
	var out []string
	for _, s := range state.Stores() {
		if state.SameRegion(s.FailureDomain(), e.FailureDomain) {
			out = append(out, s.Address())
		}
	}
	return out
}

// list asks a store for the objects of parts of the directory, page by page.
func (e *Entry) list(ctx context.Context, store string, parts []uint16) ([]blocks.Listed, error) {
	var out []blocks.Listed
	in := blocks.ListRequest{Parts: parts, Limit: listLimit}
	for {
		page, err := e.listPage(ctx, store, in)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return out, nil
		}
		in.After = page.Objects[len(page.Objects)-1].Object
	}
}

func (e *Entry) listPage(ctx context.Context, store string, in blocks.ListRequest) (blocks.ListResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var page blocks.ListResponse
	req, err := sling.New().Post("http://" + store + blocks.PathList).BodyJSON(in).Request()
	if err != nil {
		return page, err
	}
	res, err := sling.New().Client(e.upstreams.HTTP()).Do(req.WithContext(ctx), &page, nil)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("the store answered %d", res.StatusCode)
	}
	return page, err
}
