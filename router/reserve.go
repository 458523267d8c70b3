package router

import "github.com/hickoryridge/hickoryridge/desired"

// A prefill engine processes a long prompt in steps of some tenths of a second,
// and a short prompt that comes during a step waits for its end. So one prefill
// engine of each service is kept for short prompts: long ones go there only when
// the others' queues are long, and short ones go elsewhere only when its own queue
// costs more than the step that they would wait for. All instances reserve the same
// engine, the usable one with the smallest name.
const (
	// longPenalty is what a long prompt has to gain at the reserved engine, and
	// stepRisk what a short one risks at the others, in seconds.
	longPenalty = 2.0
	stepRisk    = 0.07
)

// reserve finds the reserved engine of every service that has two prefill engines
// or more.
func (r *Router) reserve() {
	if !r.stale {
		return
	}
	r.stale = false
	clear(r.reserved)
	r.findCandidates()
	if r.cfg.NoReservedEngine {
		return
	}
	count := map[int32]int{}
	for i := range r.slots {
		s, d := &r.slots[i], &r.details[i]
		if !d.known || !s.usable || d.target.Role != desired.RolePrefill {
			continue
		}
		count[s.service]++
		least, ok := r.reserved[s.service]
		if !ok || d.target.ID < r.details[least].target.ID {
			r.reserved[s.service] = int32(i)
		}
	}
	for service, n := range count {
		if n < 2 {
			delete(r.reserved, service)
		}
	}
}

// reservation returns what the reservation adds to the cost of a request at the
// reserved engine and at the others, in seconds.
func (w *wanted) reservation() (reserved, others float64) {
	switch {
	case w.need == StageDecode:
		return 0, 0
	case w.prompt < float64(BlockTokens):
		return 0, stepRisk
	default:
		return longPenalty, 0
	}
}
