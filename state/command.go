package state

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// UnixMillis is a wall-clock time in milliseconds since the Unix epoch.
type UnixMillis int64

// UnixMillisOf returns t in milliseconds since the Unix epoch.
func UnixMillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Command is the contents of a log entry: the proposer's wall-clock time and exactly
// one operation.
type Command struct {
	At      UnixMillis       `msgpack:"at"`
	Apply   *ApplyDocument   `msgpack:"apply,omitempty"`
	Open    *OpenReceipt     `msgpack:"open,omitempty"`
	Close   *CloseReceipt    `msgpack:"close,omitempty"`
	Abandon *AbandonReceipts `msgpack:"abandon,omitempty"`
	Order   *OpenOrder       `msgpack:"order,omitempty"`
	Settle  *SettleOrder     `msgpack:"settle,omitempty"`
	Claim   *ClaimDuties     `msgpack:"claim,omitempty"`
	Decide  *Decide          `msgpack:"decide,omitempty"`
	Done    *CloseDecision   `msgpack:"done,omitempty"`
}

// Encode returns the command in the form that Machine.Apply decodes.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, fault.Wrap(fault.Internal, err)
}

// Result is the outcome of a command. Refused indicates that the command had no
// effect; Kind and Detail then describe the error. Otherwise Kind is fault.Internal,
// its zero value, and Detail is empty.
type Result struct {
	Refused bool       `msgpack:"refused"`
	Kind    fault.Kind `msgpack:"kind"`
	Detail  string     `msgpack:"detail"`

	Applied *AppliedDocument `msgpack:"applied,omitempty"`
	Receipt *Receipt         `msgpack:"receipt,omitempty"`
	Order   *Order           `msgpack:"order,omitempty"`

	Claim    *DutyClaim `msgpack:"claim,omitempty"`
	Decision *Decision  `msgpack:"decision,omitempty"`
}

// Err returns the error of a refused command, or nil if the command took effect.
func (r Result) Err() error {
	if !r.Refused {
		return nil
	}
	return fault.New(r.Kind, "%s", r.Detail)
}

func refusal(err error) Result {
	return Result{Refused: true, Kind: fault.KindOf(err), Detail: err.Error()}
}

// ApplyDocument replaces the desired document.
type ApplyDocument struct {
	Number ident.DocumentNumber `msgpack:"number"`
	Digest ident.Digest         `msgpack:"digest"`
	// Data is the result of desired.Document.Pack. The proposer has validated the document.
	Data []byte `msgpack:"data"`
	// AllowGaps accepts any number above the current one. A document with the current
	// number or a lower one is ignored without an error.
	AllowGaps bool `msgpack:"jump,omitempty"`
}

// AppliedDocument is the result of an accepted or ignored ApplyDocument command.
type AppliedDocument struct {
	Number  ident.DocumentNumber `msgpack:"number"`
	Digest  ident.Digest         `msgpack:"digest"`
	Current ident.DocumentNumber `msgpack:"current"` // number of the newest document
	Version Version              `msgpack:"version"` // view version after the command
}

// ReceiptID identifies a receipt.
type ReceiptID struct {
	Tenant  ident.TenantID       `msgpack:"tenant"`
	Service ident.ServiceID      `msgpack:"service"`
	Key     ident.IdempotencyKey `msgpack:"key"`
}

// OpenReceipt claims an idempotency key for one attempt.
type OpenReceipt struct {
	ID      ReceiptID        `msgpack:"id"`
	Digest  ident.Digest     `msgpack:"digest"` // digest of the request
	Attempt ident.AttemptID  `msgpack:"attempt"`
	Owner   ident.InstanceID `msgpack:"owner"`
	Boot    ident.BootID     `msgpack:"boot"`
	KeyTime UnixMillis       `msgpack:"keytime"` // timestamp embedded in the key; 0 if it has none
}

// Outcome is the outcome of an attempt.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeDone     Outcome = "done"     // the request ran; its response is stored
	OutcomeReleased Outcome = "released" // no byte of the request was sent, so it did not run
	OutcomeUnknown  Outcome = "unknown"  // the request may have run
)

// CloseReceipt records the outcome of an attempt. Only the owner of the attempt
// proposes it.
type CloseReceipt struct {
	ID       ReceiptID       `msgpack:"id"`
	Attempt  ident.AttemptID `msgpack:"attempt"`
	Outcome  Outcome         `msgpack:"outcome"`
	Response *StoredResponse `msgpack:"answer,omitempty"`
}

// StoredResponse is a target's HTTP response as a receipt keeps it.
type StoredResponse struct {
	Status    int                 `msgpack:"status"`
	Header    map[string][]string `msgpack:"header"`
	Body      []byte              `msgpack:"body"`
	Truncated bool                `msgpack:"cut"` // the body exceeded MaxStoredBody
}

// MaxStoredBody is the longest response body that a receipt keeps, in bytes.
const MaxStoredBody = 64 << 10

// AbandonReceipts sets the open receipts of an instance's ended process runs to
// unknown.
type AbandonReceipts struct {
	Owner       ident.InstanceID `msgpack:"owner"`
	LiveBoot    ident.BootID     `msgpack:"alive"` // current run, exempt; empty if none
	OpenedUntil UnixMillis       `msgpack:"until"` // receipts opened later are exempt
}

// EngineSpec is the configuration that an order requests of an engine. Empty fields
// are left unchanged.
type EngineSpec struct {
	Role    desired.Role `msgpack:"role,omitempty" json:"role,omitempty"`
	Model   string       `msgpack:"model,omitempty" json:"model,omitempty"`
	Version string       `msgpack:"version,omitempty" json:"version,omitempty"`
	Adapter string       `msgpack:"adapter,omitempty" json:"adapter,omitempty"`
}

// OpenOrder records an order to an engine. It is committed before the order is sent.
type OpenOrder struct {
	ID          ident.OrderID     `msgpack:"id"`
	Engine      ident.TargetID    `msgpack:"engine"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	Spec        EngineSpec        `msgpack:"wish"`
}

// OrderOutcome is the outcome of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderDone   OrderOutcome = "done"   // the engine reported the requested configuration
	OrderFailed OrderOutcome = "failed" // the engine was lost or refused the order
)

// SettleOrder records the outcome of an order.
type SettleOrder struct {
	ID      ident.OrderID  `msgpack:"id"`
	Engine  ident.TargetID `msgpack:"engine"`
	Outcome OrderOutcome   `msgpack:"outcome"`
	Reason  string         `msgpack:"reason,omitempty"`
}
