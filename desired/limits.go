package desired

import (
	"cmp"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// RequestLimits bounds the size of requests and the time that a caller may take to
// send one. For a field that is 0 the setting of the instance applies.
type RequestLimits struct {
	Header        ident.Bytes `json:"header,omitempty"` // size of the request headers
	Body          ident.Bytes `json:"body,omitempty"`   // size of the request body
	HeaderTimeout Duration    `json:"head,omitempty"`   // from the first byte to the end of the headers
	IdleTimeout   Duration    `json:"idle,omitempty"`   // for a connection without a request
}

// Upper bounds of the limits in a document.
const (
	MaxHeaderBytes   = 1 << 18 // bytes
	MaxBodyBytes     = 1 << 28 // bytes
	MaxHeaderTimeout = 1 * time.Minute
	MaxIdleTimeout   = 1 * time.Hour
)

func (v *validator) checkRequestLimits() {
	l := v.doc.Limits
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

// WithDefaults returns l with each field that is 0 replaced by that of defaults.
func (l RequestLimits) WithDefaults(defaults RequestLimits) RequestLimits {
	return RequestLimits{
		Header: cmp.Or(l.Header, defaults.Header), Body: cmp.Or(l.Body, defaults.Body),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaults.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, defaults.IdleTimeout),
	}
}
