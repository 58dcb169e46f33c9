package wire

import (
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// FromApply gives the wire form of the result of an apply.
func FromApply(result declared.Result) *ApplyResponse {
	switch result := result.(type) {
	case declared.Accepted:
		return &ApplyResponse{Result: ApplyResponse_ACCEPTED, Revision: result.Revision, Resent: result.Resent}
	case declared.Conflict:
		return &ApplyResponse{Result: ApplyResponse_CONFLICT, CurrentVersion: result.Current, Differences: result.Differences}
	case declared.Rejected:
		out := &ApplyResponse{Result: ApplyResponse_REJECTED}
		for _, f := range result.Faults {
			out.Faults = append(out.Faults, &Fault{File: f.File, Line: int32(f.Line), Field: f.Field, Reason: f.Reason})
		}
		return out
	}
	panic("wire: apply result outside the sealed set")
}

// FromReserve gives the wire form of the result of a reserve.
func FromReserve(result ledger.ReserveResult) *ReserveResponse {
	switch result := result.(type) {
	case ledger.Granted:
		return &ReserveResponse{Result: ReserveResponse_GRANTED}
	case ledger.Existing:
		return &ReserveResponse{Result: ReserveResponse_KNOWN, Record: FromRecord(result.Record)}
	case ledger.BodyMismatch:
		return &ReserveResponse{Result: ReserveResponse_OTHER_BODY}
	case ledger.Expired:
		return &ReserveResponse{Result: ReserveResponse_EXPIRED}
	case ledger.Full:
		return &ReserveResponse{Result: ReserveResponse_FULL}
	}
	panic("wire: reserve result outside the sealed set")
}

// FromRecord gives the wire form of a record.
func FromRecord(r ledger.Record) *Record {
	out := &Record{Holder: r.Holder()}
	switch r.Phase() {
	case ledger.Reserved:
		out.Phase = Record_RESERVED
	case ledger.Finished:
		out.Phase = Record_FINISHED
	case ledger.Unresolved:
		out.Phase = Record_UNRESOLVED
	}
	if a := r.Answer(); a != nil {
		out.Status = a.Status
		out.ContentType = a.ContentType
		out.Answer = a.Body
		out.AnswerKept = a.Kept
	}
	return out
}

// ToFinishCommand gives the command that a finish request asks for.
func ToFinishCommand(in *FinishRequest) *command.Command {
	if in.End == FinishRequest_NOT_SENT {
		release := &command.Release{Team: in.Team, Key: in.Key, Holder: in.Holder}
		return &command.Command{Body: &command.Command_Release{Release: release}}
	}
	finish := &command.Finish{Team: in.Team, Key: in.Key, Holder: in.Holder}
	if in.End == FinishRequest_ANSWERED && in.Record != nil {
		finish.Answer = &command.Answer{
			Status: in.Record.Status, ContentType: in.Record.ContentType,
			Body: in.Record.Answer, Kept: in.Record.AnswerKept,
		}
	}
	return &command.Command{Body: &command.Command_Finish{Finish: finish}}
}
