// Package replication implements the consensus protocol of the control log.
//
// It is a deterministic state machine that takes one input and returns a list of
// effects. It uses no clock, socket, file or goroutine: time arrives as Tick inputs,
// and randomness is seeded. The caller carries out the effects in order.
//
// The protocol follows Raft: terms, votes, and commit by a majority of voters. A
// pre-vote keeps a partitioned replica from deposing a leader, a leader that loses
// contact with a majority steps down, and linearizable reads are confirmed by a round
// of heartbeats and depend on no clock.
//
// A replica is identified by the incarnation of its data folder, never by its address
// or number. A replica whose folder was lost returns as another incarnation, whose
// votes and acknowledgements count only after a committed configuration change has
// made it a voter.
package replication

// Node identifies a replica by the incarnation of its data folder.
type Node string

// Member is one replica in a configuration.
type Member struct {
	// ID is the number under which operators declare the replica.
	ID uint64
	// Node is the replica's incarnation in this configuration.
	Node Node
	// Address is the replica's "ip:port".
	Address string
	// FailureDomain is empty where operators declare the replicas.
	FailureDomain string
	// Voter is false for a learner, which receives the log but counts in no majority.
	Voter bool
}

// EntryKind is the kind of a log entry.
type EntryKind uint32

// The kinds of entry.
const (
	// EntryCommand holds a command for the replicated state.
	EntryCommand EntryKind = iota + 1
	// EntryMembers holds a configuration, which takes effect as soon as it is in the log.
	EntryMembers
	// EntryEmpty is the no-op entry that a new leader appends first.
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

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index, Term uint64
	// Members is the configuration at Index.
	Members []Member
	// Data is the replicated state. It is nil inside the machine; the caller adds it
	// when a snapshot is sent.
	Data []byte
}

// MessageKind is the kind of a message.
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

// Message is a message from one replica to another.
type Message struct {
	Kind     MessageKind
	From, To Node
	Term     uint64
	// LogIndex and LogTerm identify the sender's last entry in a vote request, and
	// the entry before Entries in an append request. In an accepting reply, LogIndex
	// is the index of the highest matching entry.
	LogIndex, LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Hint is the highest index that may match, in a rejecting append reply.
	Hint uint64
	// Round is the number of the leader's heartbeat round, for linearizable reads.
	Round   uint64
	Reject  bool
	Entries []Entry
	// Successor, in a ResignRequest, asks the receiver to start an election at once.
	Successor bool
	// Snapshot is set for SnapshotRequest only.
	Snapshot *Snapshot
}

// Input is one of Tick, Receive, Propose, ProposeMembers, Read, Resign, Persisted,
// Compacted or SnapshotFailed.
type Input interface{ input() }

// Tick reports that one unit of time has passed.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Propose asks the leader to append commands. They are sent to followers together
// rather than one by one.
type Propose struct{ Commands []Command }

// Command is one proposal.
type Command struct {
	// ID is returned in Appended or Refused.
	ID   uint64
	Data []byte
}

// ProposeMembers asks the leader to change the configuration. It is refused
// while another change is not committed, and when more than one voter changes.
type ProposeMembers struct {
	ID      uint64
	Members []Member
}

// Read requests the index that a linearizable read has to wait for.
type Read struct{ ID uint64 }

// Resign asks a leader to step down and to start a successor's election, before a planned
// stop.
type Resign struct{}

// Persisted reports that the log is synced up to Index, whose entry has the term Term.
type Persisted struct{ Index, Term uint64 }

// Compacted reports that a snapshot up to Index is durable, so that the entries up to
// it may be dropped.
type Compacted struct{ Index uint64 }

// SnapshotFailed reports that a snapshot sent to a member was not delivered.
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

// Persist requests durable storage. Entries replaces every stored entry from its first
// index on. Every later Send without BeforeSync must wait until it is synced.
type Persist struct {
	Term    uint64
	Vote    Node
	Entries []Entry
}

// Send requests that a message be sent. The message may be lost.
type Send struct {
	Message Message
	// BeforeSync allows sending before the Persist effects of the same step are synced.
	BeforeSync bool
}

// Apply delivers committed entries in order, each exactly once.
type Apply struct{ Entries []Entry }

// Restore replaces the replicated state and the stored log by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended reports the position of a proposal in the leader's log. The proposal is
// committed if the entry that is applied at Index has this Term, and lost if that entry
// has another term.
type Appended struct{ ID, Index, Term uint64 }

// Refused reports that a proposal or read was not accepted.
type Refused struct {
	ID uint64
	// Leader is the leader known to this replica, or empty.
	Leader Node
}

// ReadReady reports that a read may be answered once Index is applied.
type ReadReady struct{ ID, Index uint64 }

// RoleChanged reports a change of the role or the leader, and the current term.
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
