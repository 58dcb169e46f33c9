package replication

import (
	"math/rand/v2"
)

const (
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks = 2
	// ElectionTicks is the minimum election timeout; the maximum is twice that.
	ElectionTicks = 6
	// startupElectionTicks and startupElectionSpread are the minimum election timeout of a replica
	// that has not known a leader since its start, and the maximum random addition to it. It can be
	// short: either there is no leader to wait for, or its followers reject the pre-vote.
	startupElectionTicks  = 1
	startupElectionSpread = 5
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 512 << 10
	// maxInFlight and maxInFlightBytes bound the number and the bytes of unacknowledged
	// entries sent to a follower; the last message may exceed the bytes. With two full
	// messages a follower has one to process while it syncs the other, and the amount to
	// send again after a loss stays small compared to what a slow link carries in a second.
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

// progress is a leader's replication state for one other member.
type progress struct {
	// match is the index of the highest entry known to be durable on the member, and next
	// that of the first entry to send. Invariant: match < next.
	match, next uint64
	// firstSent is the index from which sending began. Entries before it are not in flight,
	// and the member may have them even if they are above match. Invariant: firstSent <= next.
	firstSent uint64
	// recentlyActive is true if the member replied since the last quorum check.
	recentlyActive bool
	// round is the highest heartbeat round that the member replied to.
	round uint64
	// matchAtHeartbeat is match at the last heartbeat, to detect lost messages.
	matchAtHeartbeat uint64
	// silentTicks counts the ticks since the member last replied.
	silentTicks int
	// snapshotTicks counts down until a sent snapshot may be sent again.
	snapshotTicks int
	// snapshotLost is true from the loss of a sent snapshot until the member replies.
	snapshotLost bool
}

type pendingRead struct {
	id, index, round uint64
}

// rewind moves next back to the first entry that may have been lost.
func (p *progress) rewind() { p.next = p.unacknowledged() }

// unacknowledged returns the index of the first entry that was sent and not acknowledged.
func (p *progress) unacknowledged() uint64 { return max(p.match+1, min(p.firstSent, p.next)) }

// Machine is the state machine of one replica. Create it with New.
type Machine struct {
	self   Node
	random *rand.Rand

	// term and vote are persisted before any message that depends on them.
	term uint64
	vote Node
	log  entryLog
	// configs is never empty; its last element is the current configuration.
	configs configs

	// commit never decreases. Invariant: applied <= commit.
	commit, applied uint64
	// synced is the highest index known to be durable on this replica.
	synced uint64

	role   role
	leader Node
	// hadLeader is true once this replica has known a leader since its start.
	hadLeader        bool
	elapsed          int
	timeout          int
	votes            map[Node]bool
	others           map[Node]*progress
	round            uint64
	heartbeatElapsed int
	// termStart is the index of this leader's first entry. Reads and configuration
	// changes are refused until it is committed.
	termStart uint64
	reads     []pendingRead

	effects []Effect
	dirty   bool
	// appended holds the entries to persist at the end of the step.
	appended []Entry
}

// StoredState is the content of a replica's data folder.
type StoredState struct {
	Term     uint64
	Vote     Node
	Snapshot Snapshot
	Entries  []Entry
}

// New returns a replica that starts from its stored state. seed randomizes the election
// timeouts.
func New(self Node, seed uint64, stored StoredState) *Machine {
	m := &Machine{self: self, random: rand.New(rand.NewPCG(seed, 0x5eed))}
	m.term = stored.Term
	m.vote = stored.Vote
	m.log = entryLog{snapshot: stored.Snapshot, entries: stored.Entries}
	m.log.snapshot.Data = nil
	m.configs = configs{{stored.Snapshot.Index, stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		m.recordConfig(e)
	}
	m.commit = stored.Snapshot.Index
	m.applied = stored.Snapshot.Index
	m.synced, _ = m.log.last()
	m.resetTimer()
	return m
}

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.term }

// Leading reports whether this replica considers itself the leader.
func (m *Machine) Leading() bool { return m.role == leader }

// Leader returns the leader known to this replica, or an empty name.
func (m *Machine) Leader() Node { return m.leader }

// Commit returns the commit index.
func (m *Machine) Commit() uint64 { return m.commit }

// Members returns the current configuration, committed or not.
func (m *Machine) Members() []Member { return m.configs.current() }

// MembersAt returns the configuration at an index.
func (m *Machine) MembersAt(index uint64) []Member { return m.configs.at(index) }

// MembersCommitted reports whether the current configuration is committed.
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

// MatchIndex returns the index of the highest entry known to be durable on a member. It is
// meaningful only on the leader.
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

// SilentTicks returns the number of ticks since a member last replied. It is meaningful
// only on the leader.
func (m *Machine) SilentTicks(n Node) int {
	if p := m.others[n]; p != nil {
		return p.silentTicks
	}
	return 0
}

// Step processes one input and returns the effects in the order in which they must be
// carried out.
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
		m.snapshotFailed(in.To)
	default:
		panic("replication: unknown input type")
	}
	return m.finish()
}

