package link

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Carriers returns other instances in the order in which an instance that is cut off opens connections through
// them. Near ones go first. The order of an instance stays the same while the others do, and different
// instances spread over the others by rendezvous hashing, so that none carries the requests of all.
func Carriers(self ident.InstanceID, others []ident.InstanceID, near func(ident.InstanceID) bool) []ident.InstanceID {
	type carrier struct {
		id    ident.InstanceID
		near  bool
		score uint64
	}
	var all []carrier
	for _, id := range others {
		if id != self {
			all = append(all, carrier{id, near(id), xxhash.Sum64String(string(id) + "\x00" + string(self))})
		}
	}
	slices.SortFunc(all, func(a, b carrier) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]ident.InstanceID, len(all))
	for i, c := range all {
		ids[i] = c.id
	}
	return ids
}
