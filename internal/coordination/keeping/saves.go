package keeping

import (
	"maps"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/state/registry"
)

const (
	// maxMoveWait is how long an engine lets a save wait for its link before it drops it, as the interface of
	// engines specifies.
	maxMoveWait = 2 * time.Second
	// deadlineMargin is how long after a request's deadline its engine may still work on it. It includes the
	// engine's own response at the deadline.
	deadlineMargin = time.Second
	// reportLag is how old the state may be that an engine reports.
	reportLag = time.Second
	// checkPause is the pause between two checks whether an engine has ended a request.
	checkPause = time.Second
	// maxSaves limits the saves that are recorded at the same time, to about 1 MB.
	maxSaves = 4096
)

// Save is the save of one part to one store, by one engine for one attempt of a request.
type Save struct {
	// Store is the store's address.
	Store string
	Part
	Tokens int
	// Holder is unique per attempt. An attempt may save several parts.
	Holder string
	// Request is the id under which the engine runs the request.
	Request       string
	Engine        registry.Incarnation
	EngineAddress string
	// Remaining is the time from the record until the deadline of the engine's request.
	Remaining time.Duration
}

// SaveResult is the result of a request to save a part.
type SaveResult int

// The results: the store takes nothing now, or has the part; the save may be ordered; another save of the part has
// not ended; and it may never be known when that one has.
const (
	SaveClosed SaveResult = iota
	SaveGranted
	SavePending
	SaveUnresolved
)

// String returns the name of the result that is used in logs and metrics.
func (r SaveResult) String() string {
	switch r {
	case SaveGranted:
		return "granted"
	case SavePending:
		return "pending"
	case SaveUnresolved:
		return "unresolved"
	case SaveClosed:
	}
	return "closed"
}

// SaveEnd is what is known of the end of an attempt that was to save parts.
type SaveEnd int

// The ends: the engine may still be working on the request; it has never had it; and it has ended it.
const (
	SaveEndUnknown SaveEnd = iota
	SaveNotOrdered
	SaveEnded
)

// String returns the name of the end that is used in logs and metrics.
func (e SaveEnd) String() string {
	switch e {
	case SaveNotOrdered:
		return "not_ordered"
	case SaveEnded:
		return "ended"
	case SaveEndUnknown:
	}
	return "unknown"
}

// SaveTable holds the saves that may still be written, as the leader knows them in one term. Each part has at most
// one for each store. It is not safe for concurrent use.
type SaveTable struct {
	createdAt time.Time
	// recorded is true if every save that may be under way is in the table.
	recorded bool
	saves    map[string]map[Part]*pendingSave
	count    int
}

type pendingSave struct {
	Save
	// since is when the save was recorded, or when the term began if that was later.
	since time.Time
	// isCommitted is true once the control log holds the save.
	isCommitted bool
	// end and endedAt are set once the end of the attempt was reported. abandoned is true if it was reported
	// without that being known.
	end       SaveEnd
	endedAt   time.Time
	abandoned bool
	checkedAt time.Time
}

// NewSaveTable returns the table at the beginning of a term, with the saves that the control log holds.
func NewSaveTable(committed Committed, now time.Time) *SaveTable {
	t := &SaveTable{createdAt: now, recorded: committed.SavesRecorded, saves: map[string]map[Part]*pendingSave{}}
	for _, s := range committed.Saves {
		t.add(&pendingSave{Save: s, since: now, isCommitted: true})
	}
	return t
}

func (t *SaveTable) add(p *pendingSave) {
	if t.saves[p.Store] == nil {
		t.saves[p.Store] = map[Part]*pendingSave{}
	}
	t.saves[p.Store][p.Part] = p
	t.count++
}

func (t *SaveTable) remove(s Save) {
	known := t.saves[s.Store][s.Part]
	if known == nil || known.Holder != s.Holder {
		return
	}
	delete(t.saves[s.Store], s.Part)
	t.count--
}

// Reserve adds a save that is to be recorded, unless another one of the part to the store is there.
func (t *SaveTable) Reserve(s Save, now time.Time) SaveResult {
	known := t.saves[s.Store][s.Part]
	switch {
	case known == nil && t.count >= maxSaves:
		return SaveClosed
	case known == nil:
		t.add(&pendingSave{Save: s, since: now})
		return SaveGranted
	case known.abandoned || known.isOverdue(now):
		return SaveUnresolved
	}
	return SavePending
}

