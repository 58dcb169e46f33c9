// Package replication decides how the replicas of the control log agree.
//
// It is a pure state machine: one input in, a list of effects out. It holds no
// clock, socket, file or goroutine; time reaches it as Tick inputs and chance as
// a seed. A shell carries out the effects in order.
//
// The protocol is leader-based: terms, votes and commit by a majority of voters,
// with a preliminary vote so that a replica that was cut off does not depose a
// leader, a leader that steps down when it no longer hears a majority, and
// linearizable reads by a round of heartbeats that trust no clock.
//
// A replica is known by the incarnation of its data folder, never by its address
// or number. A folder that was lost comes back as another incarnation, whose
// votes and acknowledgements count only after a committed change made it a voter.
package replication

// Node is the incarnation of one replica's data folder.
type Node string

// Member is one replica in a configuration.
type Member struct {
	// ID is the number under which operators declare the replica.
	ID uint64
	// Node is the incarnation that counts.
	Node Node
	// Address is the replica's "ip:port".
	Address string
	// FailureDomain is empty where operators declare the replicas.
	FailureDomain string
	// Voter is false for a learner, which receives the log and counts nowhere.
	Voter bool
}

// EntryKind says what an entry of the log holds.
type EntryKind uint32

// The kinds of entry.
const (
	// EntryCommand holds a command for the state above.
	EntryCommand EntryKind = iota + 1
	// EntryMembers holds a configuration; it is in force as soon as it is in the log.
	EntryMembers
	// EntryEmpty is a new leader's first entry.
	EntryEmpty
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
	// Members is set for EntryMembers only.
	Members []Member
}

// Snapshot stands for every entry up to Index.
type Snapshot struct {
	Index, Term uint64
	// Members is the configuration in force at Index.
	Members []Member
	// Data is the state above; it is nil inside the machine, and the shell adds
	// it when a snapshot is sent.
	Data []byte
}

// MessageKind says what a message asks or answers.
type MessageKind uint32

// The kinds of message.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	VoteRequest
	VoteReply
	AppendRequest
	AppendReply
	SnapshotRequest
	ResignRequest
)

// Message goes from one replica to another.
type Message struct {
	Kind     MessageKind
	From, To Node
	Term     uint64
	// LogIndex and LogTerm are those of the sender's last entry in a vote
	// request, and of the entry before Entries in an append request. LogIndex is
	// the highest matching entry in an accepting reply.
	LogIndex, LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Hint is, in a rejecting append reply, the highest index that may match.
	Hint uint64
	// Round counts the leader's heartbeats, for linearizable reads.
	Round   uint64
	Reject  bool
	Entries []Entry
	// Successor, of a ResignRequest, asks the receiver to stand for election at once.
	Successor bool
	// Snapshot is set for SnapshotRequest only.
	Snapshot *Snapshot
}

// Input is one of Tick, Receive, Propose, ProposeMembers, Read, Resign, Persisted,
// Compacted or Undelivered.
type Input interface{ input() }

// Tick says that one unit of time has passed.
type Tick struct{}

// Receive hands over a message from another replica.
type Receive struct{ Message Message }

// Propose asks the leader to append commands. They travel to each follower in
// one message.
type Propose struct{ Commands []Command }

// Command is one proposal.
type Command struct {
	// ID comes back in Appended or Refused.
	ID   uint64
	Data []byte
}

// ProposeMembers asks the leader to change the configuration. It is refused
// while another change is not committed, and when more than one voter changes.
type ProposeMembers struct {
	ID      uint64
	Members []Member
}

// Read asks for the index that a linearizable read has to wait for.
type Read struct{ ID uint64 }

// Resign asks a leader to step down and to name a successor, before a planned stop.
type Resign struct{}

// Persisted says that the log is synced up to Index, whose term is Term.
type Persisted struct{ Index, Term uint64 }

// Compacted says that a snapshot up to Index is durable, so that the entries up
// to it may go.
type Compacted struct{ Index uint64 }

// SnapshotFailed says that a snapshot sent to a member did not arrive there.
type SnapshotFailed struct{ To Node }

func (Tick) input()           {}
func (Receive) input()        {}
func (Propose) input()        {}
func (ProposeMembers) input() {}
func (Read) input()           {}
func (Resign) input()         {}
func (Persisted) input()      {}
func (Compacted) input()      {}
func (SnapshotFailed) input() {}

// Effect is one of Persist, Send, Apply, Restore, Appended, Refused, ReadReady
// or RoleChanged.
type Effect interface{ effect() }

// Persist asks for durable storage. Entries replaces every stored entry from its
// first index on. Every Send that follows and is not Early must wait for it.
type Persist struct {
	Term    uint64
	Vote    Node
	Entries []Entry
}

// Send asks for a message to be sent; losing it is allowed.
type Send struct {
	Message Message
	// BeforeSync allows sending before the Persist effects of the same step are synced.
	BeforeSync bool
}

// Apply hands over committed entries, in order, each exactly once.
type Apply struct{ Entries []Entry }

// Restore replaces the state above and the stored log by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended says where a proposal stands in the leader's log. It is decided when
// the entry applied at Index has this Term; another term means that it is lost.
type Appended struct{ ID, Index, Term uint64 }

// Refused says that a proposal or read was not taken up.
type Refused struct {
	ID uint64
	// Leader is the leader as far as is known, or empty.
	Leader Node
}

// ReadReady says that a read may be answered once Index is applied.
type ReadReady struct{ ID, Index uint64 }

// RoleChanged tells of a new role, leader or term.
type RoleChanged struct {
	Leading bool
	Leader  Node
	Term    uint64
}

func (Persist) effect()     {}
func (Send) effect()        {}
func (Apply) effect()       {}
func (Restore) effect()     {}
func (Appended) effect()    {}
func (Refused) effect()     {}
func (ReadReady) effect()   {}
func (RoleChanged) effect() {}
