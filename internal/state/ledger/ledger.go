// Package ledger is the state above the control log: the declared state, the
// at-most-once records, and the tokens that fence orders.
//
// It changes only by Execute, which is deterministic: every replica that
// executes the same commands in the same order holds the same ledger. It is not
// safe for concurrent use.
package ledger

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/evacuation"
)

// Ledger is the state. Make one with New or Unmarshal.
type Ledger struct {
	// now is the log's time in milliseconds since 1970; it never falls.
	now      int64
	declared *declared.State
	records  map[identity]Record
	// order holds the identities of records by age; released ones may linger.
	order          []identity
	tombstones     map[tombstone]int64
	tombstoneOrder []tombstone
	// released holds those who took a reservation back before it was known, each with when, and
	// releasedOrder the same by age: their reservations may still come.
	released      map[string]int64
	releasedOrder []string
	// token only rises; the holder of the highest may give orders.
	token       uint64
	tokenHolder string
	// installed is the whole configuration with the highest version so far.
	installed Installed
	// weights holds the highest weight version named for each model, and required the one
	// before which no request may begin any more, which is never above it.
	weights, required map[string]uint64
	evacuations       *evacuation.Table
}

// Installed is a whole configuration as its operator sent it. It is a plain value;
// version 0 means that there is none.
type Installed struct {
	Version uint64
	Text    []byte
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		declared:   declared.New(),
		records:    map[identity]Record{},
		tombstones: map[tombstone]int64{},
		released:   map[string]int64{},
		weights:    map[string]uint64{},
		required:   map[string]uint64{},

		evacuations: &evacuation.Table{},
	}
}

// Result is one of Applied, Reservation, RecordResult, Token, CurrentVersion, Evacuated or Malformed.
type Result interface{ result() }

// Applied is the result of an apply command.
type Applied struct{ Result declared.Result }

// Reservation is the result of a reserve command.
type Reservation struct{ Result ReserveResult }

// RecordResult is the result of a finish or release command; OK is false when the
// record is not the holder's.
type RecordResult struct{ OK bool }

// Token is the result of taking a token.
type Token struct{ Value uint64 }

// CurrentVersion is the result of installing a configuration, or of naming or requiring weights: the
// version that holds afterwards.
type CurrentVersion struct{ Version uint64 }

// Evacuated is the result of starting or ending an evacuation: the failure domain as it is then.
type Evacuated struct{ Domain evacuation.Domain }

// Malformed says that a command holds nothing that this binary knows. It changes
// nothing.
type Malformed struct{}

func (Applied) result()        {}
func (Reservation) result()    {}
func (RecordResult) result()   {}
func (Token) result()          {}
func (CurrentVersion) result() {}
func (Evacuated) result()      {}
func (Malformed) result()      {}

// Execute carries out one command.
func (l *Ledger) Execute(data []byte) Result {
	var c command.Command
	err := proto.Unmarshal(data, &c)
	if err != nil {
		return Malformed{}
	}
	l.now = max(l.now, c.At)
	l.expire()
	switch body := c.Body.(type) {
	case *command.Command_Apply:
		return Applied{l.apply(body.Apply)}
	case *command.Command_Reserve:
		return Reservation{l.reserve(body.Reserve)}
	case *command.Command_Finish:
		return RecordResult{l.finish(body.Finish)}
	case *command.Command_Release:
		return RecordResult{l.release(body.Release)}
	case *command.Command_TakeToken:
		l.token++
		l.tokenHolder = body.TakeToken.Holder
		return Token{l.token}
	case *command.Command_Install:
		if body.Install.Version > l.installed.Version {
			l.installed = Installed{body.Install.Version, body.Install.Text}
		}
		return CurrentVersion{l.installed.Version}
	case *command.Command_NameWeights:
		model := body.NameWeights.Model
		l.weights[model] = max(l.weights[model], body.NameWeights.Version)
		return CurrentVersion{l.weights[model]}
	case *command.Command_RequireWeights:
		model := body.RequireWeights.Model
		l.required[model] = max(l.required[model], min(body.RequireWeights.Version, l.weights[model]))
		return CurrentVersion{l.required[model]}
	case *command.Command_Evacuate:
		return Evacuated{l.evacuate(body.Evacuate)}
	}
	return Malformed{}
}

// Installed returns the whole configuration that holds.
func (l *Ledger) Installed() Installed { return l.installed }

// Weights returns the newest weight version named for each model, as a copy.
func (l *Ledger) Weights() map[string]uint64 { return maps.Clone(l.weights) }

// RequiredWeights returns the version of each model before which no request may begin any
// more, as a copy.
func (l *Ledger) RequiredWeights() map[string]uint64 { return maps.Clone(l.required) }

