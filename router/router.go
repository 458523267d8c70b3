// Package router chooses the target of a request.
//
// The model. Every target has a backlog of prompt tokens that drains at the
// target's prefill rate, and a number of running requests. The expected time to
// the first token is the backlog, plus the request's uncached prompt, both at the
// prefill rate, plus the link. A target's report is old when it arrives and says
// nothing of what this instance has sent since; the router therefore counts its
// own unanswered prompts exactly, and takes from a report only the part that
// others caused. As all instances see the same old reports, what this one has sent
// since tells what the others have sent since. What part of a prompt a target has
// cached is learnt from own sends and from cache events; a target's entries count
// for less after a gap in its events.
//
// The targets of a service in a region stand in a tree of bounds, so that a choice
// looks at few of them, however many there are.
//
// The Router holds no lock, reads no clock and chooses without allocating.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// BlockTokens is the length of a piece of the prefix cache.
const BlockTokens ident.Tokens = 1024

// DefaultPrefill is the prefill rate of a target that reports none.
const DefaultPrefill ident.TokensPerSecond = 8000

// Links gives the cost of reaching other regions and domains.
type Links struct {
	SameDomain  time.Duration // one way
	SameRegion  time.Duration // one way
	OtherRegion time.Duration // one way
	// CrossRegionCost is the time that a request's cross-region traffic is worth, for
	// each thousand prompt tokens beyond the first piece.
	CrossRegionCost time.Duration
}

// DefaultLinks suits half a millisecond between domains and twelve between regions.
func DefaultLinks() Links {
	return Links{
		SameDomain: 0, SameRegion: 500 * time.Microsecond, OtherRegion: 12 * time.Millisecond,
		CrossRegionCost: 120 * time.Millisecond,
	}
}

// Config is what a Router is started with.
type Config struct {
	Region ident.RegionID
	Domain ident.DomainID
	Links  Links
	Seed   uint64
	// Handover is the fixed part of the time that a prompt processed at one engine takes on
	// its way to another.
	Handover time.Duration
	// TransferTime is the time in which a thousand tokens of KV cache move between engines of a region.
	TransferTime time.Duration
	// RecomputeTime is the time that a thousand tokens are worth which an engine has to process
	// although another one has them in its cache.
	RecomputeTime time.Duration
	// MaxRetention is the longest time for which a piece counts as cached after it was last used; 0
	// means until an event says otherwise. See turnover.
	MaxRetention time.Duration
	// SharedQueues tells that the instances tell each other what waits at the targets, which do not
	// report it; see Queued.
	SharedQueues bool
	// KVFetch tells that an engine can get KV cache from another one before it processes a
	// prompt.
	KVFetch bool
	// HomeEngines tells that the instances agree on an engine for each shared prompt; see home.
	HomeEngines bool
	// NoReservedEngine tells that no prefill engine is kept for short prompts; see reserve.
	NoReservedEngine bool
	// SharedFailures tells that the instances tell each other which targets fail; see Answered.
	SharedFailures bool
	// DisjointTargets tells that other instances send their requests to other targets for the most part, so that what this one
	// sends tells nothing of them; see alike.
	DisjointTargets bool
	// LearnRates tells that the engines' rates are learnt from outcomes; see learn.
	LearnRates bool
	// Noise is the part of a request's own cost by which equal choices are spread,
	// so that instances with the same reports do not all choose the same target.
	Noise float64
}

// Target is what the router has to know of a target.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	Region  ident.RegionID
	Domain  ident.DomainID
	Role    desired.Role
	Version string
}

// Stage says which roles can take a step of a request.
type Stage uint8

// The needs.
const (
	StageAny     Stage = iota // a plain service
	StagePrefill              // the prompt is processed there
	StageDecode               // the answer is generated there
	needs                     // number of needs
)

// Valid reports whether n is one of the needs.
func (n Stage) Valid() bool { return n < needs }

// Request is what a choice depends on.
type Request struct {
	Service  ident.ServiceID
	Version  string // empty accepts any
	Stage    Stage
	Prompt   ident.Tokens
	Blocks   []uint64       // chained hashes of the prompt's whole pieces
	Parts    []Part         // that the pieces stand for, if the prompt is given in parts
	Avoid    ident.TargetID // a target that failed this request
	Urgency  Urgency        // at engines
	KVRegion ident.RegionID // region of the KV cache to import; empty if none
}

// Choice is a chosen target with what was expected of it.
type Choice struct {
	ID           ident.TargetID
	TTFT         time.Duration  // expected time to the first token
	Cached       ident.Tokens   // prompt tokens expected in the prefix cache
	Wait         time.Duration  // part of First that other requests cause
	CrossRegion  bool           // the target stands in another region
	PrefixCached bool           // the target is known to have the whole shared part of the prompt
	LastUsed     clock.Time     // if Held, when that part was last known to be used there; 0 if an event told of it
	Source       ident.TargetID // another target that has more of the prompt cached; empty if none is known
	slot         int32
	gen          uint32
	sent         clock.Time // 0 before it was
}

