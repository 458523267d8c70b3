package router

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: engines that do not report cache events evict the least recently used prompts, the
// sooner the more they process. If an evicted prompt is assumed to be cached, the engine is chosen
// for no benefit; if a cached prompt is assumed to be evicted, another engine recomputes it. No
// fixed retention time fits most fleets: a few busy engines turn over their memory within ten
// seconds, while many engines keep a prompt for minutes.
//
// Each instance therefore measures the tokens that it has engines process, assumes that the other
// instances do the same, and counts a prompt as cached for the time in which these tokens fill a
// fraction of an engine's memory.

const (
	// retentionWindow is the time constant of the average over own prompts.
	retentionWindow = 20 * time.Second
	// cacheFraction is the fraction of an engine's memory that holds cached prompts. Running
	// requests occupy the rest.
	cacheFraction = 0.5
	// minRetention is a lower bound on the estimated retention, because a prompt that is being
	// processed is in the cache.
	minRetention = 2 * time.Second
	// retentionWarmup is the time after the first prompt during which no retention is estimated.
	retentionWarmup = 1 * time.Second
)

// turnover measures the prompt tokens that this instance has a service's engines process.
type turnover struct {
	memory    float64 // KV cache capacity of one engine in tokens; 0 if unknown
	processed float64 // tokens, with exponential decay
	updated   clock.Time
	started   clock.Time // time of the first prompt; 0 before it
}

// add adds prompt tokens to process.
func (t *turnover) add(now clock.Time, tokens float64) {
	if t.started == 0 {
		t.started, t.updated = now, now
	}
	t.processed = t.processed*math.Exp(-now.Sub(t.updated).Seconds()/retentionWindow.Seconds()) + tokens
	t.updated = now
}

// rate returns the tokens per second. ok is false during the warm-up.
func (t *turnover) rate(now clock.Time) (rate float64, ok bool) {
	elapsed := now.Sub(t.started)
	if t.started == 0 || elapsed < retentionWarmup {
		return 0, false
	}
	window := retentionWindow.Seconds()
	// At first, the sum covers less than a whole window.
	seen := window * (1 - math.Exp(-elapsed.Seconds()/window))
	return t.processed * math.Exp(-now.Sub(t.updated).Seconds()/window) / seen, true
}

// retention returns the time for which an engine keeps a prompt after its last use, at most
// longest. It assumes that the given number of instances send the same load as this one.
func (t *turnover) retention(now clock.Time, engines, instances int, longest time.Duration) time.Duration {
	rate, ok := t.rate(now)
	if !ok || t.memory <= 0 || rate == 0 || engines == 0 {
		return longest
	}
	perEngine := rate * float64(max(1, instances)) / float64(engines)
	fillTime := cacheFraction * t.memory / perEngine
	if fillTime >= longest.Seconds() {
		return longest
	}
	return max(minRetention, seconds(fillTime))
}

// SetKVCapacity sets the KV cache capacity of one engine of a service in tokens; 0 means unknown.
func (r *Router) SetKVCapacity(service ident.ServiceID, memory ident.Tokens) {
	r.turnover(service).memory = float64(memory)
}

func (r *Router) turnover(service ident.ServiceID) *turnover {
	t := r.turnovers[service]
	if t == nil {
		t = &turnover{}
		r.turnovers[service] = t
	}
	return t
}

// Expire removes prefix entries whose last use is too long ago to count as cached, given the number
// of instances that send requests. It also decays failure penalties.
func (r *Router) Expire(now clock.Time, instances int) {
	r.decayFailures(now)
	for i := range r.slots {
		if r.details[i].inUse {
			r.updateCost(int32(i)) // the learned token times may have changed
		}
	}
	if r.cfg.MaxRetention == 0 {
		return
	}
	engines := map[ident.ServiceID]int{}
	for i := range r.slots {
		if r.usableEngine(int32(i)) {
			engines[r.details[i].target.Service]++
		}
	}
	before := map[ident.ServiceID]clock.Time{}
	for service, n := range engines {
		before[service] = now.Add(-r.turnover(service).retention(now, n, instances, r.cfg.MaxRetention))
	}
	for _, set := range r.prefixes.holders {
		set.expire(func(slot int32) clock.Time { return before[r.details[slot].target.Service] })
	}
}
