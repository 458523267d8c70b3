package router

import "github.com/hickoryridge/hickoryridge/ident"

// Load pattern: prompts come faster than prefill engines take them, and decode engines, which process prompts slowly
// between the tokens of their answers, look idle. A prompt there keeps every answer of the engine from its next tokens
// for a while. Whether that makes answers late depends on the engine's speed, on the tokens of an event and on the
// pause that callers bear, none of which an instance is told.
//
// So each instance counts how many of its answers had a pause beyond their objective, and lets prompts at engines that
// generate answers cost more until few of them have one.

const (
	// pausedPart is the part of the answers that may have a pause beyond their objective.
	pausedPart = 0.03
	// holdUpStep is what one late answer adds to the price.
	holdUpStep = 0.4
	// holdUpMost bounds the price: beyond it, prompts would rather wait for seconds.
	holdUpMost = 8.0
)

// holdUps is what a second of a prompt at an engine that generates answers costs besides, by service, in seconds.
type holdUps map[ident.ServiceID]float64

// RecordPause counts an answer that ended, and whether a pause in it was longer than its objective.
func (r *Router) RecordPause(service ident.ServiceID, late bool) {
	step := -holdUpStep * pausedPart / (1 - pausedPart)
	if late {
		step = holdUpStep
	}
	r.holdUps[service] = min(max(0, r.holdUps[service]+step), holdUpMost)
}

// longHoldUp is the part of the price that holds for long prompts whatever the answers' pauses: short prompts wait
// behind them as well.
const longHoldUp = 1.5

// stageCost returns what processing a prompt for own seconds costs besides, by the stages that the target serves.
func (r *Router) stageCost(s *slot, own float64, w *wanted) float64 {
	if s.roles&(1<<StageDecode) == 0 {
		return r.cfg.Handover.Seconds()
	}
	long := max(0, own-float64(BlockTokens)*s.pace)
	return longHoldUp*long + w.holdUp*own
}
