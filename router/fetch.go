package router

import "github.com/hickoryridge/hickoryridge/ident"

// Load pattern: prompts with long cached prefixes arrive faster than the engines that cache them
// can process, while other engines have capacity. Recomputing a prefix of 13,000 tokens takes an
// engine a tenth of a second or more; fetching its KV cache from another engine takes a few
// milliseconds. Where engines can fetch, a request therefore goes to the engine that serves it
// soonest and names the engine to fetch from. The links between regions are too slow for more than
// a few such transfers at a time; see crossRegionFactor.

// holder is a target from which others of its software version can fetch KV cache of the prompt.
type holder struct {
	software int32
	blocks   int32 // length of its cached prefix
	slot     int32
}

// findHolders finds, for each software version, the target that caches the longest prefix of the prompt,
// and among equal ones prefers this region. KV cache of another version may not fit.
func (r *Router) findHolders(q *query) {
	r.holders = r.holders[:0]
	if !r.cfg.KVFetch || q.stage == StageDecode {
		return
	}
	for _, i := range r.cachingSlots {
		s := &r.slots[i]
		if !s.usable || s.service != q.service || !s.runs(q) {
			continue
		}
		h := r.holderOf(s.software)
		nearer := h.blocks > 0 && r.cachedBlocks[i] == h.blocks && r.slots[h.slot].cross && !s.cross
		if r.cachedBlocks[i] > h.blocks || nearer {
			h.blocks, h.slot = r.cachedBlocks[i], i
		}
	}
	q.holders = r.holders
}

// holderOf returns the holder of a software version, which it adds without blocks if there is none.
func (r *Router) holderOf(software int32) *holder {
	for n := range r.holders {
		if r.holders[n].software == software {
			return &r.holders[n]
		}
	}
	r.holders = append(r.holders, holder{software: software, slot: -1})
	return &r.holders[len(r.holders)-1]
}

// holderFor returns the holder from which a target can fetch, without blocks if there is none.
func (q *query) holderFor(s *slot) holder {
	for _, h := range q.holders {
		if h.software == s.software {
			return h
		}
	}
	return holder{slot: -1}
}

// fetchTokenCost returns the cost of fetching the KV cache of a token from the holder into a
// region, in seconds.
func (r *Router) fetchTokenCost(region, holder int32) float64 {
	perToken := r.cfg.TransferTime.Seconds() / 1000
	if r.slots[holder].region != region {
		perToken *= crossRegionFactor
	}
	return perToken
}

// fetchSource returns the target to fetch from for a request at slot i: the one other than i, of the same
// software version, that caches the longest prefix, preferably in the region of i. KV cache of another
// version may not fit. A source with no longer prefix than i
// is still useful in case i has evicted the blocks that it is expected to cache.
func (r *Router) fetchSource(i int32, q *query) ident.TargetID {
	if !r.cfg.KVFetch || q.stage == StageDecode {
		return ""
	}
	best := int32(-1)
	for _, j := range r.cachingSlots {
		s := &r.slots[j]
		if j == i || !s.usable || s.service != q.service || s.software != r.slots[i].software || r.cachedBlocks[j] == 0 {
			continue
		}
		nearer := best >= 0 && r.cachedBlocks[j] == r.cachedBlocks[best] && s.region == r.slots[i].region && r.slots[best].region != s.region
		if best < 0 || r.cachedBlocks[j] > r.cachedBlocks[best] || nearer {
			best = j
		}
	}
	if best < 0 {
		return ""
	}
	return r.details[best].target.ID
}
