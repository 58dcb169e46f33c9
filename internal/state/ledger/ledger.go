// Package ledger is the state machine that is replicated by the control log: the declared
// state, the at-most-once records, and the fencing tokens of orders.
//
// It changes only by Execute, which is deterministic: every replica that
// executes the same commands in the same order has the same state.
package ledger

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/state/isolation"
)

// Ledger is the replicated state. Create one with New or Unmarshal. It is not safe for
// concurrent use.
type Ledger struct {
	// now is the highest time of any command so far, in Unix milliseconds; it never decreases.
	now      int64
	declared *declared.State
	records  map[callID]Record
	// order holds the ids of records, the oldest first. It may still contain released ones.
	order          []callID
	tombstones     map[tombstone]int64
	tombstoneOrder []tombstone
	// released maps the holders that released a reservation to the time of the release, as a delayed
	// reservation of such a holder may still arrive. releasedOrder holds the same holders, the oldest
	// first.
	released      map[string]int64
	releasedOrder []string
	// token never decreases; only the holder of the highest one may issue orders.
	token       uint64
	tokenHolder string
	// installed is the configuration with the highest version so far. Its SharedSince is kept by isolation.
	installed Installed
	isolation *isolation.History
	// weights holds the highest weights version announced for each model, and required the oldest
	// one on which a request may still begin, which is never above it.
	weights, required map[string]uint64
	evacuations       *evacuation.Table
	// openEpochs holds, by the stores' addresses, the epoch in which each was last known to be open for
	// saves. It is never 0.
	openEpochs map[string]uint64
	// saves holds the saves that may still be written, each the only one of its part and store. savesRecorded is
	// true if no others may be.
	saves         map[saveKey]*command.Save
	savesRecorded bool
	// software holds, by the services, the software versions at which streams have begun that may still go on.
	software map[string][]string
}

// saveKey identifies what one save at a time may write.
type saveKey struct{ store, salt, part string }

// Installed is a complete configuration as the operator sent it; version 0 means that
// there is none.
type Installed struct {
	Version uint64
	Text    []byte
	// SharedSince is the version since which its teams share cached context.
	SharedSince uint64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		declared:   declared.New(),
		records:    map[callID]Record{},
		tombstones: map[tombstone]int64{},
		released:   map[string]int64{},
		weights:    map[string]uint64{},
		required:   map[string]uint64{},

		evacuations: &evacuation.Table{},
		isolation:   &isolation.History{},
		openEpochs:  map[string]uint64{},
		saves:       map[saveKey]*command.Save{},
		software:    map[string][]string{},
	}
}

// Result is one of Applied, Reservation, RecordResult, Token, Installation, CurrentVersion, Evacuated,
// OpenedStore, BegunSaves, EndedSaves, RecordedSoftware
// or Malformed.
type Result interface{ result() }

// Applied is the result of an apply command.
type Applied struct{ Result declared.Result }

// Reservation is the result of a reserve command.
type Reservation struct{ Result ReserveResult }

// RecordResult is the result of a finish or release command; OK is false if the command did
// not apply to the record, as when another holder has it.
type RecordResult struct{ OK bool }

// Token is the result of a command that takes a token.
type Token struct{ Value uint64 }

// Installation is the result of installing a configuration.
type Installation struct {
	// Version is the version in force afterwards.
	Version uint64
	// Separation is set if cached context that was shared before is not used any more.
	Separation *isolation.Separation
}

// CurrentVersion is the result of announcing or requiring weights: the version in force afterwards.
type CurrentVersion struct{ Version uint64 }

// Evacuated is the result of starting or ending an evacuation: the state of the failure domain afterwards.
type Evacuated struct{ Domain evacuation.Domain }

// OpenedStore is the result of a command that says that a store was open for saves in an epoch.
type OpenedStore struct {
	Address string
	Epoch   uint64
}

// BegunSaves is the result of a command that records saves: whether each was recorded.
type BegunSaves struct{ Recorded []bool }

// EndedSaves is the result of a command that removes saves, or records that all are recorded.
type EndedSaves struct{}

// RecordedSoftware is the result of a command that records the software versions of a service.
type RecordedSoftware struct {
	Service  string
	Versions []string
}

// Malformed is the result of a command that this version cannot decode. The command has no
// effect except on the time.
type Malformed struct{}

func (Applied) result()          {}
func (Reservation) result()      {}
func (RecordResult) result()     {}
func (Token) result()            {}
func (Installation) result()     {}
func (CurrentVersion) result()   {}
func (Evacuated) result()        {}
func (OpenedStore) result()      {}
func (BegunSaves) result()       {}
func (EndedSaves) result()       {}
func (RecordedSoftware) result() {}
func (Malformed) result()        {}

