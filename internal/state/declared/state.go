package declared

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// HistoryLength is the number of accepted changes whose digests are retained, so that
// a change that is sent again after its answer was lost is recognized. At the expected 13,000
// changes a day the history covers a little over seven hours. A change that is sent
// again later gets a conflict and is never applied twice, because its version is no
// longer the next one.
const HistoryLength = 4096

// Result is one of Accepted, Conflict or Rejected.
type Result interface{ sealed() }

// Accepted is the result for a change that is in force, or was accepted before.
type Accepted struct {
	// Revision is the revision of the declared state at which the change was accepted.
	Revision uint64
	// Resent is true when the same change was already accepted before this call.
	Resent bool
}

// Conflict is the result for a document whose version is not the next one.
type Conflict struct {
	// Current is the version in force; only Current+1 can be accepted next.
	Current uint64
	// Differences lists, for the operator, the lines in which the submitted text differs
	// from the one in force.
	Differences []string
}

// Rejected is the result for a change that would make the declared state invalid.
type Rejected struct {
	// Faults is never empty.
	Faults []Fault
}

func (Accepted) sealed() {}
func (Conflict) sealed() {}
func (Rejected) sealed() {}

// accepted is the history's record of one accepted change.
type accepted struct {
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// State is the complete declared state at one revision. Its methods modify it in
// place; Clone it before sharing it.
type State struct {
	// revision never decreases; each accepted change increments it by one.
	revision uint64
	// docs holds at most one document of each kind; all references between them are valid.
	docs map[Kind]*Document
	// history is ordered by revision and holds at most HistoryLength changes.
	history []accepted
	// superseded holds, for each model, the weight version that was declared before the one in
	// force.
	superseded map[string]string
	// evacuated holds the evacuated failure domains, sorted by name.
	evacuated []string
	index     index
}

// index holds lookup tables built from docs.
type index struct {
	teams     map[string]Team
	models    map[string]Model
	services  map[string]Service
	upstreams []Upstream
	stores    []Store
}

// New returns the empty declared state at revision 0.
func New() *State {
	return &State{docs: map[Kind]*Document{}, superseded: map[string]string{}, index: newIndex(nil)}
}

// Clone returns a copy that shares only immutable data with s.
func (s *State) Clone() *State {
	c := &State{revision: s.revision, docs: map[Kind]*Document{}, superseded: maps.Clone(s.superseded), evacuated: s.evacuated, index: s.index}
	for k, d := range s.docs {
		c.docs[k] = d
	}
	c.history = append([]accepted(nil), s.history...)
	return c
}

// Revision returns the number of changes accepted so far.
func (s *State) Revision() uint64 { return s.revision }

// Document returns the document in force; ok is false when there is none.
func (s *State) Document(kind Kind) (d *Document, ok bool) {
	d, ok = s.docs[kind]
	return d, ok
}

// Apply accepts or rejects one change. It is deterministic: replicas that apply the
// same changes in the same order reach the same state.
func (s *State) Apply(d *Document) Result {
	digest := d.Digest()
	for _, change := range s.history {
		if change.Digest == digest {
			return Accepted{Revision: change.Revision, Resent: true}
		}
	}
	var current uint64
	old, ok := s.docs[d.kind]
	if ok {
		current = old.version
	}
	if d.version != current+1 {
		return Conflict{Current: current, Differences: lineDiff(old, d)}
	}
	faults := s.danglingReferences(d, false)
	if len(faults) > 0 {
		return Rejected{Faults: faults}
	}
	s.docs[d.kind] = d
	s.revision++
	s.recordAccepted(accepted{Digest: digest, Revision: s.revision})
	s.rebuildIndex()
	return Accepted{Revision: s.revision}
}

func (s *State) recordAccepted(a accepted) {
	s.history = append(s.history, a)
	if len(s.history) > HistoryLength {
		s.history = append([]accepted(nil), s.history[1:]...)
	}
}

// Install puts documents in force at a revision without checking their versions or
// references; it is for processes that follow a control replica, which has checked them.
func (s *State) Install(revision uint64, docs ...*Document) {
	if revision < s.revision {
		panic(fmt.Sprintf("declared: revision would fall from %d to %d", s.revision, revision))
	}
	for _, d := range docs {
		s.docs[d.kind] = d
	}
	s.revision = revision
	s.rebuildIndex()
}

// rebuildIndex rebuilds the index, and records the weight versions that it supersedes.
func (s *State) rebuildIndex() {
	before := s.index.models
	s.index = newIndex(s.docs)
	s.recordSuperseded(before)
}

// danglingReferences returns a fault for each reference between documents that would not
// resolve if d were in force. If partial is set, references to a kind without a document
// are not checked.
func (s *State) danglingReferences(d *Document, partial bool) []Fault {
	docs := map[Kind]*Document{}
	for k, v := range s.docs {
		docs[k] = v
	}
	docs[d.kind] = d
	ix := newIndex(docs)
	var faults []Fault
	report := func(owner Kind, field, format string, args ...any) {
		if owner == d.kind {
			faults = append(faults, d.fault(field, format, args...))
			return
		}
		// The reference stands in another document, and this change breaks it.
		reason := fmt.Sprintf(format, args...)
		faults = append(faults, d.fault(string(d.kind), "the %s document in force still needs it: %s: %s", owner, field, reason))
	}
	skip := func(kind Kind) bool { return partial && docs[kind] == nil }
	if teams, ok := docs[KindTeams]; ok {
		checkTeams(teams, ix, skip, report)
	}
	if upstreams, ok := docs[KindUpstreams]; ok {
		for i, u := range upstreams.body.Upstreams {
			if _, ok := ix.models[u.Model]; !ok && !skip(KindModels) {
				report(KindUpstreams, fmt.Sprintf("upstreams[%d].model", i), "there is no model %q", u.Model)
			}
		}
	}
	return faults
}

func checkTeams(teams *Document, ix index, skip func(Kind) bool, report func(Kind, string, string, ...any)) {
	for i, t := range teams.body.Teams {
		for j, m := range t.Models {
			if _, ok := ix.models[m]; !ok && !skip(KindModels) {
				report(KindTeams, fmt.Sprintf("teams[%d].models[%d]", i, j), "there is no model %q", m)
			}
		}
		for j, name := range t.Services {
			if _, ok := ix.services[name]; !ok && !skip(KindServices) {
				report(KindTeams, fmt.Sprintf("teams[%d].services[%d]", i, j), "there is no service %q", name)
			}
		}
	}
}

func newIndex(docs map[Kind]*Document) index {
	ix := index{teams: map[string]Team{}, models: map[string]Model{}, services: map[string]Service{}}
	for _, kind := range Kinds() {
		d, ok := docs[kind]
		if !ok {
			continue
		}
		for _, f := range d.body.Teams {
			ix.teams[f.Name] = Team{f}
		}
		for _, f := range d.body.Models {
			ix.models[f.Name] = Model{f}
		}
		for _, f := range d.body.Services {
			ix.services[f.Name] = Service{f}
		}
		for _, f := range d.body.Upstreams {
			ix.upstreams = append(ix.upstreams, Upstream{f})
		}
		for _, f := range d.body.Stores {
			ix.stores = append(ix.stores, Store{f})
		}
	}
	return ix
}

// Team returns the team of that name.
func (s *State) Team(name string) (Team, bool) {
	t, ok := s.index.teams[name]
	return t, ok
}

// TeamByKey returns the team that owns a key. To avoid a timing side channel, each digest
// is compared in constant time and all digests are compared even after a match.
func (s *State) TeamByKey(key string) (Team, bool) {
	sum := sha256.Sum256([]byte(key))
	keyDigest := []byte(hex.EncodeToString(sum[:]))
	var owner Team
	found := 0
	for _, t := range s.index.teams {
		for _, digest := range t.f.KeyDigests {
			if subtle.ConstantTimeCompare(keyDigest, []byte(digest)) == 1 {
				owner = t
				found = 1
			}
		}
	}
	return owner, found == 1
}

// Model returns the model of that name.
func (s *State) Model(name string) (Model, bool) {
	m, ok := s.index.models[name]
	return m, ok
}

// Service returns the plain service of that name.
func (s *State) Service(name string) (Service, bool) {
	v, ok := s.index.services[name]
	return v, ok
}

// Upstreams returns every declared upstream, in the order of the document.
func (s *State) Upstreams() []Upstream { return s.index.upstreams }

// Stores returns every declared store, in the order of the document.
func (s *State) Stores() []Store { return s.index.stores }

// UpstreamsInRegionOf returns the declared upstreams in the region of a failure domain,
// in the order of the document.
func (s *State) UpstreamsInRegionOf(failureDomain string) []Upstream {
	var out []Upstream
	for _, u := range s.index.upstreams {
		if s.SameRegion(u.FailureDomain(), failureDomain) {
			out = append(out, u)
		}
	}
	return out
}

// SameRegion reports whether two failure domains belong to one region.
func (s *State) SameRegion(a, b string) bool {
	c := s.Control()
	return a == b || c.Region(a) == c.Region(b)
}

// Teams returns the number of declared teams.
func (s *State) Teams() int { return len(s.index.teams) }

// Control returns the control declaration, or an empty one when none is in force.
func (s *State) Control() Control {
	d, ok := s.docs[KindControl]
	if !ok {
		return Control{}
	}
	return Control{*d.body.Control}
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Revision  uint64          `json:"revision"`
	Documents map[Kind][]byte `json:"documents"`
	History   []accepted      `json:"history"`
	// Superseded maps models to their superseded weight versions.
	Superseded map[string]string `json:"superseded,omitempty"`
	Evacuated  []string          `json:"evacuated,omitempty"`
}

// Marshal encodes the state for a snapshot.
func (s *State) Marshal() ([]byte, error) {
	out := snapshot{Revision: s.revision, Documents: map[Kind][]byte{}, History: s.history, Superseded: s.superseded, Evacuated: s.evacuated}
	for k, d := range s.docs {
		out.Documents[k] = d.text
	}
	b, err := json.Marshal(out)
	return b, errors.Wrap(err, "encode declared state")
}

// Unmarshal decodes a state encoded by Marshal.
func Unmarshal(b []byte) (*State, error) {
	var in snapshot
	err := json.Unmarshal(b, &in)
	if err != nil {
		return nil, errors.Wrap(err, "decode declared state")
	}
	s := New()
	s.revision = in.Revision
	s.history = in.History
	s.evacuated = in.Evacuated
	if in.Superseded != nil {
		s.superseded = in.Superseded
	}
	for kind, text := range in.Documents {
		d, faults := Parse("snapshot", text)
		if len(faults) > 0 {
			return nil, errors.Errorf("decode declared state: document %s: %s", kind, faults[0])
		}
		s.docs[kind] = d
	}
	s.index = newIndex(s.docs)
	return s, nil
}

// ModelNames returns the names of the declared models, sorted.
func (s *State) ModelNames() []string {
	names := make([]string, 0, len(s.index.models))
	for name := range s.index.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// CheckReferences returns the dangling references that there would be if all the
// documents were in force together. References to a kind without a document cannot
// be checked here; Apply checks them.
func (s *State) CheckReferences(docs []*Document) []Fault {
	combined := s.Clone()
	for _, d := range docs {
		combined.docs[d.kind] = d
	}
	var faults []Fault
	for _, d := range docs {
		if combined.docs[d.kind] != d {
			faults = append(faults, d.fault("document", "another file also declares %s", d.kind))
			continue
		}
		for _, f := range combined.danglingReferences(d, true) {
			// Faults in other documents are reported when that document is checked, with its file.
			if !strings.Contains(f.Reason, "document in force still needs it") {
				faults = append(faults, f)
			}
		}
	}
	return faults
}
