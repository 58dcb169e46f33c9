package wire

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/arbiter"
	"github.com/shedrock/shedrock/internal/coordination/quarantine"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// FromArbiterRequest gives the wire form of a request for a decision.
func FromArbiterRequest(r arbiter.Request) *DecideRequest {
	return &DecideRequest{
		Id: r.ID, Digest: r.Digest[:], Service: r.Service, Key: r.Key, Tokens: int64(r.Tokens), Urgency: uint32(max(r.Urgency, 0)),
		Team: r.Team, Resumes: r.Resumes, Excluded: slices.Sorted(maps.Keys(r.Excluded)),
		ObjectiveMilliseconds: toMilliseconds(r.Objective), RemainingMilliseconds: toMilliseconds(r.Remaining),
	}
}

// ToArbiterRequest is the inverse of FromArbiterRequest; ok is false if the request has no id or no whole
// digest.
func ToArbiterRequest(m *DecideRequest) (r arbiter.Request, ok bool) {
	if m.Id == "" || len(m.Digest) != quarantine.DigestSize {
		return arbiter.Request{}, false
	}
	excluded := make(map[string]bool, len(m.Excluded))
	for _, id := range m.Excluded {
		excluded[id] = true
	}
	return arbiter.Request{
		ID: m.Id, Digest: quarantine.Digest(m.Digest), Service: m.Service, Key: m.Key, Tokens: int(max(m.Tokens, 0)), Urgency: int(m.Urgency),
		Team: m.Team, Resumes: m.Resumes, Excluded: excluded,
		Objective: time.Duration(m.ObjectiveMilliseconds) * time.Millisecond, Remaining: time.Duration(m.RemainingMilliseconds) * time.Millisecond,
	}, true
}

// FromDecision gives the wire form of a decision.
func FromDecision(d arbiter.Decision) *DecideResponse {
	switch d := d.(type) {
	case arbiter.Grant:
		return &DecideResponse{Result: DecideResponse_GRANTED, Engine: &Incarnation{Id: d.Engine.ID, Start: int64(d.Engine.Start)}, Free: int64(d.Free)}
	case arbiter.Refusal:
		return &DecideResponse{Result: DecideResponse_REFUSED, RetryAfterMilliseconds: toMilliseconds(d.RetryAfter), Reason: fromReason(d.Reason)}
	case arbiter.Unknown:
		return &DecideResponse{}
	}
	panic("wire: decision outside the sealed set")
}

// ToDecision is the inverse of FromDecision. A result that this build does not know is Unknown.
func ToDecision(m *DecideResponse) arbiter.Decision {
	switch m.Result {
	case DecideResponse_GRANTED:
		return arbiter.Grant{Engine: registry.Incarnation{ID: m.Engine.GetId(), Start: registry.Start(m.Engine.GetStart())}, Free: int(m.Free)}
	case DecideResponse_REFUSED:
		return arbiter.Refusal{RetryAfter: time.Duration(m.RetryAfterMilliseconds) * time.Millisecond, Reason: toReason(m.Reason)}
	}
	return arbiter.Unknown{}
}

func fromReason(r arbiter.Reason) DecideResponse_Reason {
	switch r {
	case arbiter.NoRoom:
		return DecideResponse_NO_ROOM
	case arbiter.OverShare:
		return DecideResponse_OVER_SHARE
	case arbiter.NoTime:
		return DecideResponse_NO_TIME
	}
	return DecideResponse_REASON_UNSPECIFIED
}

// toReason returns NoRoom for a reason that this build does not know.
func toReason(r DecideResponse_Reason) arbiter.Reason {
	switch r {
	case DecideResponse_OVER_SHARE:
		return arbiter.OverShare
	case DecideResponse_NO_TIME:
		return arbiter.NoTime
	}
	return arbiter.NoRoom
}

// toMilliseconds rounds up, so that a short duration does not become 0, which means none.
func toMilliseconds(d time.Duration) uint32 {
	rounded := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(rounded, math.MaxUint32))
}