// finish returns the step's effects: Persist first, and Apply last.
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

func (m *Machine) recordConfig(e Entry) {
	if e.Kind == EntryMembers {
		m.configs = append(m.configs, configAt{e.Index, e.Members})
	}
}

// truncateAndAppend stores entries in the log, in place of all from the first one's index
// on, and marks them for persistence.
func (m *Machine) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	m.configs = m.configs.truncate(first)
	m.log.truncateAndAppend(entries)
	for _, e := range entries {
		m.recordConfig(e)
	}
	m.synced = min(m.synced, first-1)
	m.appended = mergeAppended(m.appended, entries)
}

// mergeAppended concatenates two runs of entries of one step. The later run replaces
// entries of the earlier one from its first index on.
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
	// The only member of a group need not wait for a leader.
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
		p.silentTicks++
		if p.snapshotTicks > 0 {
			p.snapshotTicks--
		}
	}
	if m.elapsed >= ElectionTicks {
		m.elapsed = 0
		if !m.quorumActive() {
			m.become(follower, "")
			return
		}
	}
	m.heartbeatElapsed++
	if m.heartbeatElapsed >= HeartbeatTicks {
		m.heartbeatElapsed = 0
		m.heartbeat()
	}
}

func (m *Machine) quorumActive() bool {
	ok := majority(m.configs.current(), func(n Node) bool {
		return n == m.self || m.others[n] != nil && m.others[n].recentlyActive
	})
	for _, p := range m.others {
		p.recentlyActive = false
	}
	return ok
}

// become changes the role and the known leader within the current term.
func (m *Machine) become(r role, lead Node) {
	changed := m.role != r || m.leader != lead
	if m.role == leader && r != leader {
		m.refuseReads()
		m.others = nil
	}
	m.role = r
	m.leader = lead
	m.hadLeader = m.hadLeader || lead != ""
	m.resetTimer()
	if changed {
		m.emit(RoleChanged{Leading: r == leader, Leader: lead, Term: m.term})
	}
}

// enterTerm becomes a follower in a higher term.
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

// Vote returns the candidate that this replica voted for in the current term, or an empty
// name.
func (m *Machine) Vote() Node { return m.vote }

// CompactIndex returns the index up to which the log may be compacted so that the last entries
// up to high are kept: at most the given number, and at most the given bytes of data. If
// entries is positive, the entry at high is kept even if it is larger.
func (m *Machine) CompactIndex(high uint64, entries, bytes int) uint64 {
	return m.log.compactIndex(high, entries, bytes)
}

// EntriesAfter returns the log entries after an index.
func (m *Machine) EntriesAfter(index uint64) []Entry {
	last, _ := m.log.last()
	if index >= last || index < m.log.snapshot.Index {
		return nil
	}
	return m.log.between(index, last)
}
