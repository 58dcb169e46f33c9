package replication

// resetTimer restarts the election timer. A replica that has not known a leader since its
// start gets the shorter startup timeout, unless it is a candidate.
func (m *Machine) resetTimer() {
	m.elapsed = 0
	if !m.hadLeader && m.role != candidate {
		m.timeout = startupElectionTicks + m.random.IntN(startupElectionSpread+1)
		return
	}
	m.resetFullTimer()
}

// resetFullTimer restarts the election timer with the regular timeout, which gives a
// candidate, this replica or the one that it voted for, time to collect votes.
func (m *Machine) resetFullTimer() {
	m.elapsed = 0
	m.timeout = ElectionTicks + m.random.IntN(ElectionTicks+1)
}

func (m *Machine) campaign(r role) {
	term := m.term + 1
	kind := PreVoteRequest
	if r == candidate {
		m.term = term
		m.vote = m.self
		m.dirty = true
		kind = VoteRequest
	}
	m.become(r, "")
	m.votes = map[Node]bool{m.self: true}
	if m.checkVotes() {
		return
	}
	index, logTerm := m.log.last()
	for _, other := range m.configs.current() {
		if other.Voter && other.Node != m.self {
			m.send(Message{Kind: kind, To: other.Node, Term: term, LogIndex: index, LogTerm: logTerm})
		}
	}
}

// checkVotes proceeds from pre-candidate to candidate, or from candidate to leader, if the
// votes are a majority, and reports whether they are.
func (m *Machine) checkVotes() bool {
	if !majority(m.configs.current(), func(n Node) bool { return m.votes[n] }) {
		return false
	}
	if m.role == preCandidate {
		m.campaign(candidate)
		return true
	}
	m.becomeLeader()
	return true
}
