package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/chunks"
	"github.com/shedrock/shedrock/internal/state/registry"
)

func fromReport(r registry.Report, now time.Time) *wire.InstanceReport {
	out := &wire.InstanceReport{
		Id: r.ID, Start: int64(r.Start), Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain, Slots: uint32(r.Slots),
		Leaving: r.Leaving, Silent: r.Silent, Left: r.Left, Sequence: r.Sequence, Weights: fromWeights(r.Weights),
		AgeMilliseconds:        uint64(now.Sub(r.FirstSeen).Milliseconds()),
		WeightsAgeMilliseconds: uint64(now.Sub(r.WeightsProvenance.At).Milliseconds()), WeightsAsked: r.WeightsProvenance.Queried,
		ColdMilliseconds: uint32(max(0, r.ColdUntil.Sub(now).Milliseconds())), SoftwareVersion: r.SoftwareVersion,
	}
	if !r.DepartedAt.IsZero() {
		out.DepartedMilliseconds = proto.Uint64(uint64(max(0, now.Sub(r.DepartedAt).Milliseconds())))
	}
	return out
}

// toReport converts a report that was received from the source at the address from.
func toReport(in *wire.InstanceReport, from string, now time.Time) registry.Report {
	out := registry.Report{
		Instance: registry.Instance{
			ID: in.Id, Start: registry.Start(in.Start), Service: in.Service, Address: in.Address, FailureDomain: in.FailureDomain, Slots: int(in.Slots),
			Leaving: in.Leaving, Sequence: in.Sequence, Weights: toWeights(in.Weights), SoftwareVersion: in.SoftwareVersion,
			ColdUntil:         coldUntil(in.ColdMilliseconds, now),
			WeightsProvenance: registry.Provenance{At: ago(now, in.WeightsAgeMilliseconds), Queried: in.WeightsAsked, Via: from},
		},
		Silent: in.Silent, Left: in.Left, FirstSeen: ago(now, in.AgeMilliseconds),
	}
	if in.DepartedMilliseconds != nil {
		out.DepartedAt = ago(now, *in.DepartedMilliseconds)
	}
	return out
}

// coldUntil returns the time until which an instance is cold. It is zero for one that is not cold,
// so that its next heartbeat is no change.
func coldUntil(milliseconds uint32, now time.Time) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(milliseconds) * time.Millisecond)
}

// ago returns the time that lies the given number of milliseconds back.
func ago(now time.Time, milliseconds uint64) time.Time {
	return now.Add(-time.Duration(milliseconds) * time.Millisecond)
}

// fromWeights lists the versions ordered by model, so that equal maps give equal lists.
func fromWeights(versions map[string]uint64) []*wire.WeightVersion {
	var out []*wire.WeightVersion
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		out = append(out, &wire.WeightVersion{Model: model, Version: versions[model]})
	}
	return out
}

func toWeights(in []*wire.WeightVersion) map[string]uint64 {
	out := make(map[string]uint64, len(in))
	for _, w := range in {
		out[w.Model] = w.Version
	}
	return out
}

// anyNewer reports whether any of the versions is higher than the known one.
func anyNewer(versions, known map[string]uint64) bool {
	for model, version := range versions {
		if version > known[model] {
			return true
		}
	}
	return false
}

func fromIncarnations(list []registry.Incarnation) []*wire.Incarnation {
	var out []*wire.Incarnation
	for _, in := range list {
		out = append(out, &wire.Incarnation{Id: in.ID, Start: int64(in.Start)})
	}
	return out
}

func toIncarnations(list []*wire.Incarnation) []registry.Incarnation {
	var out []registry.Incarnation
	for _, in := range list {
		out = append(out, registry.Incarnation{ID: in.Id, Start: registry.Start(in.Start)})
	}
	return out
}

func fromRefs(refs []chunks.Ref) []*wire.ConfigurationPiece {
	out := make([]*wire.ConfigurationPiece, 0, len(refs))
	for _, ref := range refs {
		out = append(out, &wire.ConfigurationPiece{Id: ref.ID[:], Size: uint32(ref.Size)})
	}
	return out
}

func toRefs(in []*wire.ConfigurationPiece) ([]chunks.Ref, error) {
	out := make([]chunks.Ref, 0, len(in))
	for i, piece := range in {
		id, ok := chunks.ParseID(piece.Id)
		if !ok {
			return nil, errors.Errorf("manifest[%d].id: has %d bytes", i, len(piece.Id))
		}
		out = append(out, chunks.Ref{ID: id, Size: int(piece.Size)})
	}
	return out, nil
}

func fromIDs(ids []chunks.ID) [][]byte {
	out := make([][]byte, 0, len(ids))
	for _, id := range ids {
		out = append(out, id[:])
	}
	return out
}

// toIDs converts ids. Malformed ids, which name no piece, are left out.
func toIDs(in [][]byte) []chunks.ID {
	out := make([]chunks.ID, 0, len(in))
	for _, b := range in {
		if id, ok := chunks.ParseID(b); ok {
			out = append(out, id)
		}
	}
	return out
}

// toEntryPeers returns the entries of an answer by name. A source of an earlier version sends their names only.
func toEntryPeers(in *wire.FleetResponse) map[string]entryPeer {
	out := make(map[string]entryPeer, len(in.EntryNames))
	for i, name := range in.EntryNames {
		var p entryPeer
		if i < len(in.EntryPeers) {
			p = toEntryPeer(in.EntryPeers[i])
		}
		out[name] = p
	}
	return out
}
