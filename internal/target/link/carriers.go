package link

import (
	"slices"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/rendezvous"
)

// Carriers returns other instances in the order in which an instance that is cut off opens connections through
// them. Near ones go first. The order of an instance stays the same while the others do, and none carries the
// requests of all; see package rendezvous.
func Carriers(self ident.InstanceID, others []ident.InstanceID, near func(ident.InstanceID) bool) []ident.InstanceID {
	others = slices.DeleteFunc(slices.Clone(others), func(id ident.InstanceID) bool { return id == self })
	return rendezvous.Order(self, others, near)
}