// Commit notes that the control log holds a save, or does not if isGranted is false.
func (t *SaveTable) Commit(s Save, isGranted bool) {
	if !isGranted {
		t.remove(s)
		return
	}
	if known := t.saves[s.Store][s.Part]; known != nil && known.Holder == s.Holder {
		known.isCommitted = true
	}
}

// End notes the end of a holder's attempt.
func (t *SaveTable) End(holder string, end SaveEnd, now time.Time) {
	for _, parts := range t.saves {
		for _, p := range parts {
			if p.Holder != holder || p.end != SaveEndUnknown {
				continue
			}
			p.end, p.endedAt = end, now
			p.abandoned = end == SaveEndUnknown
		}
	}
}

// IsPending reports whether a part may still be written to a store.
func (t *SaveTable) IsPending(store string, part Part) bool { return t.saves[store][part] != nil }

// Len returns the number of saves.
func (t *SaveTable) Len() int { return t.count }

// pendingTokens returns how many tokens the saves to a store take, without the parts that it has already.
func (t *SaveTable) pendingTokens(store string, held map[Part]int) int {
	tokens := 0
	for part, p := range t.saves[store] {
		if held[part] == 0 {
			tokens += roundUp(p.Tokens)
		}
	}
	return tokens
}

// Settled returns the saves after which nothing can be written any more. One that an engine had is settled once
// isHeld reports the part as complete in the store, or the save would have been dropped by now: it has been the
// only one of its part.
func (t *SaveTable) Settled(isHeld func(store string, part Part) bool, now time.Time) []Save {
	var out []Save
	for _, parts := range t.saves {
		for _, p := range parts {
			if p.isCommitted && p.isSettled(isHeld, now) {
				out = append(out, p.Save)
			}
		}
	}
	sortSaves(out)
	return out
}

func (p *pendingSave) isSettled(isHeld func(store string, part Part) bool, now time.Time) bool {
	switch p.end {
	case SaveNotOrdered:
		return true
	case SaveEnded:
		return isHeld(p.Store, p.Part) || now.Sub(p.endedAt) >= maxMoveWait
	case SaveEndUnknown:
	}
	return false
}

// Remove removes saves that the control log does not hold any more.
func (t *SaveTable) Remove(saves []Save) {
	for _, s := range saves {
		t.remove(s)
	}
}

// UnresolvedSave is a save whose attempt may have ended.
type UnresolvedSave struct {
	Save
	// IsOverdue is true if the deadline has passed by which the engine ends the request.
	IsOverdue bool
}

// TakeUnresolved returns the saves of which only their engines know whether the requests have ended, each at most
// once in checkPause.
func (t *SaveTable) TakeUnresolved(now time.Time) []UnresolvedSave {
	var out []UnresolvedSave
	for _, store := range slices.Sorted(maps.Keys(t.saves)) {
		for _, p := range t.saves[store] {
			isOverdue := p.isOverdue(now)
			isDue := isOverdue || p.abandoned && now.Sub(p.endedAt) >= reportLag
			if !p.isCommitted || p.end != SaveEndUnknown || !isDue || now.Sub(p.checkedAt) < checkPause {
				continue
			}
			p.checkedAt = now
			out = append(out, UnresolvedSave{p.Save, isOverdue})
		}
	}
	return out
}

// isOverdue reports whether the deadline has passed by which the engine ends the request.
func (p *pendingSave) isOverdue(now time.Time) bool {
	return now.Sub(p.since) >= p.Remaining+deadlineMargin
}

// IsRecorded reports whether every save that may be under way is in the table. A control log of earlier software, or
// one that was founded anew, does not hold the saves that were ordered before: they end with their requests, whose
// longest timeout is given.
func (t *SaveTable) IsRecorded(longest time.Duration, now time.Time) bool {
	return t.recorded || now.Sub(t.createdAt) >= longest+deadlineMargin+maxMoveWait
}

// SetRecorded notes that the control log holds the record that all saves are recorded; IsCommittedRecorded reports it.
func (t *SaveTable) SetRecorded() { t.recorded = true }

// IsCommittedRecorded reports whether the control log holds the record that all saves are recorded.
func (t *SaveTable) IsCommittedRecorded() bool { return t.recorded }

func sortSaves(saves []Save) {
	slices.SortFunc(saves, func(a, b Save) int {
		switch {
		case a.Store+a.Salt+a.ID < b.Store+b.Salt+b.ID:
			return -1
		case a.Store+a.Salt+a.ID > b.Store+b.Salt+b.ID:
			return 1
		}
		return 0
	})
}

// roundUp returns the space that a part takes in a store, in tokens.
func roundUp(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
