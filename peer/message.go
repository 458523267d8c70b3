package peer

import (
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
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
	kindEnd // number of kinds, with the 0 that is none
)

// Body is one typed message.
type Body interface{ kind() kind }

// Hello opens a connection.
type Hello struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
}

// Failure is the reply to a call that failed.
type Failure struct {
	Kind   fault.Kind       `msgpack:"kind"`
	Detail string           `msgpack:"detail"`
	Leader ident.InstanceID `msgpack:"leader"` // whom to ask instead, if known
	// Address is where others reach the leader; empty where settings list it.
	Address string `msgpack:"address"`
}

// Quorum carries one message of the quorum protocol, without a reply.
type Quorum struct {
	Message quorum.Message `msgpack:"message"`
}

// Form asks a voter for its disk, or gives it the founding membership.
type Form struct {
	Members quorum.Membership `msgpack:"members"` // empty to ask only
}

// Formed answers a Form.
type Formed struct {
	Disk   ident.DiskID `msgpack:"disk"`
	Formed bool         `msgpack:"formed"`
}

// Propose asks the leader to commit a command.
type Propose struct {
	Command []byte `msgpack:"command"`
}

// Proposed answers a Propose after the command was applied.
type Proposed struct {
	Result state.Result `msgpack:"result"`
}

// Demand is the work that callers asked for since an instance's last report.
type Demand struct {
	Prefill ident.Tokens `msgpack:"prefill"`
	Decode  ident.Tokens `msgpack:"decode"`
}

// Lease asks the leader for a configuration lease and tells what is in force.
type Lease struct {
	Instance    ident.InstanceID           `msgpack:"instance"`
	Boot        ident.BootID               `msgpack:"boot"`
	Version     state.Version              `msgpack:"version"` // view that the instance serves by
	Demand      map[ident.ServiceID]Demand `msgpack:"demand"`
	Leaving     bool                       `msgpack:"leaving"` // the instance takes no new calls
	BusyEngines []ident.TargetID           `msgpack:"busy"`    // draining engines with requests of the instance
	LongPoll    bool                       `msgpack:"hold"`    // the answer may wait for a new view
	RosterIndex quorum.Index               `msgpack:"roster"`  // of the membership that the instance knows
}

// Grant answers a Lease. The lease counts from the sending of the Lease.
type Grant struct {
	Duration time.Duration `msgpack:"duration"`
	Version  state.Version `msgpack:"version"`
	View     *state.View   `msgpack:"view,omitempty"` // if it is newer than the instance's
	Claims   []state.Claim `msgpack:"claims"`         // old open receipts of the instance's run
	Roster   *Roster       `msgpack:"roster"`         // if it is newer than the instance's
	Holders  int           `msgpack:"holders"`        // instances that hold a lease
}

// Roster is the membership of the quorum, for those who have to find its leader.
type Roster struct {
	Changed quorum.Index    `msgpack:"changed"` // of the entry that brought it
	Members []seed.Instance `msgpack:"members"`
}

// RosterOf returns the members that others can reach by an address.
func RosterOf(st quorum.Status) Roster {
	r := Roster{Changed: st.MembersIndex}
	for _, m := range st.Members.Members {
		if m.Address != "" {
			r.Members = append(r.Members, seed.Instance{ID: m.ID, Address: m.Address})
		}
	}
	return r
}

// Table asks for what the receiver has heard from targets since a cursor.
type Table struct {
	Since target.Cursor `msgpack:"since"`
}

// Listing answers a Table.
type Listing struct {
	Targets target.Listing `msgpack:"targets"`
}

// Lookup asks the leader for a receipt, after every earlier commit.
type Lookup struct {
	ID state.ReceiptID `msgpack:"id"`
}

// Found answers a Lookup.
type Found struct {
	Exists  bool          `msgpack:"exists"`
	Receipt state.Receipt `msgpack:"receipt"`
}

// MemberChange is an operator's change of the voters.
type MemberChange string

// The changes of voters.
const (
	MemberAdd    MemberChange = "add"    // admit the instance's present disk
	MemberRemove MemberChange = "remove" // remove the instance's disks
)

// Member asks the leader to change the voters.
type Member struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Change   MemberChange     `msgpack:"change"`
	Address  string           `msgpack:"address"` // of an instance that asks to be added; empty where settings list it
}

// Done answers a call that has no other result.
type Done struct{}

// Status asks the leader for a report to operators.
type Status struct{}

// Report answers a Status with a JSON document.
type Report struct {
	JSON []byte `msgpack:"json"`
}

// Force asks the leader whether a view is in force everywhere.
type Force struct {
	Version state.Version `msgpack:"version"`
}

// Forced answers a Force.
type Forced struct {
	InForce bool               `msgpack:"inforce"`
	Waiting []ident.InstanceID `msgpack:"waiting"`
}

// ViewAsk asks the leader for the newest view, after every earlier commit.
type ViewAsk struct{}

// ViewGive answers a ViewAsk.
type ViewGive struct {
	View state.View `msgpack:"view"`
}

// Share tells the leader what the instance has at the targets.
type Share struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Loads    inflight.Loads   `msgpack:"loads"`
	Placed   []Placement      `msgpack:"placed"` // since the last Share
	Since    feed.Cursor      `msgpack:"since"`  // of the placements that the instance has
}

// Placement tells that an engine has the beginning of a prompt in its cache.
type Placement struct {
	Target ident.TargetID `msgpack:"target"`
	Parts  []router.Part  `msgpack:"parts"`
}

// Sum answers a Share with what all instances have.
type Sum struct {
	Loads  inflight.Loads `msgpack:"loads"`
	Placed []Placement    `msgpack:"placed"` // by all instances, since the cursor of the Share
	Next   feed.Cursor    `msgpack:"next"`
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

// newBody returns an empty message of kind k, or nil if there is none.
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
	default:
		return nil
	}
}
