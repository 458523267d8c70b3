package router

import "github.com/hickoryridge/hickoryridge/ident"

// Load pattern: prompts whose long beginnings are cached come faster than the engines that
// have them can take, while other engines have room. Processing a beginning of 13,000 tokens a second
// time takes an engine a tenth of a second and more; getting its KV cache from an engine
// that has it takes a few milliseconds. So where engines can
// fetch, a request goes where it is soonest served and names the engine to fetch from. Between regions
// the links are too slow for more than a few of these at a time; see crossMoves.

// findHolder finds the target that has most of the prompt, the nearest one if several have.
func (r *Router) findHolder(w *wanted) {
	if !r.cfg.KVFetch || w.need == StageDecode {
		return
	}
	for _, i := range r.touched {
		s := &r.slots[i]
		if !s.usable || s.service != w.service {
			continue
		}
		nearer := w.holder >= 0 && r.depth[i] == w.held && r.slots[w.holder].cross && !s.cross
		if r.depth[i] > w.held || nearer {
			w.held, w.holder = r.depth[i], i
		}
	}
}

// fetching returns the cost of a token of KV cache from the holder to a region, in seconds.
func (r *Router) fetching(region, holder int32) float64 {
	perToken := r.cfg.TransferTime.Seconds() / 1000
	if r.slots[holder].region != region {
		perToken *= crossMoves
	}
	return perToken
}

// source returns the target to fetch from for a request at slot i: the one with most of
// the prompt beside i, in the region of i if there is one. One that has no more than i
// helps as well when i has lost what it is expected to have.
func (r *Router) source(i int32, w *wanted) ident.TargetID {
	if !r.cfg.KVFetch || w.need == StageDecode {
		return ""
	}
	best := int32(-1)
	for _, j := range r.touched {
		s := &r.slots[j]
		if j == i || !s.usable || s.service != w.service || r.depth[j] == 0 {
			continue
		}
		nearer := best >= 0 && r.depth[j] == r.depth[best] && s.region == r.slots[i].region && r.slots[best].region != s.region
		if best < 0 || r.depth[j] > r.depth[best] || nearer {
			best = j
		}
	}
	if best < 0 {
		return ""
	}
	return r.details[best].target.ID
}