// Execute executes one encoded command.
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
		return l.install(body.Install)
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
	case *command.Command_OpenStore:
		return l.openStore(body.OpenStore)
	case *command.Command_BeginSaves:
		return l.beginSaves(body.BeginSaves)
	case *command.Command_EndSaves:
		return l.endSaves(body.EndSaves)
	case *command.Command_RecordSoftware:
		return l.recordSoftware(body.RecordSoftware)
	case *command.Command_RecordSaves:
		l.savesRecorded = true
		return EndedSaves{}
	}
	return Malformed{}
}

// install puts a configuration in force if its version is above the one in force.
func (l *Ledger) install(c *command.Install) Installation {
	if c.Version <= l.installed.Version {
		return Installation{Version: l.installed.Version}
	}
	var teams *isolation.Teams
	if c.Teams != nil {
		teams = &isolation.Teams{Sharing: c.Teams.Sharing, Isolated: c.Teams.Isolated}
	}
	separation := l.isolation.Install(c.Version, teams)
	l.installed = Installed{Version: c.Version, Text: c.Text, SharedSince: l.isolation.Since()}
	return Installation{Version: c.Version, Separation: separation}
}

// Installed returns the configuration in force.
func (l *Ledger) Installed() Installed { return l.installed }

// Weights returns a copy of the newest weights version announced for each model.
func (l *Ledger) Weights() map[string]uint64 { return maps.Clone(l.weights) }

// RequiredWeights returns a copy of the oldest weights version of each model on which a request may
// begin.
func (l *Ledger) RequiredWeights() map[string]uint64 { return maps.Clone(l.required) }

// evacuate changes the evacuation of a failure domain and copies the result to the declared state.
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

// Evacuations returns the failure domains that were evacuated. The caller must not modify the table.
func (l *Ledger) Evacuations() *evacuation.Table { return l.evacuations }

func (l *Ledger) apply(c *command.Apply) declared.Result {
	d, faults := declared.Parse(c.File, c.Text)
	if len(faults) > 0 {
		return declared.Rejected{Faults: faults}
	}
	return l.declared.Apply(d)
}

// Declared returns the declared state. The caller must not modify it, and it is only valid
// until the next call of Execute.
func (l *Ledger) Declared() *declared.State { return l.declared }

// RecordCount returns the number of at-most-once records.
func (l *Ledger) RecordCount() int { return len(l.records) }

// Token returns the highest token issued and its holder.
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
		out.Isolation = &command.Isolation{Since: l.isolation.Since(), Complete: l.isolation.Complete(), Sharing: l.isolation.Sharing()}
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
	for _, address := range slices.Sorted(maps.Keys(l.openEpochs)) {
		out.OpenStores = append(out.OpenStores, &command.OpenStore{Address: address, Epoch: l.openEpochs[address]})
	}
	out.Saves, out.SavesRecorded = l.Saves()
	for _, service := range slices.Sorted(maps.Keys(l.software)) {
		out.Software = append(out.Software, &command.RecordSoftware{Service: service, Versions: l.software[service]})
	}
	written := map[callID]bool{}
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
	l.isolation = restoreIsolation(&in)
	l.installed = Installed{in.GetInstalled().GetVersion(), in.GetInstalled().GetText(), l.isolation.Since()}
	for _, w := range in.Weights {
		l.weights[w.Model] = w.Version
	}
	for _, w := range in.Required {
		l.required[w.Model] = w.Version
	}
	for _, s := range in.OpenStores {
		l.openEpochs[s.Address] = s.Epoch
	}
	for _, s := range in.Saves {
		l.saves[keyOf(s)] = s
	}
	l.savesRecorded = in.SavesRecorded
	for _, s := range in.Software {
		l.software[s.Service] = s.Versions
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
		id := callID{r.Team, r.Key}
		l.records[id] = Record{digest: r.Digest, holder: r.Holder, at: r.At, phase: Phase(r.Phase), answer: r.Answer}
		l.order = append(l.order, id)
	}
	for _, r := range in.Released {
		l.released[r.Holder] = r.At
		l.releasedOrder = append(l.releasedOrder, r.Holder)
	}
	for _, t := range in.Tombstones {
		if len(t.Digest) != len(tombstone{}) {
			return nil, errors.New("decode ledger: tombstone digest has the wrong length")
		}
		l.tombstones[tombstone(t.Digest)] = t.At
		l.tombstoneOrder = append(l.tombstoneOrder, tombstone(t.Digest))
	}
	return l, nil
}

// restoreIsolation returns the history in a snapshot. Which teams have shared is unknown in one of earlier
// software.
func restoreIsolation(in *command.Ledger) *isolation.History {
	if in.Isolation == nil {
		return isolation.NewHistory(in.GetInstalled().GetVersion(), false, nil)
	}
	return isolation.NewHistory(in.Isolation.Since, in.Isolation.Complete, in.Isolation.Sharing)
}

// Record returns the record of a call.
func (l *Ledger) Record(team, key string) (Record, bool) {
	r, ok := l.records[callID{team, key}]
	return r, ok
}
