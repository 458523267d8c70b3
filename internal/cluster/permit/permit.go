// Package permit keeps the requests that a target receives from all instances together within the
// rate limit that the target names in its answers.
//
// A target in need names a rate, and an instance that receives it counts only its own requests. A fixed
// share for each instance does not work at either end: of 8 requests per second, six instances
// with uneven load waste theirs, and of 300 instances each may send one at the same moment. One
// allocator, which the leader of the quorum runs, therefore grants permits at the named rate. A
// permit allows one request to one target, within PermitTime of the moment at which the instance
// asked for it. An instance with a record of a limit sends nothing to the target without a permit,
// whether the request is new, repeated, resumed or processes a prompt only.
//
// In any time W the target gets at most rate x (W + PermitTime) requests and one burst, because
// the allocator grants no faster, and a permit that is not used lapses. A new leader starts without
// any saved permits, so a change of the leader adds none.
//
// Limits spread in three ways: the instance that sees an answer applies it at once; it reports new
// limits and ends to the allocator; and the allocator's reply to any request lists all limits. An
// instance that has just started thus has them before it serves. Every answer states the truth
// again, so a stale record lasts until the next answer only.
//
// While the leader runs an earlier version, limits are observed and not kept.
//
// From an answer's header to a grant: dispatch/statements.go parses the header and records it in Limits,
// instance/permits.go reports it to the leader, leader/limits.go passes it to the Allocator and replies
// with permits, dispatch/permits.go takes one for each request, and in dispatch/limiting.go requests
// without one wait.
//
// Limits is the part of an instance, Allocator that of the leader. Neither holds a lock or reads a
// clock: the caller serializes access and passes the time.
package permit

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

const (
	// PermitTime is the time for which a permit is valid, from the request for it.
	PermitTime = 1 * time.Second
	// askInterval is the shortest time between two requests for permits for the same target, unless
	// no other target is usable.
	askInterval = 50 * time.Millisecond
	// maxWanted bounds the permits that one request asks for.
	maxWanted = 256
)

// Limit is the rate limit of one incarnation of a target.
type Limit struct {
	Target      ident.TargetID          `json:"target" msgpack:"target"`
	Incarnation ident.Incarnation       `json:"incarnation" msgpack:"incarnation"`
	Rate        ident.RequestsPerSecond `json:"rate" msgpack:"rate"` // from all instances together
}

// Observation is one instance's record of a limit, and the permits that it wants.
type Observation struct {
	Limit Limit `msgpack:"limit"`
	// Age is the time since the target last named the limit to the instance. For an ended limit it
	// is the time since the request was sent whose answer named none.
	Age    time.Duration `msgpack:"age"`
	Ended  bool          `msgpack:"ended"`
	Wanted int           `msgpack:"wanted"`
}

// Request is a request for permits.
type Request struct {
	Observations []Observation `msgpack:"observations"`
}

// Grant is the part of a reply for one target of which permits were wanted.
type Grant struct {
	Target      ident.TargetID    `msgpack:"target"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	Count       int               `msgpack:"count"`
	// RetryAfter is, if Count is 0, the time after which another request may be granted.
	RetryAfter time.Duration `msgpack:"back"`
}

// Snapshot lists all limits that an allocator has.
type Snapshot struct {
	Run    uint32  `msgpack:"run"` // of the allocator; 0 means that there is no snapshot
	Limits []Limit `msgpack:"limits"`
}

// Reply is the reply to a Request.
type Reply struct {
	Grants []Grant  `msgpack:"grants"`
	Known  Snapshot `msgpack:"known"`
}

// Change is what became of a limit.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began            // the limit is new or has another rate
	Ended            // the target has no limit any more
)

// ChangedLimit is a limit with its change; for an ended one, the limit as it was.
type ChangedLimit struct {
	Limit  Limit
	Change Change
}
