package quorum

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Index is a position in the replicated log. The first entry has index 1.
type Index uint64

// Term numbers elections. Each term has at most one leader.
type Term uint64

// Round numbers the leader's broadcasts within one term.
type Round uint64

// Boot identifies a process run of a member. It increases with every start.
type Boot uint64

// Member is one replica of the log. It is identified by its disk: an instance that
// starts with an empty disk is a new member.
type Member struct {
	ID    ident.InstanceID `msgpack:"id"`
	Disk  ident.DiskID     `msgpack:"disk"`
	Voter bool             `msgpack:"voter"` // false for a learner, which only replicates the log
	// Address is the member's peer address; empty if the settings list it.
	Address string `msgpack:"address,omitempty"`
}

// Membership is the set of replicas. Its methods do not modify the receiver.
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

// With returns a copy of m in which member is added, or replaces the one with the
// same disk. It does not modify m, which other goroutines may be reading.
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

// Without returns a copy of m without the member with disk d.
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

// EntryKind is the type of a log entry's contents.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNone    EntryKind = iota // no contents; appended by a new leader
	EntryCommand                  // a command for the state machine
	EntryMembers                  // a Membership
)

// bootstrapIndex is the index of the initial snapshot of a new quorum.
const bootstrapIndex Index = 1

// Entry is one record of the replicated log.
type Entry struct {
	Index   Index      `msgpack:"index"`
	Term    Term       `msgpack:"term"`
	Kind    EntryKind  `msgpack:"kind"`
	Data    []byte     `msgpack:"data,omitempty"`
	Members Membership `msgpack:"members,omitempty"`
}

// SnapshotMeta describes a snapshot: the last entry that it covers and the membership
// at that entry.
type SnapshotMeta struct {
	Index   Index      `msgpack:"index"`
	Term    Term       `msgpack:"term"`
	Members Membership `msgpack:"members"`
}

// HardState is the state that a member must sync before it replies to a message.
type HardState struct {
	Term Term         `msgpack:"term"`
	Vote ident.DiskID `msgpack:"vote"`
}

// Message is sent from one member to another. Exactly one of the pointers is set.
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

// VoteRequest requests a vote. With Pre set it is a pre-vote, which only tests
// whether the vote would be granted.
type VoteRequest struct {
	Pre      bool  `msgpack:"pre"`
	Last     Index `msgpack:"last"`
	LastTerm Term  `msgpack:"lastterm"`
	Forced   bool  `msgpack:"forced"` // the leader itself requested the election
}

// VoteResponse is the reply to a VoteRequest.
type VoteResponse struct {
	Pre     bool `msgpack:"pre"`
	Granted bool `msgpack:"granted"`
}

// Append replicates the entries after Prev. Without entries it is a heartbeat.
type Append struct {
	Prev     Index   `msgpack:"prev"`
	PrevTerm Term    `msgpack:"prevterm"`
	Commit   Index   `msgpack:"commit"`
	Round    Round   `msgpack:"round"`
	Entries  []Entry `msgpack:"entries,omitempty"`
}

// AppendAck is the reply to an Append or an InstallSnapshot.
type AppendAck struct {
	Round    Round `msgpack:"round"`
	Accepted bool  `msgpack:"accepted"`
	Match    Index `msgpack:"match"` // if accepted: last entry that matches the leader's log
	Last     Index `msgpack:"last"`  // if rejected: last entry of the follower's log
	Hint     Index `msgpack:"hint"`  // if rejected: entry after which the leader continues
}

// InstallSnapshot replaces the follower's state with a snapshot.
type InstallSnapshot struct {
	Meta  SnapshotMeta `msgpack:"meta"`
	Round Round        `msgpack:"round"`
	Data  []byte       `msgpack:"data"`
}

// ElectNow requests the receiver to start an election at once.
type ElectNow struct{}

// DiskReject notifies a member that its disk has lost entries that it had
// acknowledged. The member must stop voting.
type DiskReject struct{}

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick lets the Core process timeouts. It must be stepped every few milliseconds; a
// Node steps it every tickInterval.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Message Message }

// Proposal is a command to append to the log.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands in one batch.
type Propose struct{ Proposals []Proposal }

// Read requests the index that a linearizable read has to wait for.
type Read struct{ ID uint64 }

// ChangeMembers replaces the membership. It may add, remove, promote or demote at
// most one voter.
type ChangeMembers struct {
	ID      uint64
	Members Membership
}

// Persisted reports that every Persist action up to Seq is synced.
type Persisted struct{ Seq uint64 }

// Compacted reports that a snapshot of the log up to Meta.Index is synced.
type Compacted struct{ Meta SnapshotMeta }

// TransferLeadership requests that the leader transfers leadership to another voter.
type TransferLeadership struct{}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Read) event()               {}
func (ChangeMembers) event()      {}
func (Persisted) event()          {}
func (Compacted) event()          {}
func (TransferLeadership) event() {}

// Action is an output of Core.Step.
type Action interface{ action() }

// Send sends a message that does not depend on a pending sync.
type Send struct{ Message Message }

// Persist writes to the disk. The messages in AfterSync are sent after the sync,
// and the Persisted event is stepped after that.
type Persist struct {
	Seq       uint64
	Hard      *HardState
	Install   *InstallSnapshot // replaces the log and the state
	Entries   []Entry          // replace the entries from Entries[0].Index on
	AfterSync []Message
}

// Apply delivers committed entries in log order.
type Apply struct{ Entries []Entry }

// Restore replaces the applied state with a snapshot.
type Restore struct{ Install InstallSnapshot }

// Appended reports the index at which a proposal or membership change was appended.
// The entry is not yet committed.
type Appended struct {
	ID    uint64
	Index Index
	Term  Term
}

// Refused reports that a proposal, membership change or read was rejected. Nothing
// was appended.
type Refused struct {
	ID     uint64
	Reason error
}

// ReadReady reports that a read may be answered once Index has been applied.
type ReadReady struct {
	ID    uint64
	Index Index
}

// SendSnapshot requests that the caller of Step sends the newest snapshot to a
// member in an InstallSnapshot message.
type SendSnapshot struct {
	To    ident.DiskID
	Term  Term
	Round Round
}

// DiskRejected reports that the leader has rejected this member's disk.
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
	Heartbeat   time.Duration // interval between the leader's broadcasts
	ElectionMin time.Duration // shortest election timeout
	ElectionMax time.Duration // longest election timeout
	// Lease is the length of the leader lease, from the sending of a broadcast that a
	// quorum acknowledged. It must be below ElectionMin.
	Lease time.Duration
}

// DefaultTiming returns intervals for links with a round-trip time of up to 50 ms.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: 500 * time.Millisecond,
		ElectionMax: 900 * time.Millisecond,
		Lease:       400 * time.Millisecond,
	}
}

// Role is the role of a member in its current term.
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

// Status is a summary of a Core's state.
type Status struct {
	Role            Role
	Term            Term
	Leader          Member // zero if unknown
	LastIndex       Index
	CommitIndex     Index
	LeaseEnd        clock.Time // end of the leader lease; zero if none
	FirstLeadership bool       // no earlier leader can have committed anything
	Members         Membership
	MembersIndex    Index // index of the entry that set Members
}
