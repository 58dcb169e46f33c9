package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/protocol/wire"
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/evacuation"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// MetaLeader is the key of the leader's address in the metadata of an error.
const MetaLeader = "leader"

// MetaLost is the key that marks the error for a command that was appended and will never commit.
const MetaLost = "lost"

// controlService implements wire.Control for entries and operators.
type controlService struct{ r *Replica }

// commit commits a command and returns its result.
func (s controlService) commit(ctx context.Context, c *command.Command) (ledger.Result, error) {
	// Wall-clock time, because callers' keys contain one. All replicas compare with this value.
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

// linearizableRead runs f on the ledger as a linearizable read. f runs in the loop, and may still
// run after linearizableRead has returned an error.
func (s controlService) linearizableRead(ctx context.Context, f func(*ledger.Ledger)) error {
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

// Apply submits one document. Faults in the document itself are reported before anything is
// written to the log.
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
	err := s.linearizableRead(ctx, func(l *ledger.Ledger) {
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
	if in.Teams != nil {
		c.GetInstall().Teams = &command.Teams{Sharing: in.Teams.Sharing, Isolated: in.Teams.Isolated}
	}
	result, err := s.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	return &wire.InstallResponse{Held: result.(ledger.Installation).Version}, nil
}

// Installed reads the whole configuration.
func (s controlService) Installed(ctx context.Context, in *wire.InstalledRequest) (*wire.InstalledResponse, error) {
	found := make(chan ledger.Installed, 1)
	err := s.linearizableRead(ctx, func(l *ledger.Ledger) { found <- l.Installed() })
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

// Evacuate commits the start or the end of an evacuation, unless the domain is already in that
// state. The command contains the revision that the leader read before the proposal, so a delayed
// command that arrives after a later change by the operator has no effect.
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

// evacuation reads a failure domain and the revision of the declared state.
func (s controlService) evacuation(ctx context.Context, domain string) (d evacuation.Domain, declared uint64, err error) {
	type domainState struct {
		domain   evacuation.Domain
		revision uint64
	}
	ch := make(chan domainState, 1)
	err = s.linearizableRead(ctx, func(l *ledger.Ledger) {
		ch <- domainState{l.Evacuations().Domain(domain), l.Declared().Revision()}
	})
	if err != nil {
		return evacuation.Domain{}, 0, err
	}
	out := <-ch
	return out.domain, out.revision, nil
}

// Join records a replica's request to join the group. Only the leader acts on it.
func (s controlService) Join(ctx context.Context, in *wire.JoinRequest) (*wire.JoinResponse, error) {
	// The read fails unless this replica leads, so a joiner's request is not lost on a follower.
	err := s.linearizableRead(ctx, func(*ledger.Ledger) {})
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

// VerifyLeader returns nil once a majority has confirmed, after the call, that this replica still
// leads.
func (r *Replica) VerifyLeader(ctx context.Context) error {
	return controlService{r}.linearizableRead(ctx, func(*ledger.Ledger) {})
}

// RequireWeights commits that the period has ended in which requests may start on versions of a
// model's weights before the given one. It fails unless this replica leads.
func (r *Replica) RequireWeights(ctx context.Context, model string, version uint64) error {
	c := &command.Command{Body: &command.Command_RequireWeights{RequireWeights: &command.RequireWeights{Model: model, Version: version}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}

// CommittedStores reads what the control log holds that concerns stores. The read is linearizable: it
// includes everything that earlier leaders have committed.
func (r *Replica) CommittedStores(ctx context.Context) (keeping.Committed, error) {
	found := make(chan keeping.Committed, 1)
	err := controlService{r}.linearizableRead(ctx, func(l *ledger.Ledger) {
		saves, allRecorded := l.Saves()
		found <- keeping.Committed{
			OpenEpochs: l.OpenEpochs(), Weights: l.Weights(), SharedSince: l.Installed().SharedSince, Saves: fromSaves(saves), SavesRecorded: allRecorded,
		}
	})
	if err != nil {
		return keeping.Committed{}, err
	}
	return <-found, nil
}

// CommitOpenStore commits that a store is open for saves in an epoch, or, with epoch 0, that the store is
// no longer in the configuration. It fails unless this replica leads.
func (r *Replica) CommitOpenStore(ctx context.Context, address string, epoch uint64) error {
	c := &command.Command{Body: &command.Command_OpenStore{OpenStore: &command.OpenStore{Address: address, Epoch: epoch}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}

// newFencingToken commits and returns a new fencing token for this replica's orders.
func (r *Replica) newFencingToken(ctx context.Context) (uint64, error) {
	c := &command.Command{Body: &command.Command_TakeToken{TakeToken: &command.TakeToken{Holder: r.Folder.Incarnation()}}}
	result, err := controlService{r}.commit(ctx, c)
	if err != nil {
		return 0, err
	}
	return result.(ledger.Token).Value, nil
}

// Status returns this replica's own view. It is not linearizable.
func (s controlService) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return s.r.view.get(), nil
}
