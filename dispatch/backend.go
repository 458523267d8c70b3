package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/router"
)

// ForwardRequest is a request that is passed on as it is.
type ForwardRequest struct {
	ID          string // the caller's name for this attempt; empty if it gave none
	Rule        *desired.ForwardRule
	Service     ident.ServiceID // of the rule's split
	Config      *ActiveConfig
	Arrived     clock.Time
	Budget      time.Duration // for which the caller waits, from Arrived; 0 means unknown
	Method      string
	URI         string // path and query as they came
	Host        string
	Header      http.Header // end to end
	Body        []byte
	Parts       []router.Part // of the prompt; none for a plain service
	LastEventID string        // id of the last event that the caller has
}

// Call is one attempt of a forwarded request at a target.
type Call struct {
	Request     *ForwardRequest
	Target      ident.TargetID
	Address     string
	Remaining   time.Duration // of the caller's time
	LastEventID string        // id of the last event that was delivered
	Import      *KVCacheRef   // KV cache to use
	Source      string        // address of a target that may have the prompt's KV cache; empty if none is known
}

// KVCacheRef names KV cache that an engine keeps for one request.
type KVCacheRef struct {
	Address string
	Handle  string
}

// Outcome is what became of a Call. There are three: Answered, NotRun and Unknown.
// Only NotRun allows anyone to say that a request was not executed.
type Outcome interface{ outcome() }

// Answered brings the beginning of the target's answer, whatever its status.
type Answered struct {
	Status int
	Header http.Header
	Body   io.ReadCloser  // an error before its end means that it broke off
	Load   *router.Report // as the answer tells it; nil if it does not
}

// NotRun says that the target has not run the request and never will.
type NotRun struct {
	Reason Reason
	Err    error
	Load   *router.Report // as the target's answer tells it; nil if it does not
}

// Unknown says that the request may have run, or may still run.
type Unknown struct{ Err error }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason tells why a request has not run.
type Reason uint8

// The reasons.
const (
	Unreachable       Reason = iota // nothing was sent
	Full                            // the target rejected it
	AddressReassigned               // another target has the address
	KVCacheGone                     // the KV cache to use is not there
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{"unreachable", "full", "elsewhere", "copy_gone"}[r]
}

// Backend speaks to targets in their protocol. It repeats nothing by itself.
type Backend interface {
	// Run sends a call.
	Run(ctx context.Context, c Call) Outcome
	// Prefill has the prompt of a call processed, without running it.
	Prefill(ctx context.Context, c Call) (*KVCacheRef, Outcome)
	// Release frees KV cache that nobody will use.
	Release(ctx context.Context, c *KVCacheRef)
}

// Sink takes the answer to a forwarded request. Begin comes once, before the first Write.
type Sink interface {
	Begin(status int, header http.Header) error
	// Write sends bytes of the body at once.
	Write(p []byte) error
}
