package router

import (
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// worked sums up the prompts since the last look.
type worked struct {
	seconds float64 // of one prefill engine
	since   clock.Time
}

// TakeWork returns what the requests of this instance took of the engines of each service since the last call.
func (r *Router) TakeWork(now clock.Time) map[ident.ServiceID]fleet.Load {
	works := map[ident.ServiceID]fleet.Load{}
	for i := range r.slots {
		d := &r.details[i]
		if !d.known || d.target.Role == "" {
			continue
		}
		w := works[d.target.Service]
		if d.target.Role != desired.RolePrefill && d.slots > 0 {
			w.Decode += d.own / d.slots
		}
		if memory := r.turnover(d.target.Service).memory; memory > 0 {
			w.Memory += d.held / memory
		}
		works[d.target.Service] = w
	}
	for service, w := range works {
		done := r.works[service]
		if elapsed := now.Sub(done.since); done.since > 0 && elapsed > 0 {
			w.Prefill = max(0, done.seconds/elapsed.Seconds()) // what was withdrawn may have been counted before
		}
		works[service] = w
		r.works[service] = worked{since: now}
	}
	return works
}

// own returns the part of the tokens to process that no other request shares. Shared beginnings are processed at the start
// of a day and then kept: they tell nothing of the work to come.
func (req *Request) own(uncached float64) float64 {
	return min(uncached, max(0, float64(req.Prompt)-float64(len(req.Blocks))*float64(BlockTokens)))
}

// work counts a prompt that goes to a target, by the time that a prefill engine would take.
func (r *Router) work(i int32, tokens float64) {
	d := &r.details[i]
	pace := r.slots[i].pace
	if d.target.Role != desired.RolePrefill {
		pace = r.prefillPace(r.slots[i].service, pace)
	}
	done := r.works[d.target.Service]
	done.seconds += tokens * pace
	r.works[d.target.Service] = done
}

// prefillPace returns the pace of a service's prefill engines; mixed ones, of the given pace, process prompts at half of it.
func (r *Router) prefillPace(service int32, mixed float64) float64 {
	for i := range r.slots {
		if d := &r.details[i]; d.known && r.slots[i].service == service && d.target.Role == desired.RolePrefill {
			return r.slots[i].pace
		}
	}
	return mixed / 2
}

// holds returns the prompt tokens that a request keeps at a target while its answer is generated there.
func (r *Router) holds(i int32, req Request) float64 {
	if r.slots[i].roles&(1<<StageDecode) == 0 {
		return 0
	}
	return float64(req.Prompt)
}
