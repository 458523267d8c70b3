package router

import (
	"math"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: the speeds of engines differ between fleets by factors of ten, and some engines
// report no rates. An engine that is assumed faster than it is receives long prompts until their
// callers give up; one that is assumed slower causes requests to be refused that would be in time.
//
// The token time of the engines of a service and role is therefore learned from prompts that found
// no others waiting, since the outcome of other prompts also includes the queue. A difference
// between one engine and the others of its role enters the same average, because only the outcomes
// of many engines describe a whole fleet; see speed.go for fleets whose engines differ much.

const (
	// outcomeWeight is the weight of one outcome in the average.
	outcomeWeight = 0.05
	// maxScale limits the learned scale relative to the reported or assumed rate.
	maxScale = 20.0
	// maxOutcomeFactor limits the effect of one outcome relative to the expected time.
	maxOutcomeFactor = 4.0
	// minOutcomeTokens is the length of a prompt, in tokens, from which its time depends on the
	// rate more than on the network.
	minOutcomeTokens = float64(BlockTokens)
)

// tokenTimeKey identifies engines whose token times are learned together.
type tokenTimeKey struct {
	service int32
	role    desired.Role
}

// learnTokenTime learns from the time of a request's first token.
func (r *Router) learnTokenTime(now clock.Time, c Choice, req Request) {
	tokens := float64(req.Prompt - c.Cached)
	if !r.cfg.LearnRates || c.sent == 0 || tokens < minOutcomeTokens || c.Source != "" {
		return
	}
	d := &r.details[c.slot]
	key := r.tokenTimeKey(c.slot)
	took := now.Sub(c.sent).Seconds() - 2*d.link
	if r.cfg.LearnSpeeds && took > 0 {
		r.learnSpeed(c.slot, tokens, took, c.Wait.Seconds())
	}
	if c.Wait > 0 {
		return
	}
	expected := tokens / d.rate * r.tokenTimeScale(key)
	factor := min(max(took/expected, 1/maxOutcomeFactor), maxOutcomeFactor)
	scale := r.tokenTimeScale(key) * math.Pow(factor, outcomeWeight)
	r.tokenTimeScales[key] = min(max(scale, 1/maxScale), maxScale)
}

func (r *Router) tokenTimeKey(i int32) tokenTimeKey {
	return tokenTimeKey{r.slots[i].service, r.details[i].target.Role}
}

// tokenTimeScale returns the learned token time relative to the reported rate.
func (r *Router) tokenTimeScale(key tokenTimeKey) float64 {
	if scale, ok := r.tokenTimeScales[key]; ok {
		return scale
	}
	return 1
}

// tokenTime returns the seconds that a target takes for a prompt token.
func (r *Router) tokenTime(i int32) float64 {
	key := r.tokenTimeKey(i)
	scale := r.tokenTimeScale(key)
	if of := r.roleSpeeds[key]; of != nil && of.uneven {
		scale = r.expectedScale(i, of)
	}
	return scale / r.details[i].rate
}
