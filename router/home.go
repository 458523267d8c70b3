package router

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: thousands of long prompts share a few hundred long prefixes, and requests for every
// prefix arrive through every instance. An instance that knew only the requests it sent itself
// would have each prefix processed once per instance, at different engines, where the copies evict
// each other from the caches.
//
// Each prefix therefore has a home engine, chosen by weighted rendezvous hashing with the engines'
// prefill rates as weights. All instances that see the same engines agree on it without
// communication, and an engine that joins or leaves moves only its own share of the prefixes. The
// home is used only while no engine is known to cache the prefix. If the queue of the home costs
// more than other requests gain by finding the prefix there, the request goes elsewhere, and that
// location is shared with the other instances like any other.

// listHomeCandidates lists the usable engines of each service that have no rate limit.
func (r *Router) listHomeCandidates() {
	if !r.cfg.HomeEngines {
		return
	}
	clear(r.homeCandidates)
	for i := range r.slots {
		if r.usableEngine(int32(i)) && r.slots[i].access == Unlimited {
			r.homeCandidates[r.slots[i].service] = append(r.homeCandidates[r.slots[i].service], int32(i))
		}
	}
}

// usableEngine reports whether a slot is an engine that accepts new work.
func (r *Router) usableEngine(i int32) bool {
	d := &r.details[i]
	return d.inUse && r.slots[i].usable && d.target.Role != ""
}

// findHome finds the home of a prefix that is not known to be cached anywhere.
func (r *Router) findHome(blocks []uint64, q *query) {
	if !r.cfg.HomeEngines || len(blocks) == 0 || len(r.cachingSlots) > 0 || q.stage == StageDecode {
		return
	}
	prefixHash := blocks[len(blocks)-1]
	highest := 0.0
	for _, i := range r.homeCandidates[q.service] {
		d := &r.details[i]
		if score := d.rate * rendezvousWeight(prefixHash^d.hash); q.home < 0 || score > highest {
			q.home, highest = i, score
		}
	}
}

// rendezvousWeight returns a positive pseudorandom number for a hash. Among several such numbers,
// each multiplied by a factor, the probability of being the largest is proportional to the factor.
func rendezvousWeight(h uint64) float64 {
	const bits = 53 // precision of a float64
	u := (float64(mixHash(h)>>(64-bits)) + 0.5) / (1 << bits)
	return -1 / math.Log(u)
}

// targetHash returns the hash of a target's ID for rendezvous hashing.
func targetHash(t Target) uint64 { return xxhash.Sum64String(string(t.ID)) }

// mixHash mixes the bits of a hash.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
