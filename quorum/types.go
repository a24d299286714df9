package quorum

import (
	"github.com/dunlinquay/dunlinquay/ident"
)

// Term numbers the leadership of at most one leader.
type Term uint64

// Index is the position of an entry in a log, from 1.
type Index uint64

// FolderID tells one data folder from any other that a member of the same name ever had.
type FolderID string

// Instance numbers one replicated log among those that share a disk.
type Instance uint32

// MemberID is a control member together with the data folder that makes its vote count.
type MemberID struct {
	Name   ident.Daemon `cbor:"1,keyasint"`
	Folder FolderID     `cbor:"2,keyasint"`
}

// Member is one receiver of the log; a learner (Voter false) is caught up first and counts for nothing.
type Member struct {
	ID    MemberID `cbor:"1,keyasint"`
	Voter bool     `cbor:"2,keyasint"`
}

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryMembers
	EntryNoop
)

// Entry is one position of the log; Data is a command or the encoded members.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState is what a member must remember before it answers.
type HardState struct {
	Term     Term     `cbor:"1,keyasint"`
	Vote     MemberID `cbor:"2,keyasint"`
	Expelled bool     `cbor:"3,keyasint"`
}

// Snapshot is the state machine at Index together with the members at that point.
type Snapshot struct {
	Format  int      `cbor:"1,keyasint"`
	Index   Index    `cbor:"2,keyasint"`
	Term    Term     `cbor:"3,keyasint"`
	Members []Member `cbor:"4,keyasint"`
	Data    []byte   `cbor:"5,keyasint"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTransfer
	MessageExpel
	MessageForm
)

// Message is what members of one instance send each other; which fields count follows from Kind.
type Message struct {
	Instance Instance
	Kind     MessageKind
	From     MemberID
	To       MemberID
	Term     Term

	// LastIndex and LastTerm describe the candidate's log, or the entry before Entries.
	LastIndex Index
	LastTerm  Term
	Entries   []Entry
	Commit    Index
	// Round numbers the heartbeat that a reply answers; leases are counted from its sending.
	Round uint64
	// Granted is the answer to a vote or an append.
	Granted bool
	// Unformed is set by a member that has no configuration yet and needs a snapshot.
	Unformed bool
	// Match is the last index that the sender of a reply holds as the leader does, or its hint where to try next.
	Match    Index
	Snapshot *Snapshot
	// Transfer marks an election that the old leader itself asked for.
	Transfer bool
}

// Role is what a member is at the moment.
type Role uint8

// The roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role in kebab case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
