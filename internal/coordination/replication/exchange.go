package replication

import "slices"

// snapshotRetryTicks is the time after which a snapshot that was not acknowledged is sent
// again.
const snapshotRetryTicks = 10 * ElectionTicks

func (m *Machine) receive(msg Message) {
	if msg.To != m.self {
		return
	}
	switch msg.Kind {
	case PreVoteRequest:
		m.receivePreVote(msg)
	case PreVoteReply:
		m.receivePreVoteReply(msg)
	case VoteRequest:
		m.receiveVote(msg)
	case VoteReply:
		m.receiveVoteReply(msg)
	case AppendRequest:
		m.receiveAppend(msg)
	case AppendReply:
		m.receiveAppendReply(msg)
	case SnapshotRequest:
		m.receiveSnapshot(msg)
	case ResignRequest:
		m.receiveResign(msg)
	}
}

// hasActiveLeader reports whether this replica received a message from a leader within
// the minimum election timeout. It then grants no votes, so that a replica that was
// partitioned or removed cannot depose a leader that the others still follow.
func (m *Machine) hasActiveLeader() bool {
	return m.leader != "" && m.elapsed < ElectionTicks
}

// upToDate reports whether a candidate's log is at least as up-to-date as this one.
func (m *Machine) upToDate(msg Message) bool {
	index, term := m.log.last()
	return msg.LogTerm > term || msg.LogTerm == term && msg.LogIndex >= index
}

func (m *Machine) receivePreVote(msg Message) {
	grant := msg.Term > m.term && m.upToDate(msg) && !m.hasActiveLeader()
	reply := Message{Kind: PreVoteReply, To: msg.From, Term: msg.Term, Reject: !grant}
	if !grant {
		reply.Term = m.term
	}
	m.send(reply)
}

func (m *Machine) receivePreVoteReply(msg Message) {
	if msg.Reject {
		m.adoptHigherTerm(msg)
		return
	}
	if m.role != preCandidate || msg.Term != m.term+1 {
		return
	}
	m.votes[msg.From] = true
	m.checkVotes()
}

// adoptHigherTerm enters the term of a rejection if it is higher.
func (m *Machine) adoptHigherTerm(msg Message) {
	if msg.Term > m.term {
		m.enterTerm(msg.Term, "")
	}
}

func (m *Machine) receiveVote(msg Message) {
	if msg.Term > m.term && m.hasActiveLeader() {
		return
	}
	if msg.Term > m.term {
		m.enterTerm(msg.Term, "")
	}
	free := m.vote == "" || m.vote == msg.From
	grant := msg.Term == m.term && free && m.upToDate(msg) && m.role == follower
	if grant {
		m.vote = msg.From
		m.dirty = true
		m.resetFullTimer()
	}
	m.send(Message{Kind: VoteReply, To: msg.From, Reject: !grant})
}

func (m *Machine) receiveVoteReply(msg Message) {
	if msg.Term > m.term {
		m.adoptHigherTerm(msg)
		return
	}
	if m.role != candidate || msg.Term != m.term || msg.Reject {
		return
	}
	m.votes[msg.From] = true
	m.checkVotes()
}

// followLeader makes this replica a follower of the sender of a leader's message. It
// rejects the message and returns false if the term is outdated.
func (m *Machine) followLeader(msg Message) bool {
	if msg.Term < m.term {
		m.send(Message{Kind: AppendReply, To: msg.From, Reject: true})
		return false
	}
	if msg.Term > m.term {
		m.enterTerm(msg.Term, msg.From)
	}
	if m.role != follower || m.leader != msg.From {
		m.become(follower, msg.From)
	}
	m.resetTimer()
	return true
}

