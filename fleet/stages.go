package fleet

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: the engines of a fleet are split into those that process prompts only and those that generate answers, and
// process prompts slowly between the tokens of these. As the mix of long prompts and short questions differs from what the
// split was made for, prompts wait, or hold up answers, at a few engines, while others have room that they cannot use.
//
// So the split follows the work: how many engines the prompts keep busy, and how many the answers fill. Engines change only
// where the fuller side is full and another split leaves it clearly emptier, since an engine that changes is away for
// seconds and its changing back as well.

// SplitPlanner decides how many of a service's engines process prompts only. Use the zero value. It holds no lock and reads no
// clock.
type SplitPlanner struct {
	began   clock.Time // of the first work; 0 before
	at      clock.Time // of the newest
	weight  float64    // of the works seen, older ones less
	prompts float64    // engines, summed up by weight
	answers float64    // likewise
	changed clock.Time // when engines were last told to change, or were away
}

const (
	// stagesWindow is the time constant of the averages.
	stagesWindow = 4 * time.Second
	// stagesFirst is the time from the first work on before which nothing is concluded.
	stagesFirst = 3 * time.Second
	// stagesPause is the time after a change in which its effect shows.
	stagesPause = 4 * time.Second
	// promptsUse, answersUse and memoryUse are the parts of an engine that can be used before queues form or answers are
	// put off.
	promptsUse = 0.75
	answersUse = 0.75
	memoryUse  = 0.55
	// stagesFull is the load of the fuller side from which on a change is considered, and stagesGain what it is
	// divided by at least if engines are to change.
	stagesFull = 0.9
	stagesGain = 1.15
	// stagesAtOnce is the part of the engines, as one in so many, that change at a time.
	stagesAtOnce = 8
)

// Load is the work of a service's engines, in engines.
type Load struct {
	Prefill float64 `msgpack:"prompts"` // that prompts keep busy
	Decode  float64 `msgpack:"answers"` // whose places answers fill
	Memory  float64 `msgpack:"memory"`  // whose memory answers fill
}

// Valid reports whether the work is made of numbers from 0 up.
func (w Load) Valid() bool {
	for _, part := range []float64{w.Prefill, w.Decode, w.Memory} {
		if !(part >= 0) || math.IsInf(part, 1) {
			return false
		}
	}
	return true
}

// Observe takes the present work.
func (s *SplitPlanner) Observe(now clock.Time, w Load) {
	prompts := w.Prefill / promptsUse
	answers := math.Max(w.Decode/answersUse, w.Memory/memoryUse)
	if s.began == 0 {
		if w.Prefill == 0 {
			return
		}
		s.began, s.at = now, now
	}
	keep := math.Exp(-now.Sub(s.at).Seconds() / stagesWindow.Seconds())
	s.weight = s.weight*keep + 1
	s.prompts = s.prompts*keep + prompts
	s.answers = s.answers*keep + answers
	s.at = now
}

// Changing tells that engines are on their way from one part to the other.
func (s *SplitPlanner) Changing(now clock.Time) { s.changed = now }

// Plan returns how many engines should change from generating answers to processing prompts only, or the other way if it is
// negative, where so many have either part.
func (s *SplitPlanner) Plan(now clock.Time, prefill, mixed int) int {
	all := prefill + mixed
	early := s.began == 0 || now.Sub(s.began) < stagesFirst
	if early || all < 2 || s.changed > 0 && now.Sub(s.changed) < stagesPause {
		return 0
	}
	present := s.load(prefill, all)
	best, least := prefill, present
	for n := 1; n < all; n++ {
		if load := s.load(n, all); load < least {
			best, least = n, load
		}
	}
	if present < stagesFull || present < stagesGain*least {
		return 0
	}
	atOnce := max(1, all/stagesAtOnce)
	return min(max(best-prefill, -atOnce), atOnce)
}

// load returns how full the fuller side of a split is; without prefill engines the others do their work as well.
func (s *SplitPlanner) load(prefill, all int) float64 {
	prompts, answers := s.prompts/s.weight, s.answers/s.weight
	mixed := float64(all - prefill)
	if prefill == 0 {
		const mixedSlower = 2 // an engine that generates answers takes this many times as long for a prompt
		return (answers + mixedSlower*prompts) / mixed
	}
	if mixed == 0 {
		return math.Inf(1)
	}
	return math.Max(prompts/float64(prefill), answers/mixed)
}
