package state

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// UnixMillis is a point of wall-clock time in milliseconds since the Unix epoch.
type UnixMillis int64

// UnixMillisOf returns t in milliseconds.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Command is one entry of the log: the proposer's wall clock and exactly one of
// the operations below.
type Command struct {
	At      UnixMillis       `msgpack:"at"`
	Apply   *ApplyDocument   `msgpack:"apply,omitempty"`
	Open    *OpenReceipt     `msgpack:"open,omitempty"`
	Close   *CloseReceipt    `msgpack:"close,omitempty"`
	Abandon *AbandonReceipts `msgpack:"abandon,omitempty"`
	Order   *OpenOrder       `msgpack:"order,omitempty"`
	Settle  *SettleOrder     `msgpack:"settle,omitempty"`
}

// Encode returns the command as bytes.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, fault.Wrap(fault.Internal, err)
}

// Result is the outcome of a command. Kind is fault.Internal with an empty
// Detail if the command had its effect.
type Result struct {
	Refused bool       `msgpack:"refused"`
	Kind    fault.Kind `msgpack:"kind"`
	Detail  string     `msgpack:"detail"`

	Applied *AppliedDocument `msgpack:"applied,omitempty"`
	Receipt *Receipt         `msgpack:"receipt,omitempty"`
	Order   *Order           `msgpack:"order,omitempty"`
}

// Err returns the refusal as an error, or nil.
func (r Result) Err() error {
	if !r.Refused {
		return nil
	}
	return fault.New(r.Kind, "%s", r.Detail)
}

func refuse(err error) Result {
	return Result{Refused: true, Kind: fault.KindOf(err), Detail: err.Error()}
}

// ApplyDocument replaces the desired document.
type ApplyDocument struct {
	Number ident.DocumentNumber `msgpack:"number"`
	Digest ident.Digest         `msgpack:"digest"`
	Data   []byte               `msgpack:"data"` // as desired.Document.Pack makes it, validated by the proposer
	// AllowGaps lets numbers jump: the highest one counts, and what comes under the present
	// number or a lower one changes nothing.
	AllowGaps bool `msgpack:"jump,omitempty"`
}

// AppliedDocument tells which document a number stands for.
type AppliedDocument struct {
	Number  ident.DocumentNumber `msgpack:"number"`
	Digest  ident.Digest         `msgpack:"digest"`
	Current ident.DocumentNumber `msgpack:"current"` // number of the newest document
	Version Version              `msgpack:"version"` // view that brought the document
}

// ReceiptID names one receipt.
type ReceiptID struct {
	Tenant  ident.TenantID       `msgpack:"tenant"`
	Service ident.ServiceID      `msgpack:"service"`
	Key     ident.IdempotencyKey `msgpack:"key"`
}

// OpenReceipt claims a key for one attempt.
type OpenReceipt struct {
	ID      ReceiptID        `msgpack:"id"`
	Digest  ident.Digest     `msgpack:"digest"` // of the request
	Attempt ident.AttemptID  `msgpack:"attempt"`
	Owner   ident.InstanceID `msgpack:"owner"`
	Boot    ident.BootID     `msgpack:"boot"`
	KeyTime UnixMillis       `msgpack:"keytime"` // time inside the key; 0 if it has none
}

// Outcome says how an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeDone     Outcome = "done"     // ran; the answer is stored
	OutcomeReleased Outcome = "released" // no byte left: not run
	OutcomeUnknown  Outcome = "unknown"  // may have run
)

// CloseReceipt ends an attempt. Only its owner proposes it.
type CloseReceipt struct {
	ID       ReceiptID       `msgpack:"id"`
	Attempt  ident.AttemptID `msgpack:"attempt"`
	Outcome  Outcome         `msgpack:"outcome"`
	Response *StoredResponse `msgpack:"answer,omitempty"`
}

// StoredResponse is a stored answer of a target.
type StoredResponse struct {
	Status    int                 `msgpack:"status"`
	Header    map[string][]string `msgpack:"header"`
	Body      []byte              `msgpack:"body"`
	Truncated bool                `msgpack:"cut"` // the body was longer than MaxStoredBody
}

// MaxStoredBody is the longest body that a receipt keeps, in bytes.
const MaxStoredBody = 64 << 10

// AbandonReceipts turns the open receipts of dead runs of an instance into unknown.
type AbandonReceipts struct {
	Owner       ident.InstanceID `msgpack:"owner"`
	LiveBoot    ident.BootID     `msgpack:"alive"` // the run to spare; empty if none lives
	OpenedUntil UnixMillis       `msgpack:"until"` // spare receipts opened later
}

// EngineSpec is what an order asks of an engine. Empty fields stay as they are.
type EngineSpec struct {
	Role    desired.Role `msgpack:"role,omitempty" json:"role,omitempty"`
	Model   string       `msgpack:"model,omitempty" json:"model,omitempty"`
	Version string       `msgpack:"version,omitempty" json:"version,omitempty"`
	Adapter string       `msgpack:"adapter,omitempty" json:"adapter,omitempty"`
}

// OpenOrder records the intent to order an engine, before anything is sent.
type OpenOrder struct {
	ID          ident.OrderID     `msgpack:"id"`
	Engine      ident.TargetID    `msgpack:"engine"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	Spec        EngineSpec        `msgpack:"wish"`
}

// OrderOutcome says how an order ended.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderDone   OrderOutcome = "done"   // the engine reported the wish as met
	OrderFailed OrderOutcome = "failed" // the engine was lost or refused it
)

// SettleOrder ends an order.
type SettleOrder struct {
	ID      ident.OrderID  `msgpack:"id"`
	Engine  ident.TargetID `msgpack:"engine"`
	Outcome OrderOutcome   `msgpack:"outcome"`
	Reason  string         `msgpack:"reason,omitempty"`
}
