package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// MetaLeader names the leader's address in the metadata of a refusal.
const MetaLeader = "leader"

// MetaLost marks a command that was appended and will never commit.
const MetaLost = "lost"

// controlService answers entries and operators.
type controlService struct{ r *Replica }

// commit has a command committed, and returns its result.
func (s controlService) commit(ctx context.Context, c *command.Command) (ledger.Result, error) {
	// The time of day: keys of callers carry it, and all replicas compare by it.
	c.At = time.Now().UnixMilli()
	ch := make(chan reply, 1)
	if !s.r.push(ctx, proposal{c, ch}) {
		return nil, twirp.NewError(twirp.Unavailable, "the replica is too busy")
	}
	select {
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the command may commit later")
	case answer := <-ch:
		switch answer := answer.(type) {
		case done:
			return answer.result, nil
		case refused:
			return nil, notLeading(answer.leader)
		case lost:
			return nil, twirp.NewError(twirp.Unavailable, "the command was replaced").WithMeta(MetaLost, "true")
		}
	}
	panic("control: reply outside the sealed set")
}

func notLeading(leader string) twirp.Error {
	return twirp.NewError(twirp.Unavailable, "this replica does not lead or takes no writes").WithMeta(MetaLeader, leader)
}

// look runs a function over the ledger as a linearizable read. The function runs
// in the loop, and may still run after look has given up.
func (s controlService) look(ctx context.Context, f func(*ledger.Ledger)) error {
	ch := make(chan reply, 1)
	if !s.r.push(ctx, readRequest{f, ch}) {
		return twirp.NewError(twirp.Unavailable, "the replica is too busy")
	}
	select {
	case <-ctx.Done():
		return twirp.NewError(twirp.DeadlineExceeded, "no majority answered")
	case answer := <-ch:
		if answer, ok := answer.(refused); ok {
			return notLeading(answer.leader)
		}
		return nil
	}
}

// Apply submits one document. Faults of the document by itself are found before
// anything is written to the log.
func (s controlService) Apply(ctx context.Context, in *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	_, faults := declared.Parse(in.File, in.Text)
	if len(faults) > 0 {
		return wire.FromApply(declared.Rejected{Faults: faults}), nil
	}
	c := &command.Command{Body: &command.Command_Apply{Apply: &command.Apply{File: in.File, Text: in.Text}}}
	result, err := s.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	return wire.FromApply(result.(ledger.Applied).Result), nil
}

// Reserve commits the record of one call.
func (s controlService) Reserve(ctx context.Context, in *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	c := &command.Command{Body: &command.Command_Reserve{Reserve: &command.Reserve{
		Team: in.Team, Key: in.Key, Digest: in.RequestDigest, Holder: in.Holder,
	}}}
	result, err := s.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	answer := wire.FromReserve(result.(ledger.Reservation).Result)
	s.r.Log.Info().Str("event", "reserve").Str("run", in.Holder).Str("team", in.Team).Str("result", answer.Result.String()).Msg("")
	return answer, nil
}

// Finish commits the end of a reserved call.
func (s controlService) Finish(ctx context.Context, in *wire.FinishRequest) (*wire.FinishResponse, error) {
	result, err := s.commit(ctx, wire.ToFinishCommand(in))
	if err != nil {
		return nil, err
	}
	recorded := result.(ledger.RecordResult).OK
	s.r.Log.Info().Str("event", "finish").Str("run", in.Holder).Str("team", in.Team).Str("end", in.End.String()).Bool("recorded", recorded).Msg("")
	return &wire.FinishResponse{Recorded: recorded}, nil
}

// Lookup reads one record.
func (s controlService) Lookup(ctx context.Context, in *wire.LookupRequest) (*wire.LookupResponse, error) {
	found := make(chan *wire.Record, 1)
	err := s.look(ctx, func(l *ledger.Ledger) {
		record, ok := l.Record(in.Team, in.Key)
		if !ok {
			found <- &wire.Record{}
			return
		}
		found <- wire.FromRecord(record)
	})
	if err != nil {
		return nil, err
	}
	return &wire.LookupResponse{Record: <-found}, nil
}

// Install commits a whole configuration.
func (s controlService) Install(ctx context.Context, in *wire.InstallRequest) (*wire.InstallResponse, error) {
	c := &command.Command{Body: &command.Command_Install{Install: &command.Install{Version: in.Version, Text: in.Text}}}
	result, err := s.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &wire.InstallResponse{Held: result.(ledger.CurrentVersion).Version}, nil
}

