package control

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/shedrock/shedrock/internal/coordination/membership"
	"github.com/shedrock/shedrock/internal/coordination/replication"
	"github.com/shedrock/shedrock/internal/state/command"
	"github.com/shedrock/shedrock/internal/state/ledger"
)

// effects collects the effects that one round carries out at its end.
type effects struct {
	// frame merges the round's Persist effects.
	frame *replication.Persist
	// afterSync holds the messages to send after the sync.
	afterSync []replication.Message
}

// pendingWrite is a frame of the log or a whole snapshot to be written.
type pendingWrite struct {
	frame *replication.Persist
	image *replication.Snapshot
}

// collect carries out the effects that need no sync, and collects the others in out.
func (r *Replica) collect(out *effects, list []replication.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case replication.Persist:
			out.frame = mergePersist(out.frame, e)
		case replication.Send:
			if e.BeforeSync {
				r.transmit(e.Message)
			} else {
				out.afterSync = append(out.afterSync, e.Message)
			}
		case replication.Apply:
			r.apply(e.Entries)
		case replication.Restore:
			r.installSnapshot(out, e.Snapshot)
		case replication.Appended:
			r.waiters[e.Index] = waiter{e.Term, r.proposals[e.ID]}
			delete(r.proposals, e.ID)
		case replication.Refused:
			r.refuse(e)
		case replication.ReadReady:
			r.confirmedReads = append(r.confirmedReads, confirmedRead{e.Index, r.pendingReads[e.ID]})
			delete(r.pendingReads, e.ID)
		case replication.RoleChanged:
			r.Log.Info().Str("event", "role").Bool("leading", e.Leading).Str("leader", string(e.Leader)).Uint64("term", e.Term).Msg("")
		default:
			panic("control: effect outside the sealed set")
		}
	}
	r.answerReads()
}

// mergePersist merges two Persist effects. The entries of b replace those of a from their first
// index on.
func mergePersist(a *replication.Persist, b replication.Persist) *replication.Persist {
	if a == nil {
		return &b
	}
	kept := a.Entries
	for len(b.Entries) > 0 && len(kept) > 0 && kept[len(kept)-1].Index >= b.Entries[0].Index {
		kept = kept[:len(kept)-1]
	}
	return &replication.Persist{Term: b.Term, Vote: b.Vote, Entries: append(kept[:len(kept):len(kept)], b.Entries...)}
}

func (r *Replica) refuse(e replication.Refused) {
	answer := refused{r.addresses[e.Leader]}
	if ch, ok := r.proposals[e.ID]; ok {
		delete(r.proposals, e.ID)
		ch <- answer
	}
	if read, ok := r.pendingReads[e.ID]; ok {
		delete(r.pendingReads, e.ID)
		read.ch <- answer
	}
}

// flush syncs the round's writes, reports them to the machine, and sends the messages that had to
// wait for the sync.
func (r *Replica) flush(out *effects) {
	for out.frame != nil || len(r.unsynced) > 0 {
		if out.frame != nil {
			r.unsynced = append(r.unsynced, pendingWrite{frame: out.frame})
			out.frame = nil
		}
		if !r.sync() {
			// The state that the messages promise is not durable, so they are dropped.
			// The protocol repeats them.
			out.afterSync = nil
			break
		}
		last := r.machine.LastIndex()
		term, _ := r.machine.TermOf(last)
		r.collect(out, r.machine.Step(replication.Persisted{Index: last, Term: term}))
	}
	for _, m := range out.afterSync {
		r.transmit(m)
	}
	r.compact()
}

// sync makes the unsynced writes durable. It reports false if a write fails.
func (r *Replica) sync() bool {
	for len(r.unsynced) > 0 {
		err := r.write(r.unsynced[0])
		if err != nil {
			r.setDiskError(err)
			return false
		}
		r.unsynced = r.unsynced[1:]
	}
	r.setDiskError(nil)
	return true
}

func (r *Replica) write(d pendingWrite) error {
	if d.image != nil {
		return r.saveSnapshot(*d.image)
	}
	return r.Folder.Append(toFrame(*d.frame))
}

