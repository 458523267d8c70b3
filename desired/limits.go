package desired

import (
	"cmp"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// RequestLimits bounds what a caller may send, and how long it may take. A field that is 0 leaves
// an instance's own bound.
type RequestLimits struct {
	Header        ident.Bytes `json:"header,omitempty"` // of a request's headers
	Body          ident.Bytes `json:"body,omitempty"`   // of a request's body
	HeaderTimeout Duration    `json:"head,omitempty"`   // from a request's first byte until its headers are there
	IdleTimeout   Duration    `json:"idle,omitempty"`   // of a connection without a request
}

// Bounds of limits, whatever a document says.
const (
	MaxHeaderBytes   = 1 << 18 // bytes
	MaxBodyBytes     = 1 << 28 // bytes
	MaxHeaderTimeout = 1 * time.Minute
	MaxIdleTimeout   = 1 * time.Hour
)

func (v *validator) limits() {
	l := v.d.Limits
	if l.Header < 0 || l.Header > MaxHeaderBytes {
		v.faults.Add("$.limits.header", "want 0 to %d bytes, not %d", MaxHeaderBytes, l.Header)
	}
	if l.Body < 0 || l.Body > MaxBodyBytes {
		v.faults.Add("$.limits.body", "want 0 to %d bytes, not %d", MaxBodyBytes, l.Body)
	}
	if l.HeaderTimeout < 0 || l.HeaderTimeout.AsDuration() > MaxHeaderTimeout {
		v.faults.Add("$.limits.head", "want 0s to %v, not %v", MaxHeaderTimeout, l.HeaderTimeout.AsDuration())
	}
	if l.IdleTimeout < 0 || l.IdleTimeout.AsDuration() > MaxIdleTimeout {
		v.faults.Add("$.limits.idle", "want 0s to %v, not %v", MaxIdleTimeout, l.IdleTimeout.AsDuration())
	}
}

// WithDefaults returns l with the bounds of an instance where it has none.
func (l RequestLimits) WithDefaults(own RequestLimits) RequestLimits {
	return RequestLimits{
		Header: cmp.Or(l.Header, own.Header), Body: cmp.Or(l.Body, own.Body),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, own.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, own.IdleTimeout),
	}
}
