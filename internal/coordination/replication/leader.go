package replication

import "slices"

func (m *Machine) lead() {
	m.become(leader, m.self)
	m.others = map[Node]*progress{}
	m.elapsed = 0
	m.beat = 0
	m.trackMembers()
	last, _ := m.log.last()
	m.termStart = last + 1
	m.appendEntry(Entry{Kind: EntryEmpty})
	m.broadcast()
}

// trackMembers makes the progress of others agree with the configuration.
func (m *Machine) trackMembers() {
	last, _ := m.log.last()
	present := map[Node]bool{}
	for _, other := range m.configs.current() {
		present[other.Node] = true
		if other.Node != m.self && m.others[other.Node] == nil {
			m.others[other.Node] = &progress{next: last + 1, from: last + 1, heard: true}
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
	m.put([]Entry{e})
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
		m.advance()
	}
}

func (m *Machine) compacted(index uint64) {
	if index > m.applied {
		panic("replication: a snapshot beyond the applied entries")
	}
	m.log.compact(index, m.configs.at(index))
	m.configs = m.configs.compact(index)
}

// advance commits what a majority of voters holds durably, if it is of this
// term: an entry of an earlier term commits only beneath one of this term.
func (m *Machine) advance() {
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
	// The voters above the middle, and the one in it, are a majority:
	// of [3 7 9] two hold 7, of [3 5 7 9] three hold 5.
	held := matched[(len(matched)-1)/2]
	term, ok := m.log.term(held)
	if held > m.commit && ok && term == m.term {
		m.commit = held
		m.committed()
	}
}

// committed follows a rise of the commit index on the leader.
func (m *Machine) committed() {
	if !isVoter(m.configs.current(), m.self) && m.MembersCommitted() {
		// A leader that a committed change has removed hands over.
		m.become(follower, "")
		return
	}
	m.releaseReads()
	m.broadcastCommit()
}