func (m *Machine) receiveAppend(msg Message) {
	if !m.followLeader(msg) {
		return
	}
	reply := Message{Kind: AppendReply, To: msg.From, Round: msg.Round}
	if msg.LogIndex < m.log.snapshot.Index {
		// Everything up to the snapshot is committed and therefore matches the leader's log.
		msg = skipCompacted(msg, m.log.snapshot)
	}
	term, ok := m.log.term(msg.LogIndex)
	if !ok || term != msg.LogTerm {
		last, _ := m.log.last()
		reply.Reject = true
		reply.Hint = min(last, msg.LogIndex-1)
		m.send(reply)
		return
	}
	m.mergeEntries(msg.Entries)
	matched := msg.LogIndex + uint64(len(msg.Entries))
	m.commit = max(m.commit, min(msg.Commit, matched))
	reply.LogIndex = matched
	m.send(reply)
}

// skipCompacted drops the entries that the snapshot already covers.
func skipCompacted(msg Message, s Snapshot) Message {
	skip := min(s.Index-msg.LogIndex, uint64(len(msg.Entries)))
	msg.Entries = msg.Entries[skip:]
	msg.LogIndex = s.Index
	msg.LogTerm = s.Term
	return msg
}

// mergeEntries stores the entries that are not in the log yet. An entry that conflicts
// with the log replaces the log from its index on.
func (m *Machine) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := m.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= m.commit {
			panic("replication: a leader would replace a committed entry")
		}
		m.truncateAndAppend(slices.Clone(entries[i:]))
		return
	}
}

func (m *Machine) receiveAppendReply(msg Message) {
	if msg.Term > m.term {
		m.enterTerm(msg.Term, "")
		return
	}
	p := m.others[msg.From]
	if m.role != leader || msg.Term != m.term || p == nil {
		return
	}
	p.recentlyActive = true
	p.silentTicks = 0
	p.snapshotLost = false
	if msg.Round > p.round {
		p.round = msg.Round
		m.releaseReads()
	}
	if msg.Reject {
		p.next = max(p.match, min(p.next-1, msg.Hint)) + 1
		p.firstSent = p.next
		// While a snapshot is in flight the member rejects all append requests.
		if p.snapshotTicks == 0 {
			m.sendEntries(msg.From, p)
		}
		return
	}
	if msg.LogIndex > p.match {
		p.match = msg.LogIndex
		p.next = max(p.next, p.match+1)
		p.snapshotTicks = 0
		m.advanceCommit()
	}
	last, _ := m.log.last()
	if m.role == leader && p.next <= last && m.hasRoom(p) {
		m.sendEntries(msg.From, p)
	}
}

func (m *Machine) receiveSnapshot(msg Message) {
	if msg.Snapshot == nil || !m.followLeader(msg) {
		return
	}
	s := *msg.Snapshot
	reply := Message{Kind: AppendReply, To: msg.From, LogIndex: s.Index, Round: msg.Round}
	if s.Index <= m.commit {
		// The log already covers the snapshot: acknowledge the committed entries.
		reply.LogIndex = m.commit
		m.send(reply)
		return
	}
	if term, ok := m.log.term(s.Index); ok && term == s.Term {
		// The log has the entry, and may have acknowledged ones after it, which a
		// delayed snapshot must not discard.
		m.commit = s.Index
		m.send(reply)
		return
	}
	data := s.Data
	s.Data = nil
	m.log = entryLog{snapshot: s}
	m.configs = configs{{s.Index, s.Members}}
	m.commit = s.Index
	m.applied = s.Index
	m.synced = s.Index
	m.appended = nil
	s.Data = data
	m.dirty = true
	m.emit(Restore{Snapshot: s})
	m.send(reply)
}

// broadcast sends new entries to every member whose in-flight limits allow it.
func (m *Machine) broadcast() {
	for _, other := range m.configs.current() {
		p := m.others[other.Node]
		if p != nil && m.hasRoom(p) {
			m.sendEntries(other.Node, p)
		}
	}
	m.advanceCommit()
}

