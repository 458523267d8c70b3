package desired

import (
	"cmp"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Limits bounds what a caller may send, and how long it may take. A field that is 0 leaves
// an instance's own bound.
type Limits struct {
	Header ident.Bytes `json:"header,omitempty"` // of a request's headers
	Body   ident.Bytes `json:"body,omitempty"`   // of a request's body
	Head   Duration    `json:"head,omitempty"`   // from a request's first byte until its headers are there
	Idle   Duration    `json:"idle,omitempty"`   // of a connection without a request
}

// Bounds of limits, whatever a document says.
const (
	MaxHeader = 1 << 18 // bytes
	MaxBody   = 1 << 28 // bytes
	MaxHead   = 1 * time.Minute
	MaxIdle   = 1 * time.Hour
)

func (v *validator) limits() {
	l := v.d.Limits
	if l.Header < 0 || l.Header > MaxHeader {
		v.faults.Add("$.limits.header", "want 0 to %d bytes, not %d", MaxHeader, l.Header)
	}
	if l.Body < 0 || l.Body > MaxBody {
		v.faults.Add("$.limits.body", "want 0 to %d bytes, not %d", MaxBody, l.Body)
	}
	if l.Head < 0 || l.Head.Span() > MaxHead {
		v.faults.Add("$.limits.head", "want 0s to %v, not %v", MaxHead, l.Head.Span())
	}
	if l.Idle < 0 || l.Idle.Span() > MaxIdle {
		v.faults.Add("$.limits.idle", "want 0s to %v, not %v", MaxIdle, l.Idle.Span())
	}
}

// Or returns l with the bounds of an instance where it has none.
func (l Limits) Or(own Limits) Limits {
	return Limits{
		Header: cmp.Or(l.Header, own.Header), Body: cmp.Or(l.Body, own.Body),
		Head: cmp.Or(l.Head, own.Head), Idle: cmp.Or(l.Idle, own.Idle),
	}
}
