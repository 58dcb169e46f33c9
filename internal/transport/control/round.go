package control

import (
	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
)

// gather returns first and the inputs that are already queued, without waiting for more.
func (r *Replica) gather(first any) []any {
	batch := []any{first}
	for len(batch) < maxInputsPerRound {
		select {
		case in := <-r.inputs:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

// round steps the machine through a batch of inputs and carries out the effects.
func (r *Replica) round(batch []any) {
	out := &effects{}
	var commands []replication.Command
	for _, in := range batch {
		switch in := in.(type) {
		case replication.Tick:
			r.tick(out)
		case replication.Receive:
			r.collect(out, r.machine.Step(in))
		case replication.Resign:
			r.collect(out, r.machine.Step(in))
		case replication.SnapshotFailed:
			r.collect(out, r.machine.Step(in))
		case proposal:
			commands = r.takeProposal(commands, in)
		case readRequest:
			r.nextID++
			r.pendingReads[r.nextID] = in
			r.collect(out, r.machine.Step(replication.Read{ID: r.nextID}))
		case peerAddress:
			r.addresses[in.node] = in.address
		case bootstrapRequest:
			r.applyBootstrap(in)
		case membership.Joiner:
			r.joiners[in.Node] = in
		default:
			panic("control: input outside the known set")
		}
	}
	if len(commands) > 0 {
		r.collect(out, r.machine.Step(replication.Propose{Commands: commands}))
	}
	r.flush(out)
	r.publish()
}

// takeProposal adds a command to this round's commands, or refuses it while writes to the disk
// fail.
func (r *Replica) takeProposal(commands []replication.Command, in proposal) []replication.Command {
	if r.diskErr != nil {
		in.ch <- refused{}
		return commands
	}
	data, ok := encodeCommand(in.command)
	if !ok {
		in.ch <- refused{}
		return commands
	}
	r.nextID++
	r.proposals[r.nextID] = in.ch
	return append(commands, replication.Command{ID: r.nextID, Data: data})
}

func (r *Replica) tick(out *effects) {
	r.collect(out, r.machine.Step(replication.Tick{}))
	r.reconcile(out)
}
