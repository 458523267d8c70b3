package router

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Report is a target's load as it reported it.
type Report struct {
	Age         time.Duration // since it was measured
	Waiting     ident.Tokens
	Running     int
	Slots       int
	PrefillRate ident.TokensPerSecond
}

// Report takes a target's load. The part that this instance caused is already
// counted and taken off.
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
	d.past.note(now, d.waiting, d.own)
	waiting, own, ok := d.past.at(now.Add(-rep.Age))
	if !ok {
		waiting, own = d.waiting, d.own
	}
	r.share(i, -1)
	if !r.cfg.SharedQueues {
		d.backlog.take(float64(rep.Waiting), waiting, rep.Age)
	}
	d.running.take(float64(rep.Running), own, rep.Age)
	r.share(i, +1)
	d.alike = r.alike(i, rep.Age)
	d.slots = float64(rep.Slots)
	r.settle(i)
}

// ReportedLoad returns a target's load as it last reported it: its waiting prompt
// tokens as requests of one piece, and its running requests.
func (r *Router) ReportedLoad(id ident.TargetID) float64 {
	i, ok := r.byID[id]
	if !ok {
		return 0
	}
	rep := &r.details[i].report
	return float64(rep.Waiting)/float64(BlockTokens) + float64(rep.Running)
}

// Sent counts a request that goes to the chosen target. It returns the choice to tell of the request's further way.
func (r *Router) Sent(now clock.Time, c Choice, req Request) Choice {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return c
	}
	c.sent = now
	defer r.settle(c.slot)
	d.past.note(now, d.waiting, d.own)
	d.own++
	d.held += r.holds(c.slot, req)
	if req.Stage != StageDecode || r.cfg.KVFetch { // an engine that can fetch keeps what it imports like its own
		for _, h := range req.Blocks {
			r.prefixes.add(h, c.slot, now)
		}
	}
	if req.Stage == StageDecode {
		return c
	}
	uncached := max(0, float64(req.Prompt-c.Cached))
	d.waiting += uncached
	d.waits.add(req.Urgency, uncached)
	r.turnover(d.target.Service).add(now, uncached)
	r.work(c.slot, req.own(uncached))
	return c
}

// FirstToken counts the first token of a request's answer: its prompt is processed.
func (r *Router) FirstToken(now clock.Time, c Choice, req Request) {
	d := &r.details[c.slot]
	if d.gen != c.gen || req.Stage == StageDecode {
		return
	}
	r.learn(now, c, req)
	r.processed(now, c, req)
}

// processed takes a request's prompt off those that wait.
func (r *Router) processed(now clock.Time, c Choice, req Request) {
	d := &r.details[c.slot]
	if req.Stage == StageDecode {
		return
	}
	d.past.note(now, d.waiting, d.own)
	uncached := max(0, float64(req.Prompt-c.Cached))
	d.waiting = max(0, d.waiting-uncached)
	d.waits.remove(req.Urgency, uncached)
	r.settle(c.slot)
}

// Ended counts the end of a request. first tells whether First was called.
func (r *Router) Ended(now clock.Time, c Choice, req Request, first bool) {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return
	}
	if !first {
		r.processed(now, c, req)
	}
	d.past.note(now, d.waiting, d.own)
	d.own = max(0, d.own-1)
	d.held = max(0, d.held-r.holds(c.slot, req))
	r.settle(c.slot)
}

// Withdrawn counts the end of a request that was not sent after all: the target has not got its prompt.
func (r *Router) Withdrawn(now clock.Time, c Choice, req Request) {
	if r.details[c.slot].gen == c.gen && !c.PrefixCached {
		for _, h := range req.Blocks {
			r.prefixes.remove(h, c.slot)
		}
	}
	c.sent = 0 // nothing is learnt of it
	if req.Stage != StageDecode {
		r.work(c.slot, -req.own(max(0, float64(req.Prompt-c.Cached))))
	}
	r.Ended(now, c, req, false)
}

// OwnLoad is what this instance has at a target.
type OwnLoad struct {
	Target  ident.TargetID
	Waiting ident.Tokens // prompt tokens without a first token
	Answers Answers      // with failures among them; none otherwise
}

// OwnLoads returns what this instance has at the targets that have any of it or failed it lately.
func (r *Router) OwnLoads(now clock.Time) []OwnLoad {
	var own []OwnLoad
	for i := range r.details {
		d := &r.details[i]
		o := OwnLoad{Target: d.target.ID, Waiting: ident.Tokens(d.waiting)}
		if r.cfg.SharedFailures && d.answers.Failed > 0 {
			d.answers.fade(now)
			o.Answers = d.answers.Answers
		}
		if d.known && (d.waiting >= 1 || o.Answers.Failed > leastFailed) {
			own = append(own, o)
		}
	}
	return own
}

// leastFailed is the number of failures below which nobody is told of them.
const leastFailed = 0.1

// SetQueued takes the prompt tokens that wait at a target, of all instances together, as of
// the given age. What the target reports of its running requests stays.
func (r *Router) SetQueued(now clock.Time, id ident.TargetID, waiting ident.Tokens, age time.Duration) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	d := &r.details[i]
	d.past.note(now, d.waiting, d.own)
	own, _, ok := d.past.at(now.Add(-age))
	if !ok {
		own = d.waiting
	}
	d.backlog.take(float64(waiting), own, age)
	r.settle(i)
}

// Load is the router's present estimate of a target, for reports.
type Load struct {
	Target  Target
	Usable  bool
	Waiting ident.Tokens
	Running int
}

// Loads returns the estimates of every target.
func (r *Router) Loads() []Load {
	loads := make([]Load, 0, len(r.byID))
	for i := range r.slots {
		if s, d := &r.slots[i], &r.details[i]; d.known {
			loads = append(loads, Load{
				Target: d.target, Usable: s.usable,
				Waiting: ident.Tokens(d.queue(levels - 1)), Running: int(d.busy()),
			})
		}
	}
	return loads
}