// Installed reads the whole configuration.
func (s controlService) Installed(ctx context.Context, in *wire.InstalledRequest) (*wire.InstalledResponse, error) {
	found := make(chan ledger.Installed, 1)
	err := s.look(ctx, func(l *ledger.Ledger) { found <- l.Installed() })
	if err != nil {
		return nil, err
	}
	installed := <-found
	out := &wire.InstalledResponse{Version: installed.Version}
	if !in.WithoutText {
		out.Text = installed.Text
	}
	return out, nil
}

// NameWeights commits the newest weight version of a model.
func (s controlService) NameWeights(ctx context.Context, in *wire.NameWeightsRequest) (*wire.NameWeightsResponse, error) {
	c := &command.Command{Body: &command.Command_NameWeights{NameWeights: &command.NameWeights{Model: in.Model, Version: in.Version}}}
	_, err := s.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &wire.NameWeightsResponse{}, nil
}

// Evacuate commits the start or the end of an evacuation, unless the domain is so already. What the
// leader knew before it proposes is part of the command, so that one which waits somewhere and comes
// after a later change of the operator's has no effect.
func (s controlService) Evacuate(ctx context.Context, in *wire.EvacuateRequest) (*wire.EvacuateResponse, error) {
	if in.Domain == "" {
		return nil, twirp.RequiredArgumentError("domain")
	}
	d, declared, err := s.evacuation(ctx, in.Domain)
	if err != nil {
		return nil, err
	}
	if d.Evacuated == in.End {
		c := &command.Command{Body: &command.Command_Evacuate{Evacuate: &command.Evacuate{Domain: in.Domain, End: in.End, Seen: d.Revision}}}
		result, err := s.commit(ctx, c)
		if err != nil {
			return nil, err
		}
		d = result.(ledger.Evacuated).Domain
		declared++
	}
	if d.Evacuated == in.End {
		return nil, twirp.NewErrorf(twirp.Aborted, "failure domain %q was changed by somebody else at the same moment", in.Domain)
	}
	return &wire.EvacuateResponse{Revision: d.Revision, Declared: declared}, nil
}

// evacuation reads a failure domain, and the revision of the declared state.
func (s controlService) evacuation(ctx context.Context, domain string) (d evacuation.Domain, declared uint64, err error) {
	type found struct {
		domain   evacuation.Domain
		revision uint64
	}
	ch := make(chan found, 1)
	err = s.look(ctx, func(l *ledger.Ledger) {
		ch <- found{l.Evacuations().Domain(domain), l.Declared().Revision()}
	})
	if err != nil {
		return evacuation.Domain{}, 0, err
	}
	out := <-ch
	return out.domain, out.revision, nil
}

// Join notes a replica that asks to be taken into the group; the leader alone acts on it.
func (s controlService) Join(ctx context.Context, in *wire.JoinRequest) (*wire.JoinResponse, error) {
	// The read proves that this replica leads, so the joiner asks no one in vain.
	err := s.look(ctx, func(*ledger.Ledger) {})
	if err != nil {
		return nil, err
	}
	joiner := membership.Joiner{ID: in.Id, Node: replication.Node(in.Incarnation), Address: in.Address, FailureDomain: in.FailureDomain}
	if !s.r.push(ctx, joiner) {
		return nil, twirp.NewError(twirp.Unavailable, "the replica is too busy")
	}
	s.r.Log.Info().Str("event", "join_asked").Str("incarnation", in.Incarnation).Str("address", in.Address).Msg("")
	return &wire.JoinResponse{}, nil
}

// VerifyLeader makes sure that this replica still leads: a majority answers after the call.
func (r *Replica) VerifyLeader(ctx context.Context) error {
	return controlService{r}.look(ctx, func(*ledger.Ledger) {})
}

// RequireWeights commits that the time is over for which requests may begin on versions of a
// model's weights before one; only the leader can.
func (r *Replica) RequireWeights(ctx context.Context, model string, version uint64) error {
	c := &command.Command{Body: &command.Command_RequireWeights{RequireWeights: &command.RequireWeights{Model: model, Version: version}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}

// takeToken commits a new fencing token for this replica's orders.
func (r *Replica) takeToken(ctx context.Context) (uint64, error) {
	c := &command.Command{Body: &command.Command_TakeToken{TakeToken: &command.TakeToken{Holder: r.Folder.Incarnation()}}}
	result, err := controlService{r}.commit(ctx, c)
	if err != nil {
		return 0, err
	}
	return result.(ledger.Token).Value, nil
}

// Status reports the replica's view; it is not linearizable.
func (s controlService) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return s.r.view.get(), nil
}
