package control

import (
	"context"
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/ledger"
	"github.com/shedrock/shedrock/internal/state/registry"
)

// CommitSaves commits saves before they are ordered, and returns which of them the control log holds now: it holds one
// for each part and store. It fails unless this replica leads.
func (r *Replica) CommitSaves(ctx context.Context, saves []keeping.Save) (recorded []bool, err error) {
	c := &command.Command{Body: &command.Command_BeginSaves{BeginSaves: &command.BeginSaves{Saves: toSaves(saves)}}}
	result, err := controlService{r}.commit(ctx, c)
	if err != nil {
		return nil, err
	}
	return result.(ledger.BegunSaves).Recorded, nil
}

// CommitSaveEnds commits that nothing of saves can be written any more. It fails unless this replica leads.
func (r *Replica) CommitSaveEnds(ctx context.Context, saves []keeping.Save) error {
	c := &command.Command{Body: &command.Command_EndSaves{EndSaves: &command.EndSaves{Saves: toSaves(saves)}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}

// CommitSavesRecorded commits that the control log holds every save that may be under way. It fails unless this replica
// leads.
func (r *Replica) CommitSavesRecorded(ctx context.Context) error {
	c := &command.Command{Body: &command.Command_RecordSaves{RecordSaves: &command.RecordSaves{}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}

func toSaves(saves []keeping.Save) []*command.Save {
	var out []*command.Save
	for _, s := range saves {
		out = append(out, &command.Save{
			Store: s.Store, Salt: s.Salt, Part: s.ID, Tokens: int64(s.Tokens), Holder: s.Holder, Request: s.Request,
			EngineId: s.Engine.ID, EngineStart: int64(s.Engine.Start), EngineAddress: s.EngineAddress, RemainingMilliseconds: s.Remaining.Milliseconds(),
		})
	}
	return out
}

func fromSaves(in []*command.Save) []keeping.Save {
	var out []keeping.Save
	for _, s := range in {
		out = append(out, keeping.Save{
			Store: s.Store, Part: keeping.Part{Salt: s.Salt, ID: s.Part}, Tokens: int(s.Tokens), Holder: s.Holder, Request: s.Request,
			Engine: registry.Incarnation{ID: s.EngineId, Start: registry.Start(s.EngineStart)}, EngineAddress: s.EngineAddress,
			Remaining: time.Duration(s.RemainingMilliseconds) * time.Millisecond,
		})
	}
	return out
}
