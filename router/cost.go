package router

// query is a Request in the form that a search uses, with names interned.
type query struct {
	service, version, software, kvRegion, avoid int32
	stage                                       Stage
	level                                       int     // urgency level
	prefillTokens                               float64 // prompt tokens to process
	promptTokens                                float64
	// promptTransferCost is the penalty for carrying the prompt between regions, in seconds.
	promptTransferCost float64
	// transferTokenTime is the time to transfer the KV cache of a token within a region, in
	// seconds.
	transferTokenTime float64
	sharedBlocks      int32 // blocks of the prompt that other prompts may share
	// recomputeBlockCost is Config.RecomputeTime for one block, in seconds.
	recomputeBlockCost float64
	prefixHash         uint64 // hash of the last shared block, which covers the whole shared prefix
	// holders are the targets with the longest cached prefix, one for each software version, if
	// engines can fetch KV cache.
	holders []holder
	// home is the engine to process a prefix that is not known to be cached anywhere; -1 if
	// none.
	home           int32
	reservedEngine int32 // the slot of the reserved engine; -1 if none
	// interference is the price at any engine that generates answers. If the service's engines are uneven, each has its
	// own instead.
	interference interferencePrice
	uneven       bool
	// reservedCost and unreservedCost are the penalties at the reserved engine and at other
	// engines, in seconds.
	reservedCost, unreservedCost float64
}

// newQuery returns the query for a request. The fields that depend on cached blocks are set by
// findHome and findHolders.
func (r *Router) newQuery(req Request) query {
	q := query{
		service: r.services[req.Service], stage: req.Stage, level: req.level(), avoid: -1, reservedEngine: -1,
		promptTokens: float64(req.Prompt), sharedBlocks: int32(len(req.Blocks)), home: -1,
	}
	if req.Stage != StageDecode {
		q.prefillTokens = q.promptTokens
		q.recomputeBlockCost = r.cfg.RecomputeTime.Seconds() / 1000 * float64(BlockTokens)
		q.interference = r.interference[req.Service]
		q.uneven = r.unevenServices[q.service]
	} else {
		q.transferTokenTime = r.cfg.TransferTime.Seconds() / 1000
	}
	if n := len(req.Blocks); n > 0 {
		q.prefixHash = req.Blocks[n-1]
	}
	q.promptTransferCost = max(0, q.promptTokens-float64(BlockTokens)) / 1000 * r.cfg.Links.CrossRegionCost.Seconds()
	if req.Version != "" {
		q.version = r.versions.intern(req.Version)
	}
	if req.Software != nil {
		q.software = r.software.intern(*req.Software)
	}
	if req.KVRegion != "" {
		q.kvRegion = r.regions.intern(req.KVRegion)
	}
	if i, ok := r.byID[req.Avoid]; ok && req.Avoid != "" {
		q.avoid = i
	}
	if i, ok := r.reservedEngines[q.service]; ok {
		q.reservedEngine = i
		q.reservedCost, q.unreservedCost = q.reservationCosts()
	}
	return q
}

// regionCost returns the penalty of a target's region in seconds: for carrying the prompt there
// from this instance, and the KV cache from the region that holds it.
func (q *query) regionCost(region int32, cross bool) float64 {
	cost := 0.0
	if cross {
		cost += q.promptTransferCost
	}
	if q.kvRegion != 0 && q.kvRegion != region {
		cost += q.promptTransferCost
	}
	return cost
}

// accepts reports whether a target can take the request.
func (s *slot) accepts(i int32, q *query) bool {
	if s.service != q.service || !s.usable || s.access == Exhausted || s.stages&(1<<q.stage) == 0 || i == q.avoid || !s.runs(q) {
		return false
	}
	return q.version == 0 || s.version == 0 || s.version == q.version
}

// runs reports whether a target runs the software version that the request needs.
func (s *slot) runs(q *query) bool { return q.software == 0 || s.software == q.software }

// uncached returns the prompt tokens that a target would have to process.
func (s *slot) uncached(depth int32, q *query) float64 {
	if depth == 0 {
		return q.prefillTokens
	}
	return max(0, q.prefillTokens-float64(depth)*float64(BlockTokens)*s.confidence)
}

// cost returns the cost of a target in seconds: the expected time to first token plus penalties.
func (r *Router) cost(s *slot, depth int32, q *query) float64 {
	source := q.holderFor(s)
	fetched := max(0, source.blocks-depth)
	own := s.uncached(depth+fetched, q) * s.tokenTime
	cost := s.baseCosts[q.level] + own*(1+s.lessUrgent[q.level]) + q.regionCost(s.region, s.cross) + s.transferCost(depth, q)
	if source.blocks > 0 {
		cost += float64(q.sharedBlocks-depth-fetched) * q.recomputeBlockCost
	}
	if q.home >= 0 && &r.slots[q.home] != s {
		// Other requests will look for the prefix at its home.
		cost += float64(q.sharedBlocks) * q.recomputeBlockCost
	}
	if fetched > 0 {
		cost += float64(fetched) * float64(BlockTokens) * r.fetchTokenCost(s.region, source.slot)
	}
	if q.stage == StagePrefill || q.stage == StageWhole {
		cost += r.stageCost(s, own, q)
	}
	if r.cfg.Noise > 0 {
		cost += r.rng.Float64() * r.cfg.Noise * (own + runningCost)
	}
	return cost
}

// transferCost returns the seconds to transfer the part of the KV cache that a target lacks.
func (s *slot) transferCost(depth int32, q *query) float64 {
	if q.transferTokenTime == 0 {
		return 0
	}
	missing := max(0, q.promptTokens-float64(depth)*float64(BlockTokens)*s.confidence)
	if q.kvRegion != 0 && q.kvRegion != s.region {
		missing *= crossRegionFactor
	}
	return missing * q.transferTokenTime
}

// crossRegionFactor is the cost of transferring KV cache between regions, relative to a transfer
// within a region. The transfer itself takes about ten times as long. Because a link carries one
// transfer at a time, all later ones wait for it too, and a prompt that moves between regions
// delays dozens that stay in their own.
const crossRegionFactor = 300