// hasRoom reports whether the unacknowledged entries of a member are below the in-flight
// limits.
func (m *Machine) hasRoom(p *progress) bool {
	first := p.unacknowledged()
	return p.next-first < maxInFlight && m.log.bytes(first, p.next) < maxInFlightBytes
}

// broadcastCommit sends the commit index to all members, also to those without new
// entries to receive.
func (m *Machine) broadcastCommit() {
	for _, other := range m.configs.current() {
		p := m.others[other.Node]
		if p != nil {
			m.sendEntries(other.Node, p)
		}
	}
}

// heartbeat starts a new round. If a member's match index has not advanced since the last
// heartbeat, a message may have been lost, and the unacknowledged entries are sent again.
func (m *Machine) heartbeat() {
	m.round++
	for _, other := range m.configs.current() {
		p := m.others[other.Node]
		if p == nil {
			continue
		}
		if p.match == p.matchAtHeartbeat {
			p.rewind()
		}
		p.matchAtHeartbeat = p.match
		m.sendEntries(other.Node, p)
	}
}

func (m *Machine) sendEntries(to Node, p *progress) {
	before := p.next - 1
	term, ok := m.log.term(before)
	if !ok {
		m.sendSnapshot(to, p)
		return
	}
	var entries []Entry
	if m.hasRoom(p) {
		entries = m.log.from(p.next, maxAppendBytes)
	}
	p.next += uint64(len(entries))
	m.send(Message{Kind: AppendRequest, To: to, LogIndex: before, LogTerm: term, Commit: m.commit, Round: m.round, Entries: entries})
}

// sendSnapshot sends a snapshot, but only to a member that replies. Creating one costs the
// caller time and memory in proportion to the state. A snapshot to an unresponsive member
// would be lost, and after its return the next one would be delayed by snapshotRetryTicks.
func (m *Machine) sendSnapshot(to Node, p *progress) {
	unresponsive := p.silentTicks > ElectionTicks
	if unresponsive {
		p.snapshotTicks = 0
	}
	if unresponsive || p.snapshotLost || p.snapshotTicks > 0 {
		// A message without entries keeps the follower from starting an election.
		m.send(Message{Kind: AppendRequest, To: to, LogIndex: m.log.snapshot.Index, LogTerm: m.log.snapshot.Term, Round: m.round})
		return
	}
	p.snapshotTicks = snapshotRetryTicks
	s := m.log.snapshot
	m.send(Message{Kind: SnapshotRequest, To: to, Round: m.round, Snapshot: &s})
}

// snapshotFailed allows another snapshot after one was not delivered, for example to a member that
// has just started and did not listen yet. The next one is sent only after the member replies: an
// earlier one would be lost too, or would lack the entries that were committed in the meantime.
func (m *Machine) snapshotFailed(to Node) {
	if p := m.others[to]; p != nil {
		p.snapshotTicks = 0
		p.snapshotLost = true
	}
}

func (m *Machine) read(id uint64) {
	if m.role != leader || m.commit < m.termStart {
		m.emit(Refused{ID: id, Leader: m.leader})
		return
	}
	// The next round starts after this read arrived, so its replies prove that no other
	// leader had committed anything before the read.
	m.reads = append(m.reads, pendingRead{id: id, index: m.commit, round: m.round + 1})
	if len(m.reads) == 1 {
		m.heartbeat()
	}
	m.releaseReads()
}

// releaseReads emits ReadReady for the reads whose round a majority has acknowledged.
func (m *Machine) releaseReads() {
	if m.role != leader {
		return
	}
	kept := m.reads[:0]
	for _, r := range m.reads {
		ok := majority(m.configs.current(), func(n Node) bool {
			return n == m.self || m.others[n] != nil && m.others[n].round >= r.round
		})
		if ok {
			m.emit(ReadReady{ID: r.id, Index: r.index})
			continue
		}
		kept = append(kept, r)
	}
	m.reads = kept
	if len(kept) > 0 && kept[len(kept)-1].round > m.round {
		m.heartbeat()
	}
}
