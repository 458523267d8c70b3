package router

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: thousands of long prompts share a few hundred long beginnings, and every
// beginning is asked for through every instance. An instance that knew only its own sends
// would have each beginning processed once for each instance, at different engines, where
// they push each other out of the caches.
//
// So each beginning has a home, found by rendezvous hashing among the engines with their
// prefill rates as weights: all instances that see the same engines agree without a word, and an engine that comes or goes moves only its own part of the
// beginnings. The home counts while no engine is known to have the beginning; after that,
// what is known does. When the home's queue costs more than it is worth that others find the beginning there, the
// request goes elsewhere, and that place is told to the others like any other.

// findCandidates lists the usable engines of each service.
func (r *Router) findCandidates() {
	if !r.cfg.HomeEngines {
		return
	}
	clear(r.homes)
	for i := range r.slots {
		if r.usableEngine(int32(i)) {
			r.homes[r.slots[i].service] = append(r.homes[r.slots[i].service], int32(i))
		}
	}
}

// usableEngine reports whether a slot is that of an engine which takes requests.
func (r *Router) usableEngine(i int32) bool {
	d := &r.details[i]
	return d.known && r.slots[i].usable && d.target.Role != ""
}

// findHome finds the home of a beginning that no engine is known to have.
func (r *Router) findHome(pieces []uint64, w *wanted) {
	if !r.cfg.HomeEngines || len(pieces) == 0 || len(r.touched) > 0 || w.need == StageDecode {
		return
	}
	beginning := pieces[len(pieces)-1]
	most := 0.0
	for _, i := range r.homes[w.service] {
		d := &r.details[i]
		if score := d.rate * weight(beginning^d.hash); w.home < 0 || score > most {
			w.home, most = i, score
		}
	}
}

// weight returns a number above 0 for a hash. The largest of several such numbers, each
// times a factor, is each one's with a probability in proportion to its factor.
func weight(h uint64) float64 {
	const bits = 53 // of a float's fraction
	u := (float64(mix(h)>>(64-bits)) + 0.5) / (1 << bits)
	return -1 / math.Log(u)
}

// hashOf returns the hash of a target's name for rendezvous hashing.
func hashOf(t Target) uint64 { return xxhash.Sum64String(string(t.ID)) }

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
