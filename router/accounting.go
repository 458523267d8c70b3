package router

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Report is a load report of a target.
type Report struct {
	Age         time.Duration // since the measurement
	Waiting     ident.Tokens
	Running     int
	Slots       int
	PrefillRate ident.TokensPerSecond
	// Pace is the time that work takes on the target's host at present, in hundredths of the usual; 0 if the target
	// states none.
	Pace int
}

// Report applies a load report. The part of the load that this instance caused is subtracted,
// because the router counts it itself. If the instances share queue lengths, the waiting tokens in
// the report do not count; see SetQueued.
func (r *Router) Report(now clock.Time, id ident.TargetID, rep Report) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	d := &r.details[i]
	d.report = rep
	if rep.PrefillRate > 0 {
		d.rate = float64(rep.PrefillRate)
	}
	d.history.record(now, d.ownWaiting, d.ownRunning)
	waiting, running, ok := d.history.at(now.Add(-rep.Age))
	if !ok {
		waiting, running = d.ownWaiting, d.ownRunning
	}
	r.addRunning(i, -1)
	if !r.cfg.SharedQueues {
		d.backlog.observe(float64(rep.Waiting), waiting, rep.Age)
	}
	d.running.observe(float64(rep.Running), running, rep.Age)
	r.addRunning(i, +1)
	d.herdFactor = r.herdFactor(i, rep.Age)
	d.slots = float64(rep.Slots)
	r.statePace(now, i, rep.Pace)
	r.updateCost(i)
}

// ReportedLoad returns the last reported load of a target in requests. Each block of waiting prompt
// tokens counts as one request in addition to the running ones.
func (r *Router) ReportedLoad(id ident.TargetID) float64 {
	i, ok := r.byID[id]
	if !ok {
		return 0
	}
	rep := &r.details[i].report
	return float64(rep.Waiting)/float64(BlockTokens) + float64(rep.Running)
}

// Sent records that a request is sent to the chosen target. It returns the choice to pass to
// FirstToken, Answered, Ended and Withdrawn.
func (r *Router) Sent(now clock.Time, c Choice, req Request) Choice {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return c
	}
	c.sent = now
	defer r.updateCost(c.slot)
	d.history.record(now, d.ownWaiting, d.ownRunning)
	d.ownRunning++
	d.ownKVTokens += r.kvTokens(c.slot, req)
	// An engine that can fetch KV cache also caches what it imports.
	if req.Stage != StageDecode || r.cfg.KVFetch {
		for _, h := range req.Blocks {
			r.prefixes.add(h, c.slot, now)
		}
	}
	if req.Stage == StageDecode {
		return c
	}
	uncached := max(0, float64(req.Prompt-c.Cached))
	d.ownWaiting += uncached
	d.ownByUrgency.add(req.level(), uncached)
	r.turnover(d.target.Service).add(now, uncached)
	r.addPrefillWork(c.slot, req.unsharedTokens(uncached))
	return c
}

// FirstToken records the first token of an answer, by which the prompt has been processed.
func (r *Router) FirstToken(now clock.Time, c Choice, req Request) {
	d := &r.details[c.slot]
	if d.gen != c.gen || req.Stage == StageDecode {
		return
	}
	r.learnTokenTime(now, c, req)
	r.processed(now, c, req)
}

// processed removes a request's prompt from the waiting ones.
func (r *Router) processed(now clock.Time, c Choice, req Request) {
	d := &r.details[c.slot]
	if req.Stage == StageDecode {
		return
	}
	d.history.record(now, d.ownWaiting, d.ownRunning)
	uncached := max(0, float64(req.Prompt-c.Cached))
	d.ownWaiting = max(0, d.ownWaiting-uncached)
	d.ownByUrgency.remove(req.level(), uncached)
	r.updateCost(c.slot)
}

// Ended records the end of a request. first reports whether FirstToken was called for it.
func (r *Router) Ended(now clock.Time, c Choice, req Request, first bool) {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return
	}
	if !first {
		r.processed(now, c, req)
	} else if req.Stage == StageAny {
		r.learnServeTime(now, c)
	}
	d.history.record(now, d.ownWaiting, d.ownRunning)
	d.ownRunning = max(0, d.ownRunning-1)
	d.ownKVTokens = max(0, d.ownKVTokens-r.kvTokens(c.slot, req))
	r.updateCost(c.slot)
}

// Withdrawn records the end of a request that was not sent after all, so that the target does not
// cache its prompt.
func (r *Router) Withdrawn(now clock.Time, c Choice, req Request) {
	if r.details[c.slot].gen == c.gen && !c.PrefixCached {
		for _, h := range req.Blocks {
			r.prefixes.remove(h, c.slot)
		}
	}
	c.sent = 0 // exclude the request from learning
	if req.Stage != StageDecode {
		r.addPrefillWork(c.slot, -req.unsharedTokens(max(0, float64(req.Prompt-c.Cached))))
	}
	r.Ended(now, c, req, false)
}

// OwnLoad is the load of this instance at a target.
type OwnLoad struct {
	Target  ident.TargetID
	Waiting ident.Tokens // prompt tokens without a first token
	Answers Answers      // zero if none of them failed or failures are not shared
}

// OwnLoads returns the load of this instance at each target where it has waiting prompts or recent
// failures.
func (r *Router) OwnLoads(now clock.Time) []OwnLoad {
	var own []OwnLoad
	for i := range r.details {
		d := &r.details[i]
		o := OwnLoad{Target: d.target.ID, Waiting: ident.Tokens(d.ownWaiting)}
		if r.cfg.SharedFailures && d.answers.Failed > 0 {
			d.answers.decay(now)
			o.Answers = d.answers.Answers
		}
		if d.inUse && (d.ownWaiting >= 1 || o.Answers.Failed > minReportedFailures) {
			own = append(own, o)
		}
	}
	return own
}

// minReportedFailures is the decayed number of failures up to which OwnLoads omits the answers of a
// target.
const minReportedFailures = 0.1

// SetQueued sets the prompt tokens that wait at a target for all instances together, as of the
// given age. The running requests that the target reported are kept.
func (r *Router) SetQueued(now clock.Time, id ident.TargetID, waiting ident.Tokens, age time.Duration) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	d := &r.details[i]
	d.history.record(now, d.ownWaiting, d.ownRunning)
	own, _, ok := d.history.at(now.Add(-age))
	if !ok {
		own = d.ownWaiting
	}
	d.backlog.observe(float64(waiting), own, age)
	r.updateCost(i)
}

// Load is the estimated load of a target.
type Load struct {
	Target  Target
	Usable  bool
	Waiting ident.Tokens
	Running int
}

// Loads returns the estimated load of every target.
func (r *Router) Loads() []Load {
	loads := make([]Load, 0, len(r.byID))
	for i := range r.slots {
		if s, d := &r.slots[i], &r.details[i]; d.inUse {
			loads = append(loads, Load{
				Target: d.target, Usable: s.usable,
				Waiting: ident.Tokens(d.queuedTokens(urgencyLevels - 1)), Running: int(d.inProgress()),
			})
		}
	}
	return loads
}