// Router is the decision core. Use New.
type Router struct {
	cfg       Config
	rng       *rand.Rand
	slots     []slot
	details   []detail // beside the slots
	byID      map[ident.TargetID]int32
	free      []int32
	services  names[ident.ServiceID]
	versions  names[string]
	regions   names[ident.RegionID]
	region    int32 // of this instance
	groups    []*group
	byService [][]int32         // groups of each service
	shares    []shares          // by service
	reserved  map[int32]int32   // the engine kept for short prompts, by service
	stale     bool              // the reserved engines and the candidates for homes have to be found anew
	homes     map[int32][]int32 // usable engines of each service
	prefixes  *prefixes
	turnovers map[ident.ServiceID]*turnover
	holdUps   holdUps
	works     map[ident.ServiceID]worked
	scales    map[paceKey]float64 // what engines take in times of their rates
	depth     []int32             // scratch: pieces of the prompt that a slot has
	touched   []int32             // scratch: slots with a depth
	visited   int                 // nodes that searches have visited, for tests
}

// New returns a router without targets.
func New(cfg Config) *Router {
	r := &Router{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)),
		byID: map[ident.TargetID]int32{}, services: names[ident.ServiceID]{},
		versions: names[string]{}, regions: names[ident.RegionID]{}, prefixes: newPrefixes(),
		reserved: map[int32]int32{}, homes: map[int32][]int32{}, turnovers: map[ident.ServiceID]*turnover{},
		holdUps: holdUps{}, works: map[ident.ServiceID]worked{}, scales: map[paceKey]float64{},
	}
	r.region = r.regions.of(cfg.Region)
	return r
}

// found is the best target so far.
type found struct {
	slot int32 // -1 if none
	cost float64
}

// Choose returns the target with the least expected time to the first token. It
// reports false if no target of the service is usable.
func (r *Router) Choose(req Request) (Choice, bool) {
	r.reserve()
	w := r.wanted(req)
	if w.service == 0 {
		return Choice{}, false
	}
	r.markDepths(req.Blocks)
	r.findHome(req.Blocks, &w)
	r.findHolder(&w)
	best := found{-1, math.Inf(1)}
	if w.kept >= 0 {
		r.consider(w.kept, &w, &best)
	}
	for _, i := range r.touched {
		if i != w.kept {
			r.consider(i, &w, &best)
		}
	}
	for _, g := range r.byService[w.service] {
		r.search(r.groups[g], &w, &best)
	}
	var c Choice
	if best.slot >= 0 {
		c = r.choice(best.slot, &w)
	}
	r.clearDepths()
	return c, best.slot >= 0
}

// consider makes a target the best if it can take the request and costs less.
func (r *Router) consider(i int32, w *wanted, best *found) {
	s := &r.slots[i]
	if !s.takes(i, w) || s.base[w.level] >= best.cost {
		return
	}
	c := r.cost(s, r.depth[i], w)
	if i == w.kept {
		c += w.reserved
	} else {
		c += w.others
	}
	if c < best.cost {
		*best = found{i, c}
	}
}

// choice describes a slot as chosen.
func (r *Router) choice(i int32, w *wanted) Choice {
	s, d := &r.slots[i], &r.details[i]
	depth := max(r.depth[i], w.held)
	uncached := s.uncached(depth, w)
	wait := d.queue(w.level)*s.pace + d.full()
	return Choice{
		ID: d.target.ID, TTFT: seconds(wait + uncached*s.pace + 2*d.link), Wait: seconds(wait),
		Cached: ident.Tokens(w.prefill - uncached), CrossRegion: s.cross, slot: i, gen: d.gen, Source: r.source(i, w), PrefixCached: r.depth[i] >= w.shared,
		LastUsed: r.prefixes.holders[w.beginning].lastUse(i),
	}
}

// Usable reports whether new work may go to a target.
func (r *Router) Usable(id ident.TargetID) bool {
	i, ok := r.byID[id]
	return ok && r.slots[i].usable
}

// UsableEngines returns the number of a service's engines that take new work.
func (r *Router) UsableEngines(service ident.ServiceID) int {
	n := 0
	for i := range r.slots {
		if r.usableEngine(int32(i)) && r.details[i].target.Service == service {
			n++
		}
	}
	return n
}

// ChooseOnly returns the choice of one given target, for comparisons with other
// ways to choose and for targets that others chose.
func (r *Router) ChooseOnly(req Request, id ident.TargetID) (Choice, bool) {
	i, ok := r.byID[id]
	if !ok {
		return Choice{}, false
	}
	w := r.wanted(req)
	r.markDepths(req.Blocks)
	c := r.choice(i, &w)
	r.clearDepths()
	return c, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// markDepths fills the scratch with the length of each holder's known prefix.
func (r *Router) markDepths(pieces []uint64) {
	for d, h := range pieces {
		holders := r.prefixes.holders[h]
		found := false
		for _, i := range holders.slice() {
			if r.depth[i] != int32(d) {
				continue
			}
			if d == 0 {
				r.touched = append(r.touched, i)
			}
			r.depth[i]++
			found = true
		}
		if !found {
			return
		}
	}
}

func (r *Router) clearDepths() {
	for _, i := range r.touched {
		r.depth[i] = 0
	}
	r.touched = r.touched[:0]
}
