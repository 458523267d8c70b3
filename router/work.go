package router

import (
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// prefillWork accumulates the prefill time of prompts.
type prefillWork struct {
	seconds float64 // of one prefill engine
	since   clock.Time
}

// TakeWork returns the load of this instance's requests on the engines of each service. The prefill
// load is the average since the previous call.
func (r *Router) TakeWork(now clock.Time) map[ident.ServiceID]fleet.Load {
	loads := map[ident.ServiceID]fleet.Load{}
	for i := range r.slots {
		d := &r.details[i]
		if !d.inUse || d.target.Role == "" {
			continue
		}
		load := loads[d.target.Service]
		if d.target.Role != desired.RolePrefill && d.slots > 0 {
			load.Decode += d.ownRunning / d.slots
		}
		if memory := r.turnover(d.target.Service).memory; memory > 0 {
			load.Memory += d.ownKVTokens / memory
		}
		loads[d.target.Service] = load
	}
	for service, load := range loads {
		work := r.prefillWork[service]
		if elapsed := now.Sub(work.since); work.since > 0 && elapsed > 0 {
			// Withdrawn prompts may have been counted in an earlier interval.
			load.Prefill = max(0, work.seconds/elapsed.Seconds())
		}
		loads[service] = load
		r.prefillWork[service] = prefillWork{since: now}
	}
	return loads
}

// unsharedTokens returns the tokens to process, without those of the shared prefix. Shared prefixes
// are processed once at the start of a day and then stay cached, so they do not predict future
// load.
func (req *Request) unsharedTokens(uncached float64) float64 {
	return min(uncached, max(0, float64(req.Prompt)-float64(len(req.Blocks))*float64(BlockTokens)))
}

// addPrefillWork adds the time that a prefill engine would take for a prompt.
func (r *Router) addPrefillWork(i int32, tokens float64) {
	d := &r.details[i]
	tokenTime := r.slots[i].tokenTime
	if d.target.Role != desired.RolePrefill {
		tokenTime = r.prefillTokenTime(r.slots[i].service, tokenTime)
	}
	work := r.prefillWork[d.target.Service]
	work.seconds += tokens * tokenTime
	r.prefillWork[d.target.Service] = work
}

// prefillTokenTime returns the token time of a service's prefill engines. If there are none, it is
// estimated as half the given token time of a mixed engine.
func (r *Router) prefillTokenTime(service int32, mixedTime float64) float64 {
	for i := range r.slots {
		if d := &r.details[i]; d.inUse && r.slots[i].service == service && d.target.Role == desired.RolePrefill {
			return r.slots[i].tokenTime
		}
	}
	return mixedTime / 2
}

// kvTokens returns the prompt tokens that a request occupies in a target's KV cache while its
// answer is generated there.
func (r *Router) kvTokens(i int32, req Request) float64 {
	if r.slots[i].stages&(1<<StageDecode) == 0 {
		return 0
	}
	return float64(req.Prompt)
}
