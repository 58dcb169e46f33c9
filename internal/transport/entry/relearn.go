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
	// DefaultRelearnInterval is how often an entry checks whether it owns partitions of
	// the directory that it has not learned from the stores yet.
	DefaultRelearnInterval = time.Second
	// minStableChecks is how many consecutive checks must see the same owned partitions
	// before they are learned: while entries discover each other, ownership changes
	// with each discovery.
	minStableChecks = 4
	// checksPerAudit is the number of check intervals between two audits, which list
	// everything owned. An audit finds objects that are missing from the directory, and
	// unsealed objects whose writer died.
	checksPerAudit = 3600
	// listPageSize is the maximum number of objects per page of a store's list;
	// listTimeout bounds the request for one page.
	listPageSize = 500
	listTimeout  = 10 * time.Second
)

// relearner rebuilds this entry's part of the directory from the objects in the stores:
// after a restart, and when it takes over partitions from an entry that has gone.
//
// The result consists of hints, as in the rest of the directory: the store verifies
// each read.
type relearner struct {
	e *Entry
	// owned is the set of partitions owned at the last check; stableChecks counts the
	// checks since it changed.
	owned        []uint16
	stableChecks int
	// lastAudit is when everything owned was last listed. Audits are scheduled by time
	// and not by the number of checks, because fewer checks run while the machine is
	// busy.
	lastAudit time.Time
	// learned holds, by store address, the partitions that have been listed since this
	// entry came to own them.
	learned map[string]map[uint16]bool
	// unsealed holds the objects that were not sealed at the last audit.
	unsealed map[blocks.Name]bool
}

func (e *Entry) relearnPeriodically(ctx context.Context) {
	r := &relearner{e: e, learned: map[string]map[uint16]bool{}, lastAudit: clock.Now()}
	ticker := time.NewTicker(e.RelearnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// check lists the owned partitions that have not been learned yet, once ownership is
// stable.
func (r *relearner) check(ctx context.Context) {
	owned := r.e.owned()
	if !slices.Equal(owned, r.owned) {
		r.owned = owned
		r.stableChecks = 0
		r.forgetUnowned()
	}
	r.stableChecks++
	if r.stableChecks < minStableChecks {
		return
	}
	audit := clock.Since(r.lastAudit) >= checksPerAudit*r.e.RelearnInterval
	unsealed := map[blocks.Name]bool{}
	for _, store := range r.e.regionStores() {
		r.learnStore(ctx, store, audit, unsealed)
	}
	if audit {
		r.unsealed = unsealed
		r.lastAudit = clock.Now()
	}
}

// forgetUnowned drops the partitions that this entry no longer owns from the learned
// sets: while another entry owns a partition, only that entry receives the notes about
// its contexts.
func (r *relearner) forgetUnowned() {
	owned := partitionSet(r.owned)
	for _, learned := range r.learned {
		maps.DeleteFunc(learned, func(partition uint16, _ bool) bool { return !owned[partition] })
	}
}

// learnStore lists the objects of one store that belong to missing partitions, or to
// all owned partitions in an audit, and adds them to the directory.
func (r *relearner) learnStore(ctx context.Context, store string, audit bool, unsealed map[blocks.Name]bool) {
	missing := r.owned
	if !audit {
		missing = r.missing(store)
	}
	if len(missing) == 0 {
		return
	}
	objects, err := r.e.listObjects(ctx, store, missing)
	if err != nil {
		r.e.Log.Warn().Str("event", "relearn_failed").Str("store", store).Str("error", err.Error()).Msg("")
		return
	}
	r.learned[store] = partitionSet(r.owned)
	learned, freed := 0, 0
	// Chunks keep the time short for which mu is held, so that prompts do not wait for
	// the whole list.
	for chunk := range slices.Chunk(objects, listPageSize) {
		n, toFree := r.addObjects(store, chunk, unsealed)
		r.e.freeObjects(toFree)
		learned += n
		freed += len(toFree)
	}
	r.e.metrics.relearned.WithLabelValues(store).Add(float64(learned))
	r.e.Log.Info().Str("event", "relearned").Str("store", store).Int("parts", len(missing)).Int("objects", learned).Int("freed", freed).Msg("")
}

func partitionSet(partitions []uint16) map[uint16]bool {
	set := map[uint16]bool{}
	for _, partition := range partitions {
		set[partition] = true
	}
	return set
}

func (r *relearner) missing(store string) []uint16 {
	var out []uint16
	for _, partition := range r.owned {
		if !r.learned[store][partition] {
			out = append(out, partition)
		}
	}
	return out
}

// addObjects adds listed objects to the directory; it returns how many were added, and
// those to be freed.
func (r *relearner) addObjects(store string, objects []blocks.ListedObject, unsealed map[blocks.Name]bool) (learned int, toFree []placement.StoredObject) {
	e := r.e
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range objects {
		object := placement.StoredObject{
			Store: store, Incarnation: o.Incarnation, Object: o.Object, Generation: o.Generation,
			Blocks: o.Label.Blocks, End: o.Label.End,
		}
		if !o.Sealed {
			unsealed[o.Name] = true
			if r.unsealed[o.Name] {
				// Still unsealed since the last audit: its writer is gone.
				toFree = append(toFree, object)
			}
			continue
		}
		note, ok := noteFromLabel(o.Label, object)
		if !ok {
			continue
		}
		unneeded := e.planner.ApplyListed(note, now)
		if len(unneeded) == 0 {
			learned++
		}
		toFree = append(toFree, unneeded...)
	}
	return learned, toFree
}

// noteFromLabel parses the label of an object; ok is false when the label is invalid.
func noteFromLabel(l blocks.Label, object placement.StoredObject) (n placement.Note, ok bool) {
	key, ok := prefix.ParseKey(l.Key)
	if !ok {
		return n, false
	}
	parent, ok := prefix.ParseKey(l.Parent)
	if !ok || l.Blocks <= 0 || l.End < l.Blocks {
		return n, false
	}
	return placement.Note{Team: l.Team, Key: key, Blocks: l.End, Object: &object, Parent: parent}, true
}

// owned returns the partitions of the directory that this entry owns.
func (e *Entry) owned() []uint16 {
	if e.Peers != nil {
		return e.Peers.OwnedPartitions()
	}
	all := make([]uint16, placement.Partitions)
	for partition := range all {
		all[partition] = uint16(partition)
	}
	return all
}

// regionStores returns the addresses of the stores in this entry's region.
func (e *Entry) regionStores() []string {
	state := e.state.Load()
	var out []string
	for _, s := range state.Stores() {
		if state.SameRegion(s.FailureDomain(), e.FailureDomain) {
			out = append(out, s.Address())
		}
	}
	return out
}

// listObjects lists a store's objects that belong to partitions of the directory, page
// by page.
func (e *Entry) listObjects(ctx context.Context, store string, partitions []uint16) ([]blocks.ListedObject, error) {
	var out []blocks.ListedObject
	in := blocks.ListRequest{Parts: partitions, Limit: listPageSize}
	for {
		page, err := e.listObjectsPage(ctx, store, in)
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

func (e *Entry) listObjectsPage(ctx context.Context, store string, in blocks.ListRequest) (blocks.ListResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var page blocks.ListResponse
	req, err := sling.New().Post("http://" + store + blocks.PathList).BodyJSON(in).Request()
	if err != nil {
		return page, err
	}
	res, err := sling.New().Client(e.upstreams.HTTP()).Do(req.WithContext(ctx), &page, nil)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("store returned status %d", res.StatusCode)
	}
	return page, err
}
