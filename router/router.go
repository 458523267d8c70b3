// Package router chooses a target for each request by the expected time to first token (TTFT).
//
// Every target has a backlog of prompt tokens that drains at the target's prefill rate, and a
// number of running requests. The expected TTFT is the backlog plus the uncached part of the
// request's prompt, both at the prefill rate, plus the network delay.
//
// A load report is stale on arrival and does not cover the requests that this instance has sent
// since. The router therefore counts its own unanswered prompts exactly and takes from a report
// only the load that other instances caused. Because all instances act on the same stale reports,
// the load that this instance has added since a report also serves to estimate what the others have
// added; see estimate.
//
// The cached part of a prompt at a target is inferred from the requests that were sent there and
// from the target's cache events. The cache entries of a target count for less after a gap in its
// events.
//
// The targets of a service in a region are indexed by a tree of lower bounds on cost, so that a
// choice examines few of them whatever the size of the fleet.
//
// A Router holds no lock and reads no clock: the caller serializes access and passes the time.
// Choose does not allocate.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// BlockTokens is the number of prompt tokens in a block, the unit of the prefix index.
const BlockTokens ident.Tokens = 1024

// DefaultPrefillRate is the prefill rate that is assumed for a target that reports none.
const DefaultPrefillRate ident.TokensPerSecond = 8000

// Links holds the cost of reaching targets in other failure domains and regions.
type Links struct {
	SameDomain  time.Duration // one-way network delay
	SameRegion  time.Duration // one-way network delay
	OtherRegion time.Duration // one-way network delay
	// CrossRegionCost is the penalty for a request's cross-region traffic, for each thousand
	// prompt tokens beyond the first block.
	CrossRegionCost time.Duration
}

// DefaultLinks returns the values for delays of half a millisecond between domains of a region and
// 12 milliseconds between regions.
func DefaultLinks() Links {
	return Links{
		SameDomain: 0, SameRegion: 500 * time.Microsecond, OtherRegion: 12 * time.Millisecond,
		CrossRegionCost: 120 * time.Millisecond,
	}
}

// Config configures a Router.
type Config struct {
	Region ident.RegionID
	Domain ident.DomainID
	Links  Links
	Seed   uint64
	// Handover is the fixed part of the time that it takes to hand a processed prompt from one
	// engine to another.
	Handover time.Duration
	// TransferTime is the time to transfer the KV cache of a thousand tokens between two
	// engines of a region.
	TransferTime time.Duration
	// RecomputeTime is the penalty for each thousand tokens of a shared prefix at engines other
	// than its home, if no engine is known to cache the prefix. If engines can fetch KV cache
	// and one caches a part of the prefix, it is the penalty for the rest; see Router.cost.
	RecomputeTime time.Duration
	// MaxRetention is the longest time for which a block counts as cached after its last use.
	// If it is 0, a block counts as cached until an event reports its eviction. See turnover.
	MaxRetention time.Duration
	// SharedQueues means that the instances share the queue lengths of targets, because the
	// targets do not report them; see Router.SetQueued.
	SharedQueues bool
	// KVFetch means that an engine can fetch KV cache from another engine before it processes a
	// prompt.
	KVFetch bool
	// HomeEngines means that the instances agree on one engine for each shared prompt prefix;
	// see Router.findHome.
	HomeEngines bool
	// NoReservedEngine means that no prefill engine is reserved for short prompts; see
	// Router.updateReserved.
	NoReservedEngine bool
	// SharedFailures means that the instances share the failure counts of targets; see
	// Router.SetSharedAnswers.
	SharedFailures bool
	// DisjointTargets means that other instances send most of their requests to other targets,
	// so that the load this instance adds says nothing about theirs; see Router.herdFactor.
	DisjointTargets bool
	// LearnRates means that the rates of engines are learned from outcomes; see
	// Router.learnTokenTime.
	LearnRates bool
	// LearnSpeeds means that the token time of each engine is learned as well, and counts where the engines of a
	// role differ much. It builds on LearnRates.
	LearnSpeeds bool
	// Noise is the fraction of a request's own cost by which the costs of targets are
	// randomized, so that instances with the same reports do not all choose the same target.
	Noise float64
}

// Target describes a target to the router.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	Region  ident.RegionID
	Domain  ident.DomainID
	Role    desired.Role
	Version string
	// Software is the version of the target's software.
	Software ident.SoftwareVersion
}

// Stage is a stage of processing a request. It decides which roles can take the request.
type Stage uint8

