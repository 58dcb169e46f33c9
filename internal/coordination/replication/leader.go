package replication

import "slices"

func (m *Machine) becomeLeader() {
	m.become(leader, m.self)
	m.others = map[Node]*progress{}
	m.elapsed = 0
	m.heartbeatElapsed = 0
	m.trackMembers()
	last, _ := m.log.last()
	m.termStart = last + 1
	m.appendEntry(Entry{Kind: EntryEmpty})
	m.broadcast()
}

// trackMembers adds and removes progress records to match the current configuration.
func (m *Machine) trackMembers() {
	last, _ := m.log.last()
	present := map[Node]bool{}
	for _, other := range m.configs.current() {
		present[other.Node] = true
		if other.Node != m.self && m.others[other.Node] == nil {
			m.others[other.Node] = &progress{next: last + 1, firstSent: last + 1, recentlyActive: true}
		}
	}
	for n := range m.others {
		if !present[n] {
			delete(m.others, n)
		}
	}
}

func (m *Machine) appendEntry(e Entry) (index uint64) {
	last, _ := m.log.last()
	e.Index = last + 1
	e.Term = m.term
	m.truncateAndAppend([]Entry{e})
	return e.Index
}

func (m *Machine) propose(commands []Command) {
	for _, c := range commands {
		if m.role != leader {
			m.emit(Refused{ID: c.ID, Leader: m.leader})
			continue
		}
		index := m.appendEntry(Entry{Kind: EntryCommand, Data: c.Data})
		m.emit(Appended{ID: c.ID, Index: index, Term: m.term})
	}
	if m.role == leader {
		m.broadcast()
	}
}

func (m *Machine) proposeMembers(in ProposeMembers) {
	current := m.configs.current()
	ready := m.role == leader && m.MembersCommitted() && m.commit >= m.termStart
	if !ready || votersChanged(current, in.Members) > 1 {
		m.emit(Refused{ID: in.ID, Leader: m.leader})
		return
	}
	index := m.appendEntry(Entry{Kind: EntryMembers, Members: in.Members})
	m.trackMembers()
	m.emit(Appended{ID: in.ID, Index: index, Term: m.term})
	m.broadcast()
}

func (m *Machine) persisted(in Persisted) {
	term, ok := m.log.term(in.Index)
	if !ok || term != in.Term || in.Index <= m.synced {
		return
	}
	m.synced = in.Index
	if m.role == leader {
		m.advanceCommit()
	}
}

func (m *Machine) compacted(index uint64) {
	if index > m.applied {
		panic("replication: snapshot index beyond the applied entries")
	}
	m.log.compact(index, m.configs.at(index))
	m.configs = m.configs.compact(index)
}

// advanceCommit moves the commit index to the highest entry that is durable on a majority
// of voters, if that entry is of the current term. Entries of earlier terms are committed
// only together with a later one of the current term.
func (m *Machine) advanceCommit() {
	var matched []uint64
	for _, member := range m.configs.current() {
		if member.Voter {
			matched = append(matched, m.MatchIndex(member.Node))
		}
	}
	if len(matched) == 0 {
		return
	}
	slices.Sort(matched)
	// A majority of the voters has at least the value at this position:
	// of [3 7 9] two have 7, of [3 5 7 9] three have 5.
	quorumIndex := matched[(len(matched)-1)/2]
	term, ok := m.log.term(quorumIndex)
	if quorumIndex > m.commit && ok && term == m.term {
		m.commit = quorumIndex
		m.commitAdvanced()
	}
}

// commitAdvanced is called on the leader after its commit index has increased.
func (m *Machine) commitAdvanced() {
	if !isVoter(m.configs.current(), m.self) && m.MembersCommitted() {
		// A leader that a committed configuration change has removed steps down.
		m.become(follower, "")
		return
	}
	m.releaseReads()
	m.broadcastCommit()
}
