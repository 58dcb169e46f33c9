package replication

import (
	"math/rand/v2"
)

const (
	// HeartbeatTicks is how often a leader speaks to its followers.
	HeartbeatTicks = 2
	// ElectionTicks is the shortest time without a leader before an election; the
	// longest is twice that.
	ElectionTicks = 6
	// startTicks and startSpread are the shortest time before an election of a replica that has
	// not known a leader since its start, and how many ticks more it may be: there is none to wait
	// for, or one whose followers refuse the preliminary vote.
	startTicks  = 1
	startSpread = 5
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 512 << 10
	// maxInFlight and maxInFlightBytes bound the entries sent to a follower and not
	// acknowledged; the last message may go beyond the bytes. Two full messages keep
	// a follower supplied while it syncs one, and what has to be sent again after a
	// loss stays small beside what a slow link carries in a second.
	maxInFlight      = 16384
	maxInFlightBytes = 2 * maxAppendBytes
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is what a leader knows of one other member.
type progress struct {
	// match is the highest entry known to be durable there, and next the first
	// one to send. Invariant: match < next.
	match, next uint64
	// from is where sending began: the entries before it are not on their way, and the
	// member may hold them although match does not tell so yet. Invariant: from <= next.
	from uint64
	// heard is true when the member answered since the last quorum check.
	heard bool
	// round is the highest heartbeat round answered.
	round uint64
	// matchAtBeat is match at the last heartbeat, to notice lost messages.
	matchAtBeat uint64
	// silent counts the ticks since the member last answered.
	silent int
	// snapshotTicks counts down until a sent snapshot may be sent again.
	snapshotTicks int
	// snapshotLost is true from the loss of a sent snapshot until the member answers.
	snapshotLost bool
}

type pendingRead struct {
	id, index, round uint64
}

// resend begins again with the first entry that may have been lost.
func (p *progress) resend() { p.next = p.unacknowledged() }

// unacknowledged returns the first entry that was sent, as far as is known, and not
// acknowledged.
func (p *progress) unacknowledged() uint64 { return max(p.match+1, min(p.from, p.next)) }

// Machine is one replica. Make one with New.
type Machine struct {
	self   Node
	random *rand.Rand

	// term and vote are persisted before any message that depends on them.
	term uint64
	vote Node
	log  entryLog
	// configs is never empty.
	configs configs

	// commit never falls, and applied <= commit.
	commit, applied uint64
	// synced is the highest index known to be durable here.
	synced uint64

	role   role
	leader Node
	// met is true once a leader was known since the start.
	met     bool
	elapsed int
	timeout int
	votes   map[Node]bool
	others  map[Node]*progress
	round   uint64
	beat    int
	// termStart is the index of this leader's first entry; nothing is read, and
	// no configuration is changed, before it is committed.
	termStart uint64
	reads     []pendingRead

	effects []Effect
	dirty   bool
	// appended holds the entries to persist at the end of the step.
	appended []Entry
}

// StoredState is what a replica finds in its data folder.
type StoredState struct {
	Term     uint64
	Vote     Node
	Snapshot Snapshot
	Entries  []Entry
}

// New returns a replica as it is after a start. seed spreads elections.
func New(self Node, seed uint64, stored StoredState) *Machine {
	m := &Machine{self: self, random: rand.New(rand.NewPCG(seed, 0x5eed))}
	m.term = stored.Term
	m.vote = stored.Vote
	m.log = entryLog{snapshot: stored.Snapshot, entries: stored.Entries}
	m.log.snapshot.Data = nil
	m.configs = configs{{stored.Snapshot.Index, stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		m.noteConfig(e)
	}
	m.commit = stored.Snapshot.Index
	m.applied = stored.Snapshot.Index
	m.synced, _ = m.log.last()
	m.resetTimer()
	return m
}

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.term }

// Leading reports whether this replica believes that it leads.
func (m *Machine) Leading() bool { return m.role == leader }

// Leader returns the leader as far as is known, or an empty name.
func (m *Machine) Leader() Node { return m.leader }

// Commit returns the commit index.
func (m *Machine) Commit() uint64 { return m.commit }

// Members returns the configuration in force, committed or not.
func (m *Machine) Members() []Member { return m.configs.current() }

// MembersAt returns the configuration in force at an index.
func (m *Machine) MembersAt(index uint64) []Member { return m.configs.at(index) }

// MembersCommitted reports whether the configuration in force is committed.
func (m *Machine) MembersCommitted() bool { return m.configs[len(m.configs)-1].index <= m.commit }

// LastIndex returns the index of the last entry.
func (m *Machine) LastIndex() uint64 {
	index, _ := m.log.last()
	return index
}

// SnapshotIndex returns the index up to which the log is compacted.
func (m *Machine) SnapshotIndex() uint64 { return m.log.snapshot.Index }

// TermOf returns the term of an entry that is still in the log.
func (m *Machine) TermOf(index uint64) (uint64, bool) { return m.log.term(index) }

// MatchIndex returns the highest entry known to be durable at a member; it is
// meaningful only while leading.
func (m *Machine) MatchIndex(n Node) uint64 {
	if n == m.self {
		return m.synced
	}
	p, ok := m.others[n]
	if !ok {
		return 0
	}
	return p.match
}

// SilentTicks returns for how many ticks a member has not answered; it is meaningful
// only while leading.
func (m *Machine) SilentTicks(n Node) int {
	if p := m.others[n]; p != nil {
		return p.silent
	}
	return 0
}

// Step takes one input and returns the effects in the order in which they must
// be carried out.
func (m *Machine) Step(in Input) []Effect {
	m.effects = nil
	switch in := in.(type) {
	case Tick:
		m.tick()
	case Receive:
		m.receive(in.Message)
	case Resign:
		m.resign()
	case Propose:
		m.propose(in.Commands)
	case ProposeMembers:
		m.proposeMembers(in)
	case Read:
		m.read(in.ID)
	case Persisted:
		m.persisted(in)
	case Compacted:
		m.compacted(in.Index)
	case SnapshotFailed:
		m.undelivered(in.To)
	default:
		panic("replication: input outside the sealed set")
	}
	return m.finish()
}

// finish puts the step's persistence first and the committed entries last.
func (m *Machine) finish() []Effect {
	out := make([]Effect, 0, len(m.effects)+2)
	if m.dirty || len(m.appended) > 0 {
		out = append(out, Persist{Term: m.term, Vote: m.vote, Entries: m.appended})
		m.dirty = false
		m.appended = nil
	}
	out = append(out, m.effects...)
	if m.commit > m.applied {
		out = append(out, Apply{Entries: m.log.between(m.applied, m.commit)})
		m.applied = m.commit
	}
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) send(msg Message) {
	msg.From = m.self
	if msg.Term == 0 {
		msg.Term = m.term
	}
	early := msg.Kind == AppendRequest || msg.Kind == SnapshotRequest
	m.emit(Send{Message: msg, BeforeSync: early})
}

func (m *Machine) noteConfig(e Entry) {
	if e.Kind == EntryMembers {
		m.configs = append(m.configs, configAt{e.Index, e.Members})
	}
}

// put stores entries in the log and marks them for persistence.
func (m *Machine) put(entries []Entry) {
	first := entries[0].Index
	m.configs = m.configs.truncate(first)
	m.log.put(entries)
	for _, e := range entries {
		m.noteConfig(e)
	}
	m.synced = min(m.synced, first-1)
	m.appended = mergeAppended(m.appended, entries)
}

// mergeAppended joins two runs of entries of one step; the later one wins.
func mergeAppended(a, b []Entry) []Entry {
	for len(a) > 0 && a[len(a)-1].Index >= b[0].Index {
		a = a[:len(a)-1]
	}
	return append(a, b...)
}

func (m *Machine) tick() {
	m.elapsed++
	if m.role == leader {
		m.tickLeader()
		return
	}
	// A group of one has nobody to wait for.
	alone := len(m.configs.current()) == 1
	if m.elapsed < m.timeout && !alone {
		return
	}
	m.resetTimer()
	if isVoter(m.configs.current(), m.self) {
		m.campaign(preCandidate)
	}
}

func (m *Machine) tickLeader() {
	for _, p := range m.others {
		p.silent++
		if p.snapshotTicks > 0 {
			p.snapshotTicks--
		}
	}
	if m.elapsed >= ElectionTicks {
		m.elapsed = 0
		if !m.quorumHeard() {
			m.become(follower, "")
			return
		}
	}
	m.beat++
	if m.beat >= HeartbeatTicks {
		m.beat = 0
		m.heartbeat()
	}
}

func (m *Machine) quorumHeard() bool {
	ok := majority(m.configs.current(), func(n Node) bool {
		return n == m.self || m.others[n] != nil && m.others[n].heard
	})
	for _, p := range m.others {
		p.heard = false
	}
	return ok
}

// become changes the role within the present term.
func (m *Machine) become(r role, lead Node) {
	changed := m.role != r || m.leader != lead
	if m.role == leader && r != leader {
		m.refuseReads()
		m.others = nil
	}
	m.role = r
	m.leader = lead
	m.met = m.met || lead != ""
	m.resetTimer()
	if changed {
		m.emit(RoleChanged{Leading: r == leader, Leader: lead, Term: m.term})
	}
}

// enterTerm moves on to a higher term as a follower.
func (m *Machine) enterTerm(term uint64, lead Node) {
	m.term = term
	m.vote = ""
	m.dirty = true
	m.become(follower, lead)
}

func (m *Machine) refuseReads() {
	for _, r := range m.reads {
		m.emit(Refused{ID: r.id})
	}
	m.reads = nil
}

// Vote returns the candidate that has this replica's vote in the current term.
func (m *Machine) Vote() Node { return m.vote }

// CompactIndex returns the index up to which the log may be compacted so that, of the entries up
// to high, the last ones stay: at most so many, with data of at most so many bytes or of
// one entry.
func (m *Machine) CompactIndex(high uint64, entries, bytes int) uint64 {
	return m.log.behind(high, entries, bytes)
}

// EntriesAfter returns the entries of the log above an index.
func (m *Machine) EntriesAfter(index uint64) []Entry {
	last, _ := m.log.last()
	if index >= last || index < m.log.snapshot.Index {
		return nil
	}
	return m.log.between(index, last)
}