// setDiskError records whether writes fail, and logs when that changes.
func (r *Replica) setDiskError(err error) {
	if (err == nil) == (r.diskErr == nil) {
		return
	}
	r.diskErr = err
	if err != nil {
		r.Log.Error().Str("event", "disk_refuses").Str("error", err.Error()).Msg("")
		return
	}
	r.Log.Info().Str("event", "disk_takes_writes").Msg("")
}

// apply executes committed entries, publishes the resulting state and answers the callers who wait for
// them. The state is published once for all entries: after a restart, they hold the configuration as well
// as the required weight versions, and an entry that got the former alone would use old weights.
func (r *Replica) apply(entries []replication.Entry) {
	before := r.Ledger.Declared().Revision()
	results := make([]ledger.Result, len(entries))
	installed := false
	for i, e := range entries {
		r.appliedIndex = e.Index
		results[i] = ledger.Malformed{}
		if e.Kind != replication.EntryCommand {
			continue
		}
		results[i] = r.Ledger.Execute(e.Data)
		switch result := results[i].(type) {
		case ledger.Installation:
			installed = true
			r.logInstallation(e.Index, result)
		case ledger.CurrentVersion:
			installed = true
			r.Log.Info().Str("event", "held").Uint64("index", e.Index).Uint64("version", result.Version).Msg("")
		case ledger.Evacuated:
			installed = true
			r.Log.Info().Str("event", "evacuation").Uint64("index", e.Index).Str("failure_domain", result.Domain.Name).
				Bool("evacuated", result.Domain.Evacuated).Uint64("revision", result.Domain.Revision).Msg("")
		case ledger.RecordedSoftware:
			installed = true
			r.Log.Info().Str("event", "software_recorded").Uint64("index", e.Index).Str("service", result.Service).Strs("versions", result.Versions).Msg("")
		case ledger.OpenedStore:
			r.Log.Info().Str("event", "store_open").Uint64("index", e.Index).Str("address", result.Address).Uint64("epoch", result.Epoch).Msg("")
		}
	}
	r.publishIfChanged(before)
	if installed {
		r.publishInstalled()
	}
	for i, e := range entries {
		r.answerWaiter(e, results[i])
	}
}

// maxLoggedTeams limits the names of teams in a log line.
const maxLoggedTeams = 10

func (r *Replica) logInstallation(index uint64, result ledger.Installation) {
	r.Log.Info().Str("event", "held").Uint64("index", index).Uint64("version", result.Version).Msg("")
	separation := result.Separation
	if separation == nil {
		return
	}
	if r.OnSeparation != nil {
		r.OnSeparation(separation.Reason)
	}
	r.Log.Info().Str("event", "context_separated").Uint64("index", index).Uint64("version", separation.Since).Str("reason", string(separation.Reason)).
		Int("teams", len(separation.Teams)).Strs("names", separation.Teams[:min(len(separation.Teams), maxLoggedTeams)]).Msg("")
}

// answerWaiter answers the caller who proposed an entry, if one waits here.
func (r *Replica) answerWaiter(e replication.Entry, result ledger.Result) {
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	switch {
	case w.ch == nil:
	case w.term != e.Term:
		w.ch <- lost{}
	default:
		w.ch <- done{result}
	}
}

// publishIfChanged publishes the declared state if its revision is no longer before.
func (r *Replica) publishIfChanged(before uint64) {
	now := r.Ledger.Declared()
	if now.Revision() == before {
		return
	}
	r.view.publishDeclared(now)
	r.Log.Info().Str("event", "accepted").Uint64("revision", now.Revision()).Msg("")
}

// installSnapshot replaces the state and the log by a leader's snapshot.
func (r *Replica) installSnapshot(out *effects, s replication.Snapshot) {
	l, err := ledger.Unmarshal(s.Data)
	if err != nil {
		panic(fmt.Sprintf("control: a leader's snapshot does not decode: %v", err))
	}
	r.Ledger = l
	r.appliedIndex = s.Index
	out.frame = nil
	r.unsynced = append(r.unsynced, pendingWrite{image: &s})
	r.view.publishDeclared(l.Declared())
	r.publishInstalled()
	r.Log.Info().Str("event", "restored").Uint64("index", s.Index).Uint64("revision", l.Declared().Revision()).Msg("")
}

