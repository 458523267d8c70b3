// Package rendezvous orders instances by rendezvous hashing, so that those which need another instance spread
// over all of them, each with an order that stays while the others do.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
)

// candidate is an instance with what decides its place.
type candidate struct {
	id    ident.InstanceID
	near  bool
	score uint64
}

// Order returns instances in the order in which self prefers them. Near ones go first.
func Order(self ident.InstanceID, ids []ident.InstanceID, near func(ident.InstanceID) bool) []ident.InstanceID {
	var all []candidate
	for _, id := range ids {
		all = append(all, candidate{id, near(id), xxhash.Sum64String(string(id) + "\x00" + string(self))})
	}
	slices.SortFunc(all, compare)
	ordered := make([]ident.InstanceID, len(all))
	for i, c := range all {
		ordered[i] = c.id
	}
	return ordered
}

// compare orders the preferred instance first.
func compare(a, b candidate) int {
	if a.near != b.near {
		if a.near {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}
