package router

// wanted is a Request with its names as numbers.
type wanted struct {
	service, version, from, avoid int32
	need                          Stage
	level                         int     // of its urgency
	prefill                       float64 // prompt tokens to process
	prompt                        float64
	price                         float64 // seconds for carrying the prompt between regions
	move                          float64 // seconds for moving the KV cache of a token
	shared                        int32   // pieces of the prompt that others may have
	reread                        float64 // seconds that a piece is worth which is processed again
	beginning                     uint64  // the last of these pieces
	held                          int32   // most pieces that a target has, if another one can get them from it
	holder                        int32   // that target
	home                          int32   // the target to process a beginning that nobody is known to have; -1 if none
	kept                          int32   // the reserved engine, -1 if none
	holdUp                        float64 // what a second of the prompt costs the answers at an engine that generates some, in seconds
	reserved, others              float64 // what the reservation adds there and elsewhere, in seconds
}

func (r *Router) wanted(req Request) wanted {
	w := wanted{
		service: r.services[req.Service], need: req.Stage, level: req.Urgency.level(), avoid: -1, kept: -1,
		prompt: float64(req.Prompt), shared: int32(len(req.Blocks)), holder: -1, home: -1,
	}
	if req.Stage != StageDecode {
		w.prefill = w.prompt
		w.reread = r.cfg.RecomputeTime.Seconds() / 1000 * float64(BlockTokens)
		w.holdUp = r.holdUps[req.Service]
	} else {
		w.move = r.cfg.TransferTime.Seconds() / 1000
	}
	if n := len(req.Blocks); n > 0 {
		w.beginning = req.Blocks[n-1]
	}
	w.price = max(0, w.prompt-float64(BlockTokens)) / 1000 * r.cfg.Links.CrossRegionCost.Seconds()
	if req.Version != "" {
		w.version = r.versions.of(req.Version)
	}
	if req.KVRegion != "" {
		w.from = r.regions.of(req.KVRegion)
	}
	if i, ok := r.byID[req.Avoid]; ok && req.Avoid != "" {
		w.avoid = i
	}
	if i, ok := r.reserved[w.service]; ok {
		w.kept = i
		w.reserved, w.others = w.reservation()
	}
	return w
}

// carry returns the price of a target's region: of carrying the prompt there from
// this instance and its KV cache from where it is, in seconds.
func (w *wanted) carry(region int32, cross bool) float64 {
	price := 0.0
	if cross {
		price += w.price
	}
	if w.from != 0 && w.from != region {
		price += w.price
	}
	return price
}

// takes reports whether a target can take the request.
func (s *slot) takes(i int32, w *wanted) bool {
	if s.service != w.service || !s.usable || s.roles&(1<<w.need) == 0 || i == w.avoid {
		return false
	}
	return w.version == 0 || s.version == 0 || s.version == w.version
}

// uncached returns the prompt tokens that a target would have to process.
func (s *slot) uncached(depth int32, w *wanted) float64 {
	if depth == 0 {
		return w.prefill
	}
	return max(0, w.prefill-float64(depth)*float64(BlockTokens)*s.trust)
}

// cost returns the seconds to the first token and what else speaks against a
// target, in seconds.
func (r *Router) cost(s *slot, depth int32, w *wanted) float64 {
	fetched := max(0, w.held-depth)
	own := s.uncached(depth+fetched, w) * s.pace
	cost := s.base[w.level] + own*(1+s.delays[w.level]) + w.carry(s.region, s.cross) + s.moved(depth, w)
	if w.held > 0 {
		cost += float64(w.shared-depth-fetched) * w.reread
	}
	if w.home >= 0 && &r.slots[w.home] != s {
		cost += float64(w.shared) * w.reread // the others will look for it at its home
	}
	if fetched > 0 {
		cost += float64(fetched) * float64(BlockTokens) * r.fetching(s.region, w.holder)
	}
	if w.need == StagePrefill {
		cost += r.stageCost(s, own, w)
	}
	if r.cfg.Noise > 0 {
		cost += r.rng.Float64() * r.cfg.Noise * (own + runningCost)
	}
	return cost
}

// moved returns the seconds for moving the KV cache that a target lacks.
func (s *slot) moved(depth int32, w *wanted) float64 {
	if w.move == 0 {
		return 0
	}
	lacks := max(0, w.prompt-float64(depth)*float64(BlockTokens)*s.trust)
	if w.from != 0 && w.from != s.region {
		lacks *= crossMoves
	}
	return lacks * w.move
}

// crossMoves is what KV cache that moves between regions costs, in times of the same within a
// region. Its own time is some ten times as long. As a link carries one transfer at a time, all that follow
// wait for it as well, and a prompt moved between regions holds up dozens that stay in theirs.
const crossMoves = 300
