package quorum

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Index is a position in the replicated log. The first entry has index 1.
type Index uint64

// Term counts elections. At most one leader exists in a term.
type Term uint64

// Round counts the leader's broadcasts in one term.
type Round uint64

// Boot orders the runs of one member's process. It grows with every start.
type Boot uint64

// Member is one replica of the log. Its identity is its disk: an instance whose
// disk came back empty is another member.
type Member struct {
	ID    ident.InstanceID `msgpack:"id"`
	Disk  ident.DiskID     `msgpack:"disk"`
	Voter bool             `msgpack:"voter"`
	// Address is where the other instances reach it; empty where settings list them.
	Address string `msgpack:"address,omitempty"`
}

// Membership is the set of replicas in force.
type Membership struct {
	Members []Member `msgpack:"members"`
}

// Find returns the member with the given disk.
func (m Membership) Find(d ident.DiskID) (Member, bool) {
	for _, member := range m.Members {
		if member.Disk == d {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// With returns a membership with a member in the place of the one with its disk, or in
// addition. m, which others may be reading, stays as it is.
func (m Membership) With(member Member) Membership {
	next := m.clone()
	for i := range next.Members {
		if next.Members[i].Disk == member.Disk {
			next.Members[i] = member
			return next
		}
	}
	next.Members = append(next.Members, member)
	return next
}

// Without returns a membership without a disk. m stays as it is.
func (m Membership) Without(d ident.DiskID) Membership {
	var next Membership
	for _, member := range m.Members {
		if member.Disk != d {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

func (m Membership) clone() Membership {
	return Membership{Members: append([]Member(nil), m.Members...)}
}

// EntryKind says what a log entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNone    EntryKind = iota // empty, appended by a new leader
	EntryCommand                  // a command of the replicated state
	EntryMembers                  // a Membership
)

// foundingIndex is the index of the snapshot that a quorum is founded with.
const foundingIndex Index = 1

// Entry is one record of the replicated log.
type Entry struct {
	Index   Index      `msgpack:"index"`
	Term    Term       `msgpack:"term"`
	Kind    EntryKind  `msgpack:"kind"`
	Data    []byte     `msgpack:"data,omitempty"`
	Members Membership `msgpack:"members,omitempty"`
}

// SnapshotMeta describes a snapshot: the last entry that it covers and the membership then.
type SnapshotMeta struct {
	Index   Index      `msgpack:"index"`
	Term    Term       `msgpack:"term"`
	Members Membership `msgpack:"members"`
}

// HardState is the part of a member's state that must be synced before it answers.
type HardState struct {
	Term Term         `msgpack:"term"`
	Vote ident.DiskID `msgpack:"vote"`
}

// Message is what one member sends another.
type Message struct {
	From ident.DiskID `msgpack:"from"`
	To   ident.DiskID `msgpack:"to"`
	Term Term         `msgpack:"term"`
	Boot Boot         `msgpack:"boot"`

	VoteRequest  *VoteRequest     `msgpack:"vote,omitempty"`
	VoteResponse *VoteResponse    `msgpack:"voted,omitempty"`
	Append       *Append          `msgpack:"append,omitempty"`
	Ack          *AppendAck       `msgpack:"ack,omitempty"`
	Install      *InstallSnapshot `msgpack:"install,omitempty"`
	Elect        *ElectNow        `msgpack:"elect,omitempty"`
	Reject       *DiskReject      `msgpack:"reject,omitempty"`
}

// VoteRequest asks for a vote. With Pre set it only asks whether a vote would be given.
type VoteRequest struct {
	Pre      bool  `msgpack:"pre"`
	Last     Index `msgpack:"last"`
	LastTerm Term  `msgpack:"lastterm"`
	Forced   bool  `msgpack:"forced"` // sent on the leader's own wish to hand over
}

// VoteResponse answers a VoteAsk.
type VoteResponse struct {
	Pre     bool `msgpack:"pre"`
	Granted bool `msgpack:"granted"`
}

// Append replicates entries after Prev. Without entries it is a heartbeat.
type Append struct {
	Prev     Index   `msgpack:"prev"`
	PrevTerm Term    `msgpack:"prevterm"`
	Commit   Index   `msgpack:"commit"`
	Round    Round   `msgpack:"round"`
	Entries  []Entry `msgpack:"entries,omitempty"`
}

// AppendAck answers an Append or an Install.
type AppendAck struct {
	Round    Round `msgpack:"round"`
	Accepted bool  `msgpack:"accepted"`
	Match    Index `msgpack:"match"` // last entry known equal to the leader's, if accepted
	Last     Index `msgpack:"last"`  // last entry of the follower's log, if not
	Hint     Index `msgpack:"hint"`  // entry after which to try next, if not
}

// InstallSnapshot replaces the follower's state with a snapshot.
type InstallSnapshot struct {
	Meta  SnapshotMeta `msgpack:"meta"`
	Round Round        `msgpack:"round"`
	Data  []byte       `msgpack:"data"`
}

// ElectNow asks the receiver to start an election at once.
type ElectNow struct{}

// DiskReject tells a member that its disk has lost entries which it had
// acknowledged, so that it may not vote any more.
type DiskReject struct{}

// Event is an input of the Core.
type Event interface{ event() }

// Tick tells the time. It must come at least every few milliseconds.
type Tick struct{}

// Receive hands over a message of another member.
type Receive struct{ Message Message }

// Proposal is one command to append to the log.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands in one batch.
type Propose struct{ Proposals []Proposal }

// Read asks for an index that a linearizable read has to wait for.
type Read struct{ ID uint64 }

// ChangeMembers replaces the membership. It may add, remove, promote or demote one voter.
type ChangeMembers struct {
	ID      uint64
	Members Membership
}

// Persisted tells that every Persist action up to Seq is synced.
type Persisted struct{ Seq uint64 }

// Compacted tells that a snapshot that covers the log up to Meta is synced.
type Compacted struct{ Meta SnapshotMeta }

// TransferLeadership asks the leader to hand leadership to another voter.
type TransferLeadership struct{}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Read) event()               {}
func (ChangeMembers) event()      {}
func (Persisted) event()          {}
func (Compacted) event()          {}
func (TransferLeadership) event() {}

// Action is an output of the Core.
type Action interface{ action() }

// Send sends a message that needs nothing to be synced first.
type Send struct{ Message Message }

// Persist appends to the disk. Messages in Then are sent after the sync, and
// only then the event Persisted is stepped.
type Persist struct {
	Seq       uint64
	Hard      *HardState
	Install   *InstallSnapshot // replaces log and state
	Entries   []Entry          // entries at and after Entries[0].Index are replaced
	AfterSync []Message
}

// Apply hands over committed entries in order.
type Apply struct{ Entries []Entry }

// Restore replaces the applied state with a snapshot.
type Restore struct{ Install InstallSnapshot }

// Appended tells at which index a proposal was appended; it is not committed yet.
type Appended struct {
	ID    uint64
	Index Index
	Term  Term
}

// Refused tells that a proposal, change or read was not taken. Nothing was appended.
type Refused struct {
	ID     uint64
	Reason error
}

// ReadReady tells that a read may be answered once Index has been applied.
type ReadReady struct {
	ID    uint64
	Index Index
}

// SendSnapshot asks the shell to send the newest snapshot with Send of an Install.
type SendSnapshot struct {
	To    ident.DiskID
	Term  Term
	Round Round
}

// DiskRejected tells that this member's disk is not trusted any more.
type DiskRejected struct{}

func (Send) action()         {}
func (Persist) action()      {}
func (Apply) action()        {}
func (Restore) action()      {}
func (Appended) action()     {}
func (Refused) action()      {}
func (ReadReady) action()    {}
func (SendSnapshot) action() {}
func (DiskRejected) action() {}

// Timing holds the intervals of the protocol.
type Timing struct {
	Heartbeat   time.Duration // between the leader's broadcasts
	ElectionMin time.Duration // shortest silence before an election
	ElectionMax time.Duration // longest silence before an election
	Lease       time.Duration // leader lease after a broadcast that a quorum answered; below ElectionMin
}

// DefaultTiming suits links with up to 50 ms round-trip time.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: 500 * time.Millisecond,
		ElectionMax: 900 * time.Millisecond,
		Lease:       400 * time.Millisecond,
	}
}

// Role is a member's part in the present term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Status is a view of the Core for reports.
type Status struct {
	Role            Role
	Term            Term
	Leader          Member // zero if unknown
	LastIndex       Index
	CommitIndex     Index
	LeaseEnd        clock.Time // end of the leader lease; zero if none
	FirstLeadership bool       // no earlier leader can have committed anything
	Members         Membership
	MembersIndex    Index // of the entry that brought Members
}