// The stages.
const (
	StageAny     Stage = iota // a plain HTTP service
	StagePrefill              // the prompt is processed
	StageDecode               // the answer is generated
	StageWhole                // the prompt is processed and the answer generated at one engine
	stageCount                // number of stages
)

// Valid reports whether n is a known stage.
func (n Stage) Valid() bool { return n < stageCount }

// Request describes a request to choose a target for.
type Request struct {
	Service  ident.ServiceID
	Version  string // empty accepts any version
	Stage    Stage
	Prompt   ident.Tokens
	Blocks   []uint64       // chained hashes of the prompt's whole blocks
	Parts    []Part         // the parts that the blocks cover, if the prompt is given in parts
	Avoid    ident.TargetID // a target that failed this request before
	Urgency  Urgency        // queue priority at engines
	Deferred bool           // the request goes behind others of its urgency; see admit.Contest
	KVRegion ident.RegionID // region of the KV cache to import; empty if there is none
	// Software is the only software version whose targets may take the request; nil accepts any.
	Software *ident.SoftwareVersion
}

// Choice is the chosen target and the outcome expected there.
type Choice struct {
	ID          ident.TargetID
	TTFT        time.Duration // expected time to first token
	Cached      ident.Tokens  // prompt tokens expected to be cached
	Wait        time.Duration // the part of TTFT that other requests cause
	CrossRegion bool          // the target is in another region
	// PrefixCached reports whether the target is known to have the whole shared prefix of the
	// prompt.
	PrefixCached bool
	// LastUsed is, if PrefixCached is set, when the target last used that prefix; 0 if a cache
	// event reported it.
	LastUsed clock.Time
	// Source is another target to fetch KV cache from; empty if none is known.
	Source ident.TargetID
	slot   int32
	gen    uint32
	sent   clock.Time // 0 before Sent
}

// Router chooses targets. Use New. It is not safe for concurrent use.
type Router struct {
	cfg              Config
	rng              *rand.Rand
	slots            []slot
	details          []detail // parallel to slots
	byID             map[ident.TargetID]int32
	free             []int32
	services         interner[ident.ServiceID]
	versions         interner[string]
	software         interner[ident.SoftwareVersion]
	regions          interner[ident.RegionID]
	region           int32 // the region of this instance
	groups           []*group
	byService        [][]int32         // groups of each service
	runningByService []serviceRunning  // indexed by service
	reservedEngines  map[int32]int32   // the engine reserved for short prompts, by service
	enginesChanged   bool              // reservedEngines and homeCandidates are out of date
	homeCandidates   map[int32][]int32 // usable engines without a rate limit, by service
	prefixes         *prefixIndex
	turnovers        map[ident.ServiceID]*turnover
	interference     map[ident.ServiceID]interferencePrice
	prefillWork      map[ident.ServiceID]prefillWork
	tokenTimeScales  map[tokenTimeKey]float64 // learned token time relative to the reported rate
	statesPace       map[int32]bool           // services whose plain targets state the pace of their hosts
	roleSpeeds       map[tokenTimeKey]*roleSpeed
	unevenServices   map[int32]bool    // services with a role whose engines count with their own speeds
	paced            map[int32]bool    // slots of plain targets whose stated pace still counts
	serveTimes       map[int32]float64 // seconds that a plain request takes, by service
	cachedBlocks     []int32           // scratch: cached blocks of the prompt, by slot
	holders          []holder          // scratch: the holders of a query
	cachingSlots     []int32           // scratch: slots with a nonzero entry in cachedBlocks
	visitedNodes     int               // tree nodes visited by searches, for tests
}

// New returns a router without targets.
func New(cfg Config) *Router {
	r := &Router{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)),
		byID: map[ident.TargetID]int32{}, services: interner[ident.ServiceID]{},
		versions: interner[string]{}, software: interner[ident.SoftwareVersion]{}, regions: interner[ident.RegionID]{}, prefixes: newPrefixIndex(),
		reservedEngines: map[int32]int32{}, homeCandidates: map[int32][]int32{},
		turnovers:    map[ident.ServiceID]*turnover{},
		interference: map[ident.ServiceID]interferencePrice{}, unevenServices: map[int32]bool{}, prefillWork: map[ident.ServiceID]prefillWork{},
		tokenTimeScales: map[tokenTimeKey]float64{}, roleSpeeds: map[tokenTimeKey]*roleSpeed{}, statesPace: map[int32]bool{}, paced: map[int32]bool{}, serveTimes: map[int32]float64{},
	}
	r.region = r.regions.intern(cfg.Region)
	return r
}

