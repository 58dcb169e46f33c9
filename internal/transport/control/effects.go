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

// effects gathers what one round has to do.
type effects struct {
	// frame joins the Persist effects of the round.
	frame *replication.Persist
	// late holds the messages that wait for the sync.
	late []replication.Message
}

// durable is something to write: a frame of the log, or a whole snapshot.
type durable struct {
	frame *replication.Persist
	image *replication.Snapshot
}

// collect carries out what may be done at once, and gathers the rest.
func (r *Replica) collect(out *effects, list []replication.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case replication.Persist:
			out.frame = join(out.frame, e)
		case replication.Send:
			if e.BeforeSync {
				r.transmit(e.Message)
			} else {
				out.late = append(out.late, e.Message)
			}
		case replication.Apply:
			r.apply(e.Entries)
		case replication.Restore:
			r.restore(out, e.Snapshot)
		case replication.Appended:
			r.waiting[e.Index] = waiter{e.Term, r.proposals[e.ID]}
			delete(r.proposals, e.ID)
		case replication.Refused:
			r.refuse(e)
		case replication.ReadReady:
			r.reading = append(r.reading, readWait{e.Index, r.readers[e.ID]})
			delete(r.readers, e.ID)
		case replication.RoleChanged:
			r.Log.Info().Str("event", "role").Bool("leading", e.Leading).Str("leader", string(e.Leader)).Uint64("term", e.Term).Msg("")
		default:
			panic("control: effect outside the sealed set")
		}
	}
	r.answerReads()
}

// join merges two Persist effects; the later entries replace from their first
// index on.
func join(a *replication.Persist, b replication.Persist) *replication.Persist {
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
	if read, ok := r.readers[e.ID]; ok {
		delete(r.readers, e.ID)
		read.ch <- answer
	}
}

// settle syncs the round, tells the machine, and sends what waited for it.
func (r *Replica) settle(out *effects) {
	for out.frame != nil || len(r.unsynced) > 0 {
		if out.frame != nil {
			r.unsynced = append(r.unsynced, durable{frame: out.frame})
			out.frame = nil
		}
		if !r.sync() {
			// What the messages promise is not durable: they stay unsent, and
			// the protocol asks again.
			out.late = nil
			break
		}
		last := r.machine.LastIndex()
		term, _ := r.machine.TermOf(last)
		r.collect(out, r.machine.Step(replication.Persisted{Index: last, Term: term}))
	}
	for _, m := range out.late {
		r.transmit(m)
	}
	r.compact()
}

// sync writes what is not durable yet; it reports false when the disk refuses.
func (r *Replica) sync() bool {
	for len(r.unsynced) > 0 {
		err := r.write(r.unsynced[0])
		if err != nil {
			r.noteDisk(err)
			return false
		}
		r.unsynced = r.unsynced[1:]
	}
	r.noteDisk(nil)
	return true
}

func (r *Replica) write(d durable) error {
	if d.image != nil {
		return r.saveImage(*d.image)
	}
	return r.Folder.Append(toFrame(*d.frame))
}

