package replication

// resign steps down and sends a ResignRequest to all other members. It asks the most
// up-to-date voter to start an election at once, and lets the others grant a pre-vote without
// waiting for this leader's timeout. The election is a regular one; if a message is lost, it
// starts after the usual timeout.
func (m *Machine) resign() {
	if m.role != leader {
		return
	}
	successor := m.mostUpToDateVoter()
	for _, member := range m.configs.current() {
		if member.Node != m.self {
			m.send(Message{Kind: ResignRequest, To: member.Node, Successor: member.Node == successor})
		}
	}
	m.become(follower, "")
}

// mostUpToDateVoter returns the other voter with the highest match index, preferring
// recently active ones. It is empty when there is no other voter.
func (m *Machine) mostUpToDateVoter() Node {
	var best Node
	for _, member := range m.configs.current() {
		p := m.others[member.Node]
		if p == nil || !member.Voter {
			continue
		}
		b := m.others[best]
		if b == nil || p.recentlyActive && !b.recentlyActive || p.recentlyActive == b.recentlyActive && p.match > b.match {
			best = member.Node
		}
	}
	return best
}

func (m *Machine) receiveResign(msg Message) {
	if msg.Term != m.term || msg.From != m.leader {
		return
	}
	m.become(follower, "")
	if msg.Successor && isVoter(m.configs.current(), m.self) {
		m.campaign(preCandidate)
	}
}
