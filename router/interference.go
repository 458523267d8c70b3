package router

import "github.com/hickoryridge/hickoryridge/ident"

// Load pattern: prompts arrive faster than prefill engines process them, and decode engines look
// idle. Decode engines process prompts slowly between the tokens of their answers, so a prompt
// there delays the next tokens of every answer on the engine. Whether answers become late depends
// on the engine's speed, on the number of tokens in an event and on the pause that callers
// tolerate. An instance is not informed of any of these.
//
// Each instance therefore counts how many of its answers had a pause longer than their objective,
// and raises the cost of prompts at engines that generate answers until few answers have one.

const (
	// latePauseFraction is the fraction of answers that may have a pause longer than their
	// objective.
	latePauseFraction = 0.03
	// interferenceStep is the increase of the price for each late answer.
	interferenceStep = 0.4
	// maxInterference limits the price, because above it prompts would wait for seconds
	// instead.
	maxInterference = 8.0
)

// interferencePrices is the additional cost of a second of prompt processing at an engine that
// generates answers, by service, in seconds.
type interferencePrices map[ident.ServiceID]float64

// RecordPause records the end of an answer, and whether a pause in it exceeded its objective.
func (r *Router) RecordPause(service ident.ServiceID, late bool) {
	step := -interferenceStep * latePauseFraction / (1 - latePauseFraction)
	if late {
		step = interferenceStep
	}
	r.interference[service] = min(max(0, r.interference[service]+step), maxInterference)
}

// longPromptInterference is the part of the price that long prompts always pay, regardless of
// pauses in answers, because short prompts also wait behind them.
const longPromptInterference = 1.5

// stageCost returns the additional cost of processing a prompt for own seconds, which depends on
// the stages that the target accepts.
func (r *Router) stageCost(s *slot, own float64, q *query) float64 {
	if s.stages&(1<<StageDecode) == 0 {
		return r.cfg.Handover.Seconds()
	}
	long := max(0, own-float64(BlockTokens)*s.tokenTime)
	return longPromptInterference*long + q.interference*own
}
