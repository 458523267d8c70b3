package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/desired"
)

// Load pattern: thousands of long prompts share a few hundred long beginnings, and every
// beginning is asked for through every instance. An instance that knew only its own sends
// would have each beginning processed once for each instance, at different engines, where
// they push each other out of the caches.
//
// So each beginning has a home among the prefill engines and one among the engines that
// generate answers, found by rendezvous hashing: all instances that see the same engines
// agree without a word, and an engine that comes or goes moves only its own part of the
// beginnings. An instance expects the beginning at its home, whoever sent it there. A home
// is an expectation and no order: when its queue costs more than processing the beginning
// elsewhere, the request goes elsewhere, and that place is remembered like any other.

// findCandidates lists the usable engines of each service.
func (r *Router) findCandidates() {
	if !r.cfg.Homes {
		return
	}
	clear(r.homes)
	for i := range r.slots {
		s, d := &r.slots[i], &r.details[i]
		if d.known && s.usable && d.target.Role != "" {
			r.homes[s.service] = append(r.homes[s.service], int32(i))
		}
	}
}

// markHomes expects the whole beginning at its homes.
func (r *Router) markHomes(pieces []uint64, w *wanted) {
	if !r.cfg.Homes || len(pieces) == 0 {
		return
	}
	beginning := pieces[len(pieces)-1]
	prefill, answer := int32(-1), int32(-1)
	var mostPrefill, mostAnswer uint64
	for _, i := range r.homes[w.service] {
		weight := mix(beginning ^ r.details[i].hash)
		if r.details[i].target.Role == desired.RolePrefill {
			if prefill < 0 || weight > mostPrefill {
				prefill, mostPrefill = i, weight
			}
			continue
		}
		if answer < 0 || weight > mostAnswer {
			answer, mostAnswer = i, weight
		}
	}
	r.expect(prefill, len(pieces))
	r.expect(answer, len(pieces))
}

// expect marks a slot as having n pieces of the prompt.
func (r *Router) expect(i int32, n int) {
	if i < 0 || r.depth[i] >= int32(n) {
		return
	}
	if r.depth[i] == 0 {
		r.touched = append(r.touched, i)
	}
	r.depth[i] = int32(n)
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
