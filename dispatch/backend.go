package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/router"
)

// ForwardRequest is a request that is forwarded unchanged.
type ForwardRequest struct {
	ID          string // caller's identifier of this attempt; empty if it sent none
	Rule        *desired.ForwardRule
	Service     ident.ServiceID // service selected by the rule's split
	Config      *ActiveConfig
	Caller      Caller
	Arrived     clock.Time
	Budget      time.Duration // how long the caller waits, counted from Arrived; 0 means unknown
	Method      string
	URI         string // path and query as received
	Host        string
	Header      http.Header // end-to-end headers
	Body        []byte
	Credential  string        // what the caller proves its identity with; empty if it sent nothing
	Parts       []router.Part // prompt parts; none for a plain service
	LastEventID string        // id of the last event that the caller has received
	// BegunBy is the id of the request that brought the first event of the stream that the caller takes
	// up; empty if it takes up none.
	BegunBy string
	// Calls records the calls of this request to targets, which carry the same ID.
	Calls http1.Calls
}

// Priority returns the priority of the request: that of its workspace, if there is one, or of its rule. Larger
// values go first.
func (f *ForwardRequest) Priority() int {
	if p := f.Caller.priority; p != nil {
		return *p
	}
	return f.Rule.Priority
}

// Rank returns the rank of a request among those that wait at a target, by its priority. 0 goes first.
func (f *ForwardRequest) Rank() int { return max(0, -f.Priority()) }

// Call is one attempt at sending a forwarded request to a target.
type Call struct {
	Request     *ForwardRequest
	Target      ident.TargetID
	Address     string
	Remaining   time.Duration // remaining time until the caller's deadline
	LastEventID string        // id of the last event that was delivered
	Rank        int           // among the requests that wait at the target; 0 goes first
	Import      *KVCacheRef   // KV cache to use; nil if there is none
	Source      string        // address of a target that may cache the prompt; empty if there is none
}

// KVCacheRef identifies KV cache that an engine keeps for one request.
type KVCacheRef struct {
	Address string
	Handle  string
}

// Outcome is the result of a Call: Answered, NotRun or Unknown. Only NotRun permits a statement to
// the caller that the request was not executed.
type Outcome interface{ outcome() }

// Answered carries the status, the headers and the unread body of the target's answer, whatever its
// status.
type Answered struct {
	Status int
	Header http.Header
	Body   io.ReadCloser  // an error before EOF means that the answer was truncated
	Load   *router.Report // load reported with the answer; nil if there is none
	Limit  permit.Statement
	// Leaving is set if the target says that it leaves.
	Leaving bool
}

// NotRun means that the target has not executed the request and never will.
type NotRun struct {
	Reason Reason
	Err    error
	Load   *router.Report // load reported with the answer; nil if there is none
	Limit  permit.Statement
	// Leaving is set if the target says that it leaves.
	Leaving bool
}

// Unknown means that the request may have been executed, or may still be.
type Unknown struct {
	Err error
	// Leaving is set if the head of an answer that cannot be used says that the target leaves.
	Leaving bool
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason is the reason why a request was not executed.
type Reason uint8

// Reasons why a request was not executed.
const (
	Unreachable       Reason = iota // nothing was sent
	Full                            // the target rejected the request
	AddressReassigned               // another target now has the address
	KVCacheGone                     // the KV cache to use no longer exists
	ReplyBroken                     // the reply to a prompt that was only processed is broken
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	return [...]string{"unreachable", "full", "elsewhere", "copy_gone", "reply_broken"}[r]
}

// Backend sends requests to targets in their protocol. It never retries on its own. Implementations
// are safe for concurrent use.
type Backend interface {
	// Run sends a call.
	Run(ctx context.Context, c Call) Outcome
	// Prefill processes the prompt of a call without generating an answer. The reference is nil if
	// it fails; the outcome then says why.
	Prefill(ctx context.Context, c Call) (*KVCacheRef, Outcome)
	// Release frees KV cache that will not be used.
	Release(ctx context.Context, c *KVCacheRef)
	// Refuses reports whether connections to an address are refused because nothing listens there.
	// It returns false for a target that does not reply.
	Refuses(ctx context.Context, address string) bool
}

// Sink receives the answer to a forwarded request. Begin is called once, before the first Write.
type Sink interface {
	Begin(status int, header http.Header) error
	// Write sends bytes of the body without buffering them.
	Write(p []byte) error
}
