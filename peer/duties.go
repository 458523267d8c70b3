package peer

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/usage"
)

// Usage hands the requests that began at an instance's targets over to the leader.
type Usage struct {
	Instance ident.InstanceID `msgpack:"instance"`
	Boot     ident.BootID     `msgpack:"boot"`
	Report   usage.Report     `msgpack:"report"`
}

// UsageReceipt is the reply to a Usage.
type UsageReceipt struct {
	Receipt usage.Receipt `msgpack:"receipt"`
}

func (*Usage) kind() kind        { return kindUsage }
func (*UsageReceipt) kind() kind { return kindUsageReceipt }
