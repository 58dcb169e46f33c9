package control

import (
	"context"

	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// RecordedSoftware reads the software versions of services that the control log holds, as a linearizable read.
func (r *Replica) RecordedSoftware(ctx context.Context) (map[string][]string, error) {
	found := make(chan map[string][]string, 1)
	err := controlService{r}.linearizableRead(ctx, func(l *ledger.Ledger) { found <- l.Software() })
	if err != nil {
		return nil, err
	}
	return <-found, nil
}

// RecordSoftware commits the software versions of a service. It fails unless this replica leads.
func (r *Replica) RecordSoftware(ctx context.Context, service string, versions []string) error {
	c := &command.Command{Body: &command.Command_RecordSoftware{RecordSoftware: &command.RecordSoftware{Service: service, Versions: versions}}}
	_, err := controlService{r}.commit(ctx, c)
	return err
}
