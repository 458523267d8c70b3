package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

type kind uint8

const (
	kindHello kind = iota + 1
	kindFailure
	kindQuorum
	kindForm
	kindFormed
	kindPropose
	kindProposed
	kindLease
	kindGrant
	kindTable
	kindListing
	kindLookup
	kindFound
	kindMember
	kindDone
	kindStatus
	kindReport
	kindForce
	kindForced
	kindViewAsk
	kindViewGive
	kindShare
	kindSum
	kindPlace
	kindPlaced
	kindProgress
	kindLocate
	kindLocated
	kindFailing
	kindWorks
	kindAcquire
	kindAcquired
	kindPublish
	kindWatch
	kindWatched
	kindRelay
	kindRelayed
	kindFindStream
	kindStreamFound
	kindConnect
	kindUsage
	kindUsageReceipt
	kindCount // number of kinds, including the unused 0
)

// Body is one typed message.
type Body interface{ kind() kind }

// Hello is the first message of a connection. It identifies the dialing instance.
type Hello struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
}

// Failure is the reply to a call that failed.
type Failure struct {
	Kind   fault.Kind       `msgpack:"kind"`
	Detail string           `msgpack:"detail"`
	Leader ident.InstanceID `msgpack:"leader"` // the current leader, if known
	// Address is the leader's peer address; empty where settings list it.
	Address string `msgpack:"address"`
}

// Quorum carries one message of the quorum protocol. It has no reply.
type Quorum struct {
	Message quorum.Message `msgpack:"message"`
}

// Form requests a voter's disk ID, or sends it the founding membership.
type Form struct {
	Members quorum.Membership `msgpack:"members"` // empty to request the disk ID only
}

// Formed is the reply to a Form.
type Formed struct {
	Disk   ident.DiskID `msgpack:"disk"`
	Formed bool         `msgpack:"formed"`
}

// Propose requests the leader to commit a command.
type Propose struct {
	Command []byte `msgpack:"command"`
}

// Proposed is the reply to a Propose, sent after the command has been applied.
type Proposed struct {
	Result state.Result `msgpack:"result"`
}

// Demand is the work that callers have requested since an instance's last report, in tokens.
type Demand struct {
	Prefill ident.Tokens `msgpack:"prefill"`
	Decode  ident.Tokens `msgpack:"decode"`
}

// Lease requests a configuration lease from the leader and confirms the instance's current view.
type Lease struct {
	Instance ident.InstanceID           `msgpack:"instance"`
	Boot     ident.BootID               `msgpack:"boot"`
	Version  state.Version              `msgpack:"version"` // view under which the instance serves
	Demand   map[ident.ServiceID]Demand `msgpack:"demand"`
	Leaving  bool                       `msgpack:"leaving"` // the instance takes no new requests
	// BusyEngines are the draining engines with requests of this instance in progress.
	BusyEngines []ident.TargetID `msgpack:"busy"`
	// LongPoll allows the leader to delay the reply, for a bounded time, until there is a new view.
	LongPoll bool `msgpack:"hold"`
	// RosterIndex is the log index of the membership that the instance has.
	RosterIndex quorum.Index `msgpack:"roster"`
}

// Grant is the reply to a Lease. The lease runs from the time the Lease was sent.
type Grant struct {
	Duration time.Duration `msgpack:"duration"`
	Version  state.Version `msgpack:"version"`
	View     *state.View   `msgpack:"view,omitempty"` // set if it is newer than the instance's
	Claims   []state.Claim `msgpack:"claims"`         // long-open receipts of the instance's run
	Roster   *Roster       `msgpack:"roster"`         // set if it differs from the instance's
	Holders  int           `msgpack:"holders"`        // instances that hold a lease
	// Limits are the rate limits that targets have named, so that the instance keeps them before it
	// serves.
	Limits permit.Snapshot `msgpack:"limits"`
}

// Roster is the membership of the quorum, for instances that need to find the leader.
type Roster struct {
	Index   quorum.Index    `msgpack:"changed"` // log index of the membership change
	Members []seed.Instance `msgpack:"members"`
}

// RosterOf returns the members with a known address.
func RosterOf(st quorum.Status) Roster {
	r := Roster{Index: st.MembersIndex}
	for _, m := range st.Members.Members {
		if m.Address != "" {
			r.Members = append(r.Members, seed.Instance{ID: m.ID, Address: m.Address})
		}
	}
	return r
}

// Table requests the target announcements that the receiver has recorded since a cursor.
type Table struct {
	Since target.Cursor `msgpack:"since"`
}

// Listing is the reply to a Table.
type Listing struct {
	Targets target.Listing `msgpack:"targets"`
	// Wall is the sender's wall clock, for instances that need true time; 0 if none does.
	Wall state.UnixMillis `msgpack:"wall"`
}

// Lookup requests a receipt from the leader, as of all earlier commits.
type Lookup struct {
	ID state.ReceiptID `msgpack:"id"`
}

// Found is the reply to a Lookup.
type Found struct {
	Exists  bool          `msgpack:"exists"`
	Receipt state.Receipt `msgpack:"receipt"`
}

// MemberChange is the kind of a membership change.
type MemberChange string

// Kinds of membership changes.
const (
	MemberAdd    MemberChange = "add"    // add the instance's current disk as a voter
	MemberRemove MemberChange = "remove" // remove all disks of the instance
	// MemberJoin adds the instance's current disk as a learner, which gets a vote when the leader decides so. A leader of an
	// earlier version refuses it as fault.BadRequest.
	MemberJoin MemberChange = "join"
	// MemberLeave hands the vote of an instance that stops to another disk, if one can take it over. A leader of an earlier
	// version refuses it.
	MemberLeave MemberChange = "leave"
)