// noteDisk logs when the disk begins and ceases to refuse.
func (r *Replica) noteDisk(err error) {
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

func (r *Replica) apply(entries []replication.Entry) {
	for _, e := range entries {
		r.appliedIndex = e.Index
		var result ledger.Result = ledger.Malformed{}
		if e.Kind == replication.EntryCommand {
			before := r.Ledger.Declared().Revision()
			result = r.Ledger.Execute(e.Data)
			r.noteDeclared(before)
			switch result := result.(type) {
			case ledger.CurrentVersion:
				r.publishInstalled()
				r.Log.Info().Str("event", "held").Uint64("index", e.Index).Uint64("version", result.Version).Msg("")
			case ledger.Evacuated:
				r.publishInstalled()
				r.Log.Info().Str("event", "evacuation").Uint64("index", e.Index).Str("failure_domain", result.Domain.Name).
					Bool("evacuated", result.Domain.Evacuated).Uint64("revision", result.Domain.Revision).Msg("")
			}
		}
		w, ok := r.waiting[e.Index]
		if !ok {
			continue
		}
		delete(r.waiting, e.Index)
		if w.ch == nil {
			continue
		}
		if w.term != e.Term {
			w.ch <- lost{}
			continue
		}
		w.ch <- done{result}
	}
}

// noteDeclared publishes the declared state when a command has changed it.
func (r *Replica) noteDeclared(before uint64) {
	now := r.Ledger.Declared()
	if now.Revision() == before {
		return
	}
	r.view.publishDeclared(now)
	r.Log.Info().Str("event", "accepted").Uint64("revision", now.Revision()).Msg("")
}

// restore takes a leader's snapshot in place of the state and the log.
func (r *Replica) restore(out *effects, s replication.Snapshot) {
	l, err := ledger.Unmarshal(s.Data)
	if err != nil {
		panic(fmt.Sprintf("control: a leader's snapshot does not decode: %v", err))
	}
	r.Ledger = l
	r.appliedIndex = s.Index
	out.frame = nil
	r.unsynced = append(r.unsynced, durable{image: &s})
	r.view.publishDeclared(l.Declared())
	r.publishInstalled()
	r.Log.Info().Str("event", "restored").Uint64("index", s.Index).Uint64("revision", l.Declared().Revision()).Msg("")
}

// answerReads runs the reads whose index the ledger holds.
func (r *Replica) answerReads() {
	kept := r.reading[:0]
	for _, w := range r.reading {
		if w.index > r.appliedIndex {
			kept = append(kept, w)
			continue
		}
		w.request.look(r.Ledger)
		w.request.ch <- done{}
	}
	r.reading = kept
}

// compact writes a snapshot when the log has grown long. What a rewrite leaves does not
// count: entries that are not applied yet may be longer than the bound, and would have
// every round write another snapshot.
func (r *Replica) compact() {
	if r.Folder.LogSize()-r.rewritten < r.SnapshotBytes || len(r.unsynced) > 0 {
		return
	}
	data, err := r.Ledger.Marshal()
	if err != nil {
		r.noteDisk(err)
		return
	}
	index := r.appliedIndex
	term, _ := r.machine.TermOf(index)
	image := replication.Snapshot{Index: index, Term: term, Members: r.machine.MembersAt(index), Data: data}
	err = r.Folder.SaveSnapshot(toImage(image))
	if err != nil {
		r.noteDisk(err)
		return
	}
	cut := r.machine.CompactIndex(index, keptEntries, keptBytes)
	r.rewrite(index)
	if cut > r.machine.SnapshotIndex() {
		r.machine.Step(replication.Compacted{Index: cut})
	}
	r.Log.Info().Str("event", "snapshot").Uint64("index", index).Int("bytes", len(data)).Msg("")
}

// rewrite shortens the log file to what follows a stored snapshot.
func (r *Replica) rewrite(index uint64) {
	p := replication.Persist{Term: r.machine.Term(), Vote: r.machine.Vote(), Entries: r.machine.EntriesAfter(index)}
	err := r.Folder.RewriteLog(toFrame(p))
	if err != nil {
		r.noteDisk(err)
		return
	}
	r.rewritten = r.Folder.LogSize()
}

func (r *Replica) saveImage(s replication.Snapshot) error {
	err := r.Folder.SaveSnapshot(toImage(s))
	if err != nil {
		return err
	}
	p := replication.Persist{Term: r.machine.Term(), Vote: r.machine.Vote()}
	err = r.Folder.RewriteLog(toFrame(p))
	if err != nil {
		return err
	}
	r.rewritten = r.Folder.LogSize()
	return nil
}

// reconcile moves the configuration one step towards the declared replicas.
func (r *Replica) reconcile(out *effects) {
	r.repair = ""
	if !r.machine.Leading() || !r.machine.MembersCommitted() {
		return
	}
	group := membership.Group{Members: r.machine.Members(), Last: r.machine.LastIndex(), MatchIndex: r.machine.MatchIndex}
	next, step, ok := r.nextMembers(group)
	r.repair = step
	if !ok {
		return
	}
	r.Log.Info().Str("event", "replicas").Str("step", step).Msg("")
	r.collect(out, r.machine.Step(replication.ProposeMembers{Members: next}))
}

// nextMembers decides the next step, towards the declared replicas or by what the
// replicas themselves show.
func (r *Replica) nextMembers(group membership.Group) (next []replication.Member, step string, ok bool) {
	if r.MembershipPolicy == nil {
		return membership.NextMembers(group, r.Ledger.Declared().Control().Replicas())
	}
	group.Self = replication.Node(r.Folder.Incarnation())
	group.Silent = r.machine.SilentTicks
	joiners := slices.Collect(maps.Values(r.joiners))
	// Whoever still needs to join asks again; an old wish of an address that came back
	// under another incarnation must not be granted later.
	clear(r.joiners)
	return membership.Heal(group, joiners, *r.MembershipPolicy)
}

func encodeCommand(c *command.Command) ([]byte, bool) {
	data, err := proto.Marshal(c)
	return data, err == nil
}
