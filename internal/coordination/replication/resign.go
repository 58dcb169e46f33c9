package replication

// resign steps down. The voter that holds most is asked to stand at once; the others are
// told not to wait for this leader. It is only a hint: the election that follows is like
// any other, and a message that is lost costs the usual time.
func (m *Machine) resign() {
	if m.role != leader {
		return
	}
	successor := m.fullest()
	for _, member := range m.configs.current() {
		if member.Node != m.self {
			m.send(Message{Kind: ResignRequest, To: member.Node, Successor: member.Node == successor})
		}
	}
	m.become(follower, "")
}

// fullest returns the other voter that is known to hold most, of those heard lately if
// there is one; it is empty when there is no other voter.
func (m *Machine) fullest() Node {
	var best Node
	for _, member := range m.configs.current() {
		p := m.others[member.Node]
		if p == nil || !member.Voter {
			continue
		}
		b := m.others[best]
		if b == nil || p.heard && !b.heard || p.heard == b.heard && p.match > b.match {
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