// evacuate makes the declared state say what the book does.
func (l *Ledger) evacuate(c *command.Evacuate) evacuation.Domain {
	before := l.evacuations.Domain(c.Domain)
	d := l.evacuations.Change(c.Domain, c.End, c.Seen)
	if d == before {
		return d
	}
	var evacuated []string
	for _, other := range l.evacuations.All() {
		if other.Evacuated {
			evacuated = append(evacuated, other.Name)
		}
	}
	l.declared.Evacuate(evacuated)
	return d
}

// Evacuations returns the failure domains that were evacuated, which must not be changed.
func (l *Ledger) Evacuations() *evacuation.Table { return l.evacuations }

func (l *Ledger) apply(c *command.Apply) declared.Result {
	d, faults := declared.Parse(c.File, c.Text)
	if len(faults) > 0 {
		return declared.Rejected{Faults: faults}
	}
	return l.declared.Apply(d)
}

// Declared returns the declared state. It must not be changed, and is only valid
// until the next Execute.
func (l *Ledger) Declared() *declared.State { return l.declared }

// RecordCount returns the number of records kept.
func (l *Ledger) RecordCount() int { return len(l.records) }

// Token returns the highest token given and its holder.
func (l *Ledger) Token() (value uint64, holder string) { return l.token, l.tokenHolder }

// Marshal encodes the ledger for a snapshot.
func (l *Ledger) Marshal() ([]byte, error) {
	d, err := l.declared.Marshal()
	if err != nil {
		return nil, err
	}
	out := &command.Ledger{Now: l.now, Declared: d, Token: l.token, TokenHolder: l.tokenHolder}
	if l.installed.Version > 0 {
		out.Installed = &command.Install{Version: l.installed.Version, Text: l.installed.Text}
	}
	for _, model := range slices.Sorted(maps.Keys(l.weights)) {
		out.Weights = append(out.Weights, &command.NameWeights{Model: model, Version: l.weights[model]})
	}
	for _, model := range slices.Sorted(maps.Keys(l.required)) {
		out.Required = append(out.Required, &command.RequireWeights{Model: model, Version: l.required[model]})
	}
	for _, d := range l.evacuations.All() {
		out.Evacuations = append(out.Evacuations, &command.Evacuation{Domain: d.Name, Evacuated: d.Evacuated, Revision: d.Revision})
	}
	written := map[identity]bool{}
	for _, id := range l.order {
		r, ok := l.records[id]
		if !ok || written[id] {
			continue
		}
		written[id] = true
		out.Records = append(out.Records, &command.Record{
			Team: id.team, Key: id.key, Digest: r.digest, Holder: r.holder,
			At: r.at, Phase: uint32(r.phase), Answer: r.answer,
		})
	}
	for _, holder := range l.releasedOrder {
		out.Released = append(out.Released, &command.Released{Holder: holder, At: l.released[holder]})
	}
	for _, t := range l.tombstoneOrder {
		out.Tombstones = append(out.Tombstones, &command.Tombstone{Digest: t[:], At: l.tombstones[t]})
	}
	b, err := proto.Marshal(out)
	return b, errors.Wrap(err, "encode ledger")
}

// Unmarshal decodes a ledger written by Marshal.
func Unmarshal(b []byte) (*Ledger, error) {
	var in command.Ledger
	err := proto.Unmarshal(b, &in)
	if err != nil {
		return nil, errors.Wrap(err, "decode ledger")
	}
	l := New()
	l.now = in.Now
	l.token = in.Token
	l.tokenHolder = in.TokenHolder
	l.installed = Installed{in.GetInstalled().GetVersion(), in.GetInstalled().GetText()}
	for _, w := range in.Weights {
		l.weights[w.Model] = w.Version
	}
	for _, w := range in.Required {
		l.required[w.Model] = w.Version
	}
	var domains []evacuation.Domain
	for _, d := range in.Evacuations {
		domains = append(domains, evacuation.Domain{Name: d.Domain, Evacuated: d.Evacuated, Revision: d.Revision})
	}
	l.evacuations = evacuation.Restore(domains)
	l.declared, err = declared.Unmarshal(in.Declared)
	if err != nil {
		return nil, err
	}
	for _, r := range in.Records {
		id := identity{r.Team, r.Key}
		l.records[id] = Record{digest: r.Digest, holder: r.Holder, at: r.At, phase: Phase(r.Phase), answer: r.Answer}
		l.order = append(l.order, id)
	}
	for _, r := range in.Released {
		l.released[r.Holder] = r.At
		l.releasedOrder = append(l.releasedOrder, r.Holder)
	}
	for _, t := range in.Tombstones {
		if len(t.Digest) != len(tombstone{}) {
			return nil, errors.New("decode ledger: a tombstone of the wrong length")
		}
		l.tombstones[tombstone(t.Digest)] = t.At
		l.tombstoneOrder = append(l.tombstoneOrder, tombstone(t.Digest))
	}
	return l, nil
}

// Record returns the record of one call.
func (l *Ledger) Record(team, key string) (Record, bool) {
	r, ok := l.records[identity{team, key}]
	return r, ok
}
