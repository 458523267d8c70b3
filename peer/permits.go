package peer

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
)

// Acquire requests permits for targets with a rate limit from the leader, and reports the limits
// that targets named to the sender.
type Acquire struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Request  permit.Request   `msgpack:"request"`
}

// Acquired is the reply to an Acquire.
type Acquired struct {
	Reply permit.Reply `msgpack:"reply"`
}

func (*Acquire) kind() kind  { return kindAcquire }
func (*Acquired) kind() kind { return kindAcquired }
