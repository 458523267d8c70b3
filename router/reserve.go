package router

import "github.com/hickoryridge/hickoryridge/desired"

// A prefill engine processes a long prompt in steps of some tenths of a second, and a short prompt
// that arrives during a step waits for its end. One prefill engine of each service is therefore
// reserved for short prompts. Long prompts go there only if the queues of the other engines are
// long, and short prompts go elsewhere only if the reserved engine's queue costs more than the wait
// for a step. All instances reserve the same engine, the usable one with the smallest ID.
const (
	// longPromptPenalty is the penalty of a long prompt at the reserved engine, and
	// stepWaitRisk that of a short prompt at the other engines, in seconds.
	longPromptPenalty = 2.0
	stepWaitRisk      = 0.07
)

// updateReserved selects the reserved engine of every service that has at least two prefill
// engines.
func (r *Router) updateReserved() {
	if !r.enginesChanged {
		return
	}
	r.enginesChanged = false
	clear(r.reservedEngines)
	r.listHomeCandidates()
	if r.cfg.NoReservedEngine {
		return
	}
	count := map[int32]int{}
	for i := range r.slots {
		s, d := &r.slots[i], &r.details[i]
		if !d.inUse || !s.usable || s.access != Unlimited || d.target.Role != desired.RolePrefill {
			continue
		}
		count[s.service]++
		least, ok := r.reservedEngines[s.service]
		if !ok || d.target.ID < r.details[least].target.ID {
			r.reservedEngines[s.service] = int32(i)
		}
	}
	for service, n := range count {
		if n < 2 {
			delete(r.reservedEngines, service)
		}
	}
}

// reservationCosts returns the penalties of a request at the reserved engine and at the other
// engines, in seconds.
func (q *query) reservationCosts() (reserved, others float64) {
	switch {
	case q.stage == StageDecode:
		return 0, 0
	case q.promptTokens < float64(BlockTokens):
		return 0, stepWaitRisk
	default:
		return longPromptPenalty, 0
	}
}
