package fleet

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: a fleet is split into engines that only process prompts and engines that generate
// answers and also process prompts slowly between the tokens of those answers. When the mix of long
// prompts and short questions differs from the one that the split was made for, prompts wait or
// delay answers at a few engines while others have capacity that they cannot use.
//
// The split therefore follows the load: the number of engines that prompts keep busy and the number
// that answers fill. Engines change only if the more utilized side is full and another split
// reduces its utilization clearly, because an engine is unavailable for seconds while it changes,
// and again when it changes back.

// SplitPlanner decides how many of a service's engines process prompts only. The zero value is
// ready to use. It is not safe for concurrent use.
type SplitPlanner struct {
	started  clock.Time // time of the first load with prefill; 0 before it
	observed clock.Time // time of the newest load
	weight   float64    // sum of the decayed weights of the observations
	prefill  float64    // weighted sum of the engines needed for prefill
	decode   float64    // weighted sum of the engines needed for decode
	changed  clock.Time // when engines last changed or were changing
}

const (
	// splitWindow is the time constant of the averages.
	splitWindow = 4 * time.Second
	// splitWarmup is the time after the first load with prefill before which no change is planned.
	splitWarmup = 3 * time.Second
	// splitCooldown is the time after a change until its effect is visible.
	splitCooldown = 4 * time.Second
	// maxPrefillUtilization, maxDecodeUtilization and maxMemoryUtilization are the fractions of
	// an engine that can be used before queues form or answers are delayed.
	maxPrefillUtilization = 0.75
	maxDecodeUtilization  = 0.75
	maxMemoryUtilization  = 0.55
	// minUtilization is the utilization of the fuller side from which a change is considered,
	// and minGain the least factor by which a change has to reduce it.
	minUtilization = 0.9
	minGain        = 1.15
	// maxChangeDivisor limits the engines that change at a time to one in this many.
	maxChangeDivisor = 8
)

// Load is the load on a service's engines, in numbers of engines.
type Load struct {
	Prefill float64 `msgpack:"prompts"` // engines that prefill keeps busy
	Decode  float64 `msgpack:"answers"` // engines whose batch slots decode fills
	Memory  float64 `msgpack:"memory"`  // engines whose memory decode fills
}

// Valid reports whether all values are finite and not negative.
func (l Load) Valid() bool {
	for _, engines := range []float64{l.Prefill, l.Decode, l.Memory} {
		if !(engines >= 0) || math.IsInf(engines, 1) {
			return false
		}
	}
	return true
}

// engines returns the numbers of engines that prefill and decode need for none to be used beyond its bound.
func (l Load) engines() (prefill, decode float64) {
	return l.Prefill / maxPrefillUtilization, math.Max(l.Decode/maxDecodeUtilization, l.Memory/maxMemoryUtilization)
}

// Observe adds the present load to the averages. It ignores loads before the first one with
// prefill.
func (s *SplitPlanner) Observe(now clock.Time, l Load) {
	prefill, decode := l.engines()
	if s.started == 0 {
		if l.Prefill == 0 {
			return
		}
		s.started, s.observed = now, now
	}
	keep := math.Exp(-now.Sub(s.observed).Seconds() / splitWindow.Seconds())
	s.weight = s.weight*keep + 1
	s.prefill = s.prefill*keep + prefill
	s.decode = s.decode*keep + decode
	s.observed = now
}

// RecordChanging records that engines are currently changing from one role to the other.
func (s *SplitPlanner) RecordChanging(now clock.Time) { s.changed = now }

// Plan returns how many engines should change from generating answers to processing prompts only,
// given the present number of engines in each role. A negative number means the opposite change.
func (s *SplitPlanner) Plan(now clock.Time, prefill, mixed int) int {
	all := prefill + mixed
	early := s.started == 0 || now.Sub(s.started) < splitWarmup
	if early || all < 2 || s.changed > 0 && now.Sub(s.changed) < splitCooldown {
		return 0
	}
	present := s.utilization(prefill, all)
	best, least := prefill, present
	for n := 1; n < all; n++ {
		if load := s.utilization(n, all); load < least {
			best, least = n, load
		}
	}
	if present < minUtilization || present < minGain*least {
		return 0
	}
	atOnce := max(1, all/maxChangeDivisor)
	return min(max(best-prefill, -atOnce), atOnce)
}

// utilization returns the utilization of the fuller side of a split. Without prefill engines, the
// mixed engines do their work as well.
func (s *SplitPlanner) utilization(prefill, all int) float64 {
	prompts, answers := s.prefill/s.weight, s.decode/s.weight
	mixed := float64(all - prefill)
	if prefill == 0 {
		// mixedSlower is the time of a prompt at an engine that generates answers, relative
		// to a prefill engine.
		const mixedSlower = 2
		return (answers + mixedSlower*prompts) / mixed
	}
	if mixed == 0 {
		return math.Inf(1)
	}
	return math.Max(prompts/float64(prefill), answers/mixed)
}
