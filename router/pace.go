package router

import (
	"math"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: engines differ from fleet to fleet by factors of ten, and some tell no rates. One that is taken as faster
// than it is gets long prompts until their callers leave; one that is taken as slower turns away what would be in time.
//
// So what engines of a service and role take is learnt from prompts that found no other waiting: those that did tell of
// the queue as well. What one engine takes beyond the others of its role counts in the same mean: it is the others' answers
// that tell of a whole fleet.

const (
	// paceWeight is what one outcome counts for in the mean.
	paceWeight = 0.05
	// paceRange bounds what is learnt, as a factor of the rate that is told or assumed.
	paceRange = 20.0
	// outcomeRange bounds what one outcome tells, as a factor of what was expected.
	outcomeRange = 4.0
	// leastOutcome is the length of a prompt from which on its time tells of the rate rather than of the trip, in tokens.
	leastOutcome = float64(BlockTokens)
)

// paceKey names engines whose paces are learnt together.
type paceKey struct {
	service int32
	role    desired.Role
}

// learn takes that the first token of a request came.
func (r *Router) learn(now clock.Time, c Choice, req Request) {
	tokens := float64(req.Prompt - c.Cached)
	if !r.cfg.LearnRates || c.sent == 0 || c.Wait > 0 || tokens < leastOutcome || c.Source != "" {
		return
	}
	d := &r.details[c.slot]
	key := r.paceKey(c.slot)
	took := now.Sub(c.sent).Seconds() - 2*d.link
	expected := tokens / d.rate * r.scaleOf(key)
	factor := min(max(took/expected, 1/outcomeRange), outcomeRange)
	scale := r.scaleOf(key) * math.Pow(factor, paceWeight)
	r.scales[key] = min(max(scale, 1/paceRange), paceRange)
}

func (r *Router) paceKey(i int32) paceKey {
	return paceKey{r.slots[i].service, r.details[i].target.Role}
}

// scaleOf returns what engines take in times of their rates.
func (r *Router) scaleOf(key paceKey) float64 {
	if scale, ok := r.scales[key]; ok {
		return scale
	}
	return 1
}

// pace returns the seconds that a target takes for a prompt token.
func (r *Router) pace(i int32) float64 { return r.scaleOf(r.paceKey(i)) / r.details[i].rate }
