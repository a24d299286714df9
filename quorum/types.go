package quorum

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Term numbers the leadership of at most one leader.
type Term uint64

// Index is the position of an entry in a log, from 1.
type Index uint64

// FolderID identifies a data folder among all that a member of the same name ever had.
type FolderID string

// Instance numbers one of the replicated logs that share a disk.
type Instance uint32

// MemberID is a control member and its data folder; a vote counts only with the folder that the member was admitted
// with.
type MemberID struct {
	Name   ident.Daemon `cbor:"1,keyasint"`
	Folder FolderID     `cbor:"2,keyasint"`
}

// Member is one receiver of the log; a learner (Voter false) has no vote.
type Member struct {
	ID    MemberID `cbor:"1,keyasint"`
	Voter bool     `cbor:"2,keyasint"`
}

// EntryKind says what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryMembers
	EntryNoop
)

// Entry is one position of the log. Data is a command or the encoded members.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState is what a member must persist before it replies.
type HardState struct {
	Term     Term     `cbor:"1,keyasint"`
	Vote     MemberID `cbor:"2,keyasint"`
	Expelled bool     `cbor:"3,keyasint"`
}

// Snapshot is the state machine at Index, with the members at that index.
type Snapshot struct {
	Format  int      `cbor:"1,keyasint"`
	Index   Index    `cbor:"2,keyasint"`
	Term    Term     `cbor:"3,keyasint"`
	Members []Member `cbor:"4,keyasint"`
	Data    []byte   `cbor:"5,keyasint"`
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
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
	MessageLeave
)

// Message is sent between the members of one instance; Kind determines which fields are set.
type Message struct {
	Instance Instance
	Kind     MessageKind
	From     MemberID
	To       MemberID
	Term     Term

	// LastIndex and LastTerm describe the end of the candidate's log, or the entry before Entries.
	LastIndex Index
	LastTerm  Term
	Entries   []Entry
	// Commit is the sender's commit index, in appends and their replies.
	Commit Index
	// Round numbers the heartbeat that a reply answers; a lease starts when its heartbeat was sent.
	Round uint64
	// Silences are the members that the sender of an append has not heard from lately.
	Silences []Silence
	// Leaving is set in the replies of a member that stops for good or for a restart.
	Leaving bool
	// Granted is the reply to a vote request or an append.
	Granted bool
	// Unformed is set by a member that has no configuration yet and needs a snapshot.
	Unformed bool
	// Match is the last index at which the replier's log equals the leader's or, in a refusal, where to try next.
	Match    Index
	Snapshot *Snapshot
	// Transfer marks an election that the current leader has requested.
	Transfer bool
}

// Silence says for how long a member has not answered its leader, or those before.
type Silence struct {
	ID  MemberID
	For time.Duration
}

// Role is the current role of a member.
type Role uint8

// Roles of a member.
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