// answerReads runs the confirmed reads whose index is applied.
func (r *Replica) answerReads() {
	kept := r.confirmedReads[:0]
	for _, w := range r.confirmedReads {
		if w.index > r.appliedIndex {
			kept = append(kept, w)
			continue
		}
		w.request.read(r.Ledger)
		w.request.ch <- done{}
	}
	r.confirmedReads = kept
}

// compact writes a snapshot when the log file has grown by SnapshotBytes since its last rewrite.
// The size after the rewrite does not count: entries that are not applied yet may exceed the limit,
// and would cause another snapshot in every round.
func (r *Replica) compact() {
	if r.Folder.LogSize()-r.rewrittenLogSize < r.SnapshotBytes || len(r.unsynced) > 0 {
		return
	}
	data, err := r.Ledger.Marshal()
	if err != nil {
		r.setDiskError(err)
		return
	}
	index := r.appliedIndex
	term, _ := r.machine.TermOf(index)
	image := replication.Snapshot{Index: index, Term: term, Members: r.machine.MembersAt(index), Data: data}
	err = r.Folder.SaveSnapshot(toImage(image))
	if err != nil {
		r.setDiskError(err)
		return
	}
	cut := r.machine.CompactIndex(index, retainedEntries, retainedBytes)
	r.rewrite(index)
	if cut > r.machine.SnapshotIndex() {
		r.machine.Step(replication.Compacted{Index: cut})
	}
	r.Log.Info().Str("event", "snapshot").Uint64("index", index).Int("bytes", len(data)).Msg("")
}

// rewrite truncates the log file to the entries after a stored snapshot.
func (r *Replica) rewrite(index uint64) {
	p := replication.Persist{Term: r.machine.Term(), Vote: r.machine.Vote(), Entries: r.machine.EntriesAfter(index)}
	err := r.Folder.RewriteLog(toFrame(p))
	if err != nil {
		r.setDiskError(err)
		return
	}
	r.rewrittenLogSize = r.Folder.LogSize()
}

func (r *Replica) saveSnapshot(s replication.Snapshot) error {
	err := r.Folder.SaveSnapshot(toImage(s))
	if err != nil {
		return err
	}
	p := replication.Persist{Term: r.machine.Term(), Vote: r.machine.Vote()}
	err = r.Folder.RewriteLog(toFrame(p))
	if err != nil {
		return err
	}
	r.rewrittenLogSize = r.Folder.LogSize()
	return nil
}

// reconcile proposes the next change of members, if one is needed.
func (r *Replica) reconcile(out *effects) {
	r.membershipStep = ""
	if !r.machine.Leading() || !r.machine.MembersCommitted() {
		return
	}
	group := membership.Group{Members: r.machine.Members(), Last: r.machine.LastIndex(), MatchIndex: r.machine.MatchIndex}
	next, step, ok := r.nextMembers(group)
	r.membershipStep = step
	if !ok {
		return
	}
	r.Log.Info().Str("event", "replicas").Str("step", step).Msg("")
	r.collect(out, r.machine.Step(replication.ProposeMembers{Members: next}))
}

// nextMembers returns the next change of members: towards the declared replicas, or by
// MembershipPolicy if it is set.
func (r *Replica) nextMembers(group membership.Group) (next []replication.Member, step string, ok bool) {
	if r.MembershipPolicy == nil {
		return membership.NextMembers(group, r.Ledger.Declared().Control().Replicas())
	}
	group.Self = replication.Node(r.Folder.Incarnation())
	group.Silent = r.machine.SilentTicks
	joiners := slices.Collect(maps.Values(r.joiners))
	// Replicas that still need to join repeat their requests. An old request from an address
	// that came back with another incarnation must not be granted later.
	clear(r.joiners)
	return membership.Heal(group, joiners, *r.MembershipPolicy)
}

func encodeCommand(c *command.Command) ([]byte, bool) {
	data, err := proto.Marshal(c)
	return data, err == nil
}
