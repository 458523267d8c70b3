package router

import (
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Resolution and length of a history.
const (
	historyStep  = 250 * time.Millisecond
	historySteps = 32 // 8 seconds
)

// history records the load of this instance at a target over time, so that its share can be
// subtracted from a report that was measured in the past.
type history struct {
	samples [historySteps]sample
	step    int64 // step of the newest sample
}

// sample is the load at the end of a step: prompt tokens without a first token, and requests in
// progress.
type sample struct {
	waiting, running float32
}

// record records the load that was in effect until now.
func (h *history) record(now clock.Time, waiting, running float64) {
	step := int64(now) / int64(historyStep)
	if step <= h.step {
		return
	}
	s := sample{float32(waiting), float32(running)}
	for i := max(h.step, step-historySteps); i < step; i++ {
		h.samples[i%historySteps] = s
	}
	h.step = step
}

// at returns the load at a time in the past. ok is false for the current step. Times before the
// oldest sample return the oldest sample.
func (h *history) at(t clock.Time) (waiting, running float64, ok bool) {
	step := int64(t) / int64(historyStep)
	if step >= h.step {
		return 0, 0, false
	}
	s := h.samples[max(step, h.step-historySteps)%historySteps]
	return float64(s.waiting), float64(s.running), true
}
