package router

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: engines that tell nothing of their caches drop the least recently used
// prompts, the sooner the more they process. One that is believed to have a prompt which it dropped is
// chosen for nothing; one that is not believed to have it has others process the prompt
// again. A fixed time is wrong on most fleets: a few busy engines turn their memory over
// within ten seconds, many have a prompt for minutes.
//
// So each instance measures what it has engines process, takes the other instances to do the
// same, and counts a prompt as cached for the time in which that fills a part of an engine's memory.

const (
	// retentionWindow is the time over which the own prompts are averaged.
	retentionWindow = 20 * time.Second
	// retentionShare is the part of an engine's memory that cached prompts have; running
	// requests have the rest.
	retentionShare = 0.5
	// retentionLeast bounds the time from below: a prompt that is being processed is there.
	retentionLeast = 2 * time.Second
	// retentionFirst is the time from the first prompt on before which nothing is concluded.
	retentionFirst = 1 * time.Second
)

// turnover measures the prompt tokens that this instance has a service's engines process.
type turnover struct {
	memory  float64 // tokens that one engine keeps; 0 if that is not known
	read    float64 // tokens, older ones counting less
	updated clock.Time
	began   clock.Time // 0 before the first
}

// add counts tokens to process.
func (t *turnover) add(now clock.Time, tokens float64) {
	if t.began == 0 {
		t.began, t.updated = now, now
	}
	t.read = t.read*math.Exp(-now.Sub(t.updated).Seconds()/retentionWindow.Seconds()) + tokens
	t.updated = now
}

// rate returns the tokens to process in a second; ok is false while too little is known.
func (t *turnover) rate(now clock.Time) (rate float64, ok bool) {
	elapsed := now.Sub(t.began)
	if t.began == 0 || elapsed < retentionFirst {
		return 0, false
	}
	window := retentionWindow.Seconds()
	// The sum has not seen a whole window at first.
	seen := window * (1 - math.Exp(-elapsed.Seconds()/window))
	return t.read * math.Exp(-now.Sub(t.updated).Seconds()/window) / seen, true
}

// retention returns the time for which an engine of a fleet has a prompt after its last use,
// at most longest, where so many instances send the same as this one.
func (t *turnover) retention(now clock.Time, engines, instances int, longest time.Duration) time.Duration {
	rate, ok := t.rate(now)
	if !ok || t.memory <= 0 || rate == 0 || engines == 0 {
		return longest
	}
	each := rate * float64(max(1, instances)) / float64(engines)
	lasts := retentionShare * t.memory / each
	if lasts >= longest.Seconds() {
		return longest
	}
	return max(retentionLeast, seconds(lasts))
}

// SetMemory tells how many tokens one engine of a service keeps; 0 means unknown.
func (r *Router) SetMemory(service ident.ServiceID, memory ident.Tokens) {
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

// Expire drops what was last used too long ago to count as cached, where so many instances
// send requests, and failures that are long past.
func (r *Router) Expire(now clock.Time, instances int) {
	r.forgive(now)
	for i := range r.slots {
		if r.details[i].known {
			r.settle(int32(i)) // by what was learnt of others since
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
		set.forget(func(slot int32) clock.Time { return before[r.details[slot].target.Service] })
	}
}
