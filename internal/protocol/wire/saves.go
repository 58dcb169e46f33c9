package wire

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// FromSaves gives the wire form of saves.
func FromSaves(saves []keeping.Save) []*SaveOrder {
	var out []*SaveOrder
	for _, s := range saves {
		out = append(out, &SaveOrder{
			Store: s.Store, Salt: s.Salt, Part: s.ID, Tokens: int64(s.Tokens), Holder: s.Holder, Request: s.Request,
			Engine: &Incarnation{Id: s.Engine.ID, Start: int64(s.Engine.Start)}, EngineAddress: s.EngineAddress, RemainingMilliseconds: s.Remaining.Milliseconds(),
		})
	}
	return out
}

// ToSaves is the inverse of FromSaves; ok is false unless each save names its store, part, holder and engine.
func ToSaves(in []*SaveOrder) (saves []keeping.Save, ok bool) {
	for _, m := range in {
		if m.Store == "" || m.Part == "" || m.Holder == "" || m.GetEngine().GetId() == "" || m.EngineAddress == "" {
			return nil, false
		}
		saves = append(saves, keeping.Save{
			Store: m.Store, Part: keeping.Part{Salt: m.Salt, ID: m.Part}, Tokens: int(max(m.Tokens, 0)), Holder: m.Holder, Request: m.Request,
			Engine: registry.Incarnation{ID: m.Engine.Id, Start: registry.Start(m.Engine.Start)}, EngineAddress: m.EngineAddress,
			Remaining: time.Duration(max(m.RemainingMilliseconds, 0)) * time.Millisecond,
		})
	}
	return saves, true
}

// saveResults holds the wire form of each result.
var saveResults = map[keeping.SaveResult]BeginSavesResponse_Result{
	keeping.SaveClosed: BeginSavesResponse_CLOSED, keeping.SaveGranted: BeginSavesResponse_GRANTED,
	keeping.SavePending: BeginSavesResponse_PENDING, keeping.SaveUnresolved: BeginSavesResponse_UNRESOLVED,
}

// FromSaveResults gives the wire form of results.
func FromSaveResults(results []keeping.SaveResult) []BeginSavesResponse_Result {
	var out []BeginSavesResponse_Result
	for _, r := range results {
		out = append(out, saveResults[r])
	}
	return out
}

// ToSaveResults is the inverse of FromSaveResults for n saves. A result that is missing or unknown grants nothing.
func ToSaveResults(in []BeginSavesResponse_Result, n int) []keeping.SaveResult {
	out := make([]keeping.SaveResult, n)
	for i := range min(n, len(in)) {
		for result, name := range saveResults {
			if name == in[i] {
				out[i] = result
			}
		}
	}
	return out
}

// FromSaveEnd gives the wire form of the end of an attempt.
func FromSaveEnd(end keeping.SaveEnd) EndSavesRequest_End {
	switch end {
	case keeping.SaveNotOrdered:
		return EndSavesRequest_NOT_ORDERED
	case keeping.SaveEnded:
		return EndSavesRequest_ENDED
	case keeping.SaveEndUnknown:
	}
	return EndSavesRequest_UNKNOWN
}

// ToSaveEnd is the inverse of FromSaveEnd. An end of later software counts as unknown.
func ToSaveEnd(in EndSavesRequest_End) keeping.SaveEnd {
	switch in {
	case EndSavesRequest_NOT_ORDERED:
		return keeping.SaveNotOrdered
	case EndSavesRequest_ENDED:
		return keeping.SaveEnded
	case EndSavesRequest_UNKNOWN:
	}
	return keeping.SaveEndUnknown
}