// candidate is the best target found so far.
type candidate struct {
	slot int32 // -1 if none
	cost float64
}

// Choose returns the target with the lowest cost, which is its expected time to first token plus
// penalties. It reports false if no target of the service is usable.
func (r *Router) Choose(req Request) (Choice, bool) {
	r.updateReserved()
	q := r.newQuery(req)
	if q.service == 0 {
		return Choice{}, false
	}
	r.markCachedBlocks(req.Blocks)
	r.findHome(req.Blocks, &q)
	r.findHolders(&q)
	best := candidate{-1, math.Inf(1)}
	if q.reservedEngine >= 0 {
		r.consider(q.reservedEngine, &q, &best)
	}
	for _, i := range r.cachingSlots {
		if i != q.reservedEngine {
			r.consider(i, &q, &best)
		}
	}
	for _, g := range r.byService[q.service] {
		r.search(r.groups[g], &q, &best)
	}
	var c Choice
	if best.slot >= 0 {
		c = r.choice(best.slot, &q)
	}
	r.clearCachedBlocks()
	return c, best.slot >= 0
}

// consider makes slot i the best candidate if it accepts the request at a lower cost than best.
func (r *Router) consider(i int32, q *query, best *candidate) {
	s := &r.slots[i]
	if !s.accepts(i, q) || s.baseCosts[q.level] >= best.cost {
		return
	}
	c := r.cost(s, r.cachedBlocks[i], q)
	if i == q.reservedEngine {
		c += q.reservedCost
	} else {
		c += q.unreservedCost
	}
	if c < best.cost {
		*best = candidate{i, c}
	}
}

// choice returns the Choice of a slot.
func (r *Router) choice(i int32, q *query) Choice {
	s, d := &r.slots[i], &r.details[i]
	depth := max(r.cachedBlocks[i], q.holderFor(s).blocks)
	uncached := s.uncached(depth, q)
	wait := d.queuedTokens(q.level)*s.tokenTime + d.batchWait()
	return Choice{
		ID: d.target.ID, TTFT: seconds(wait + uncached*s.tokenTime + 2*d.link), Wait: seconds(wait),
		Cached: ident.Tokens(q.prefillTokens - uncached), CrossRegion: s.cross, slot: i, gen: d.gen,
		Source: r.fetchSource(i, q), PrefixCached: r.cachedBlocks[i] >= q.sharedBlocks,
		LastUsed: r.prefixes.holders[q.prefixHash].lastUse(i),
	}
}

// Usable reports whether a target accepts new work.
func (r *Router) Usable(id ident.TargetID) bool {
	i, ok := r.byID[id]
	return ok && r.slots[i].usable
}

// UsableEngines returns the number of a service's engines that accept new work.
func (r *Router) UsableEngines(service ident.ServiceID) int {
	n := 0
	for i := range r.slots {
		if r.usableEngine(int32(i)) && r.details[i].target.Service == service {
			n++
		}
	}
	return n
}

// ChooseOnly returns the Choice for a given target, and false if the target is unknown or of another
// software version than the request accepts. It does not check otherwise whether the target accepts the
// request. It serves to compare routing policies and to
// account for targets that another instance chose.
func (r *Router) ChooseOnly(req Request, id ident.TargetID) (Choice, bool) {
	i, ok := r.byID[id]
	if !ok {
		return Choice{}, false
	}
	q := r.newQuery(req)
	if !r.slots[i].runs(&q) {
		return Choice{}, false
	}
	r.markCachedBlocks(req.Blocks)
	c := r.choice(i, &q)
	r.clearCachedBlocks()
	return c, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// markCachedBlocks sets cachedBlocks to the length of the known cached prefix at each slot.
func (r *Router) markCachedBlocks(blocks []uint64) {
	for d, h := range blocks {
		holders := r.prefixes.holders[h]
		found := false
		for _, i := range holders.members() {
			if r.cachedBlocks[i] != int32(d) {
				continue
			}
			if d == 0 {
				r.cachingSlots = append(r.cachingSlots, i)
			}
			r.cachedBlocks[i]++
			found = true
		}
		if !found {
			return
		}
	}
}

func (r *Router) clearCachedBlocks() {
	for _, i := range r.cachingSlots {
		r.cachedBlocks[i] = 0
	}
	r.cachingSlots = r.cachingSlots[:0]
}
