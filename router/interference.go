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
//
// Where the engines of a service differ much in speed, the slow ones cause nearly all such pauses: the same
// prompts take them several times as long. One price for all keeps prompts away from the fast ones too, and they wait
// among long prompts at prefill engines instead. There each engine has a price of its own, by the answers that it generated.

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

// interferencePrice is the additional cost of a second of prompt processing at an engine that
// generates answers, in seconds.
type interferencePrice float64

// after returns the price after an answer whose pauses met their objective, or did not.
func (p interferencePrice) after(late bool) interferencePrice {
	if late {
		return min(p+interferenceStep, maxInterference)
	}
	return max(0, p-interferenceStep*latePauseFraction/(1-latePauseFraction))
}

// RecordPause records the end of the answer to a request that was sent to the chosen target, and whether a pause in it exceeded its
// objective.
func (r *Router) RecordPause(service ident.ServiceID, c Choice, late bool) {
	r.interference[service] = r.interference[service].after(late)
	if r.details[c.slot].gen == c.gen {
		s := &r.slots[c.slot]
		s.interference = s.interference.after(late)
	}
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
	price := q.interference
	if q.uneven {
		price = s.interference
	}
	return longPromptInterference*long + float64(price)*own
}