// Member requests the leader to change the membership of the quorum.
type Member struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Change   MemberChange     `msgpack:"change"`
	// Address is the peer address of an instance to add; empty where settings list it.
	Address string `msgpack:"address"`
}

// Done is the reply to a call without a result.
type Done struct{}

// Status requests the leader's status report for operators.
type Status struct{}

// Report is the reply to a Status. It carries a JSON document.
type Report struct {
	JSON []byte `msgpack:"json"`
}

// Force requests the leader to report whether a view is in force on every instance.
type Force struct {
	Version state.Version `msgpack:"version"`
}

// Forced is the reply to a Force. Waiting lists the instances that have not confirmed the view.
type Forced struct {
	InForce bool               `msgpack:"inforce"`
	Waiting []ident.InstanceID `msgpack:"waiting"`
}

// ViewAsk requests the newest view from the leader, as of all earlier commits.
type ViewAsk struct{}

// ViewGive is the reply to a ViewAsk.
type ViewGive struct {
	View state.View `msgpack:"view"`
}

// Share reports an instance's load at the targets and its new placements to the leader.
type Share struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Loads    inflight.Loads   `msgpack:"loads"`
	Placed   []Placement      `msgpack:"placed"` // new since the last Share
	// Since is the cursor after the last placement that the instance has received.
	Since feed.Cursor `msgpack:"since"`
}

// Placement records that an engine has a prompt prefix in its cache.
type Placement struct {
	Target ident.TargetID `msgpack:"target"`
	Parts  []router.Part  `msgpack:"parts"`
}

// Sum is the reply to a Share and to a Failing. For a Share it carries the total load of all
// instances; for a Failing it carries only the targets that failed requests of any instance.
type Sum struct {
	Loads  inflight.Loads `msgpack:"loads"`
	Placed []Placement    `msgpack:"placed"` // placements of all instances since the Share's cursor
	Next   feed.Cursor    `msgpack:"next"`
	// Limits are the rate limits that targets have named.
	Limits permit.Snapshot `msgpack:"limits"`
}

func (*Share) kind() kind    { return kindShare }
func (*Sum) kind() kind      { return kindSum }
func (*Force) kind() kind    { return kindForce }
func (*Forced) kind() kind   { return kindForced }
func (*ViewAsk) kind() kind  { return kindViewAsk }
func (*ViewGive) kind() kind { return kindViewGive }
func (*Hello) kind() kind    { return kindHello }
func (*Failure) kind() kind  { return kindFailure }
func (*Quorum) kind() kind   { return kindQuorum }
func (*Form) kind() kind     { return kindForm }
func (*Formed) kind() kind   { return kindFormed }
func (*Propose) kind() kind  { return kindPropose }
func (*Proposed) kind() kind { return kindProposed }
func (*Lease) kind() kind    { return kindLease }
func (*Grant) kind() kind    { return kindGrant }
func (*Table) kind() kind    { return kindTable }
func (*Listing) kind() kind  { return kindListing }
func (*Lookup) kind() kind   { return kindLookup }
func (*Found) kind() kind    { return kindFound }
func (*Member) kind() kind   { return kindMember }
func (*Done) kind() kind     { return kindDone }
func (*Status) kind() kind   { return kindStatus }
func (*Report) kind() kind   { return kindReport }

// newBody returns an empty message of kind k, or nil if k is not a valid kind.
func newBody(k kind) Body {
	switch k {
	case kindHello:
		return &Hello{}
	case kindFailure:
		return &Failure{}
	case kindQuorum:
		return &Quorum{}
	case kindForm:
		return &Form{}
	case kindFormed:
		return &Formed{}
	case kindPropose:
		return &Propose{}
	case kindProposed:
		return &Proposed{}
	case kindLease:
		return &Lease{}
	case kindGrant:
		return &Grant{}
	case kindTable:
		return &Table{}
	case kindListing:
		return &Listing{}
	case kindLookup:
		return &Lookup{}
	case kindFound:
		return &Found{}
	case kindMember:
		return &Member{}
	case kindDone:
		return &Done{}
	case kindStatus:
		return &Status{}
	case kindReport:
		return &Report{}
	case kindForce:
		return &Force{}
	case kindForced:
		return &Forced{}
	case kindViewAsk:
		return &ViewAsk{}
	case kindViewGive:
		return &ViewGive{}
	case kindShare:
		return &Share{}
	case kindSum:
		return &Sum{}
	case kindPlace:
		return &Place{}
	case kindPlaced:
		return &Placed{}
	case kindProgress:
		return &Progress{}
	case kindLocate:
		return &Locate{}
	case kindLocated:
		return &Located{}
	case kindFailing:
		return &Failing{}
	case kindWorks:
		return &Works{}
	case kindAcquire:
		return &Acquire{}
	case kindAcquired:
		return &Acquired{}
	case kindPublish:
		return &Publish{}
	case kindWatch:
		return &Watch{}
	case kindWatched:
		return &Watched{}
	case kindRelay:
		return &Relay{}
	case kindRelayed:
		return &Relayed{}
	case kindFindStream:
		return &FindStream{}
	case kindStreamFound:
		return &StreamFound{}
	case kindConnect:
		return &Connect{}
	case kindUsage:
		return &Usage{}
	case kindUsageReceipt:
		return &UsageReceipt{}
	default:
		return nil
	}
}
