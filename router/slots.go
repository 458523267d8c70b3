package router

import (
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// slot holds the fields of a target that a choice reads. Slots are small and stored densely to keep
// a choice fast.
type slot struct {
	service   int32
	version   int32 // 0 if unknown
	software  int32
	region    int32
	group     int32
	position  int32 // in the group's tree
	stages    uint8 // bit set of the stages that the target accepts
	usable    bool
	access    Access
	cross     bool    // in another region
	tokenTime float64 // seconds to process a prompt token
	// baseCosts is the cost of a request without its own prompt, in seconds, by urgency level.
	// See computeCost.
	baseCosts  [urgencyLevels]float64
	lessUrgent [urgencyLevels]float64 // waiting requests of less urgency, by urgency level
	confidence float64                // in the prefix entries, from 0 to 1
	// interference is the price of prompts here, where the service's engines are uneven.
	interference interferencePrice
}

// detail holds the fields of a target that a choice does not read, except to describe the chosen
// target.
type detail struct {
	target        Target
	hash          uint64 // of the target's ID
	report        Report
	history       history
	gen           uint32 // incremented when the target restarts or the slot is reused
	cacheSequence uint64 // sequence number of the newest cache event
	inUse         bool

	rate         float64      // prompt tokens per second
	backlog      estimate     // prompt tokens that other instances have waiting
	ownWaiting   float64      // prompt tokens of own requests without a first token
	ownByUrgency urgencyQueue // ownWaiting by urgency level
	running      estimate     // requests in progress of other instances
	ownRunning   float64      // own requests in progress
	// ownKVTokens is the number of prompt tokens of own requests whose answers are generated at
	// the target.
	ownKVTokens float64
	herdFactor  float64 // see estimate.current
	slots       float64 // batch size in requests; 0 if unknown
	link        float64 // one-way network delay in seconds

	speed          speed
	answers        decayingAnswers // to this instance
	sharedAnswers  decayingAnswers // to all instances, as last received
	failurePenalty float64         // added to the cost, in seconds
}

// interner numbers names from 1, so that names can be compared as integers.
type interner[T comparable] map[T]int32

func (n interner[T]) intern(name T) int32 {
	i, ok := n[name]
	if !ok {
		i = int32(len(n) + 1)
		n[name] = i
	}
	return i
}

// Put adds a target or updates its description. A new target is usable until SetUsable changes
// that.
func (r *Router) Put(t Target) {
	i, ok := r.byID[t.ID]
	if ok && r.details[i].target == t {
		return
	}
	if !ok {
		i = r.newSlot()
		r.byID[t.ID] = i
		r.slots[i] = slot{confidence: 1, usable: true}
		r.details[i] = detail{gen: r.details[i].gen + 1, rate: float64(DefaultPrefillRate)}
	}
	r.enginesChanged = true
	r.details[i].target = t
	r.details[i].hash = targetHash(t)
	r.details[i].inUse = true
	s, d := &r.slots[i], &r.details[i]
	if ok {
		r.leaveGroup(i)
		r.addRunning(i, -1)
	}
	s.service = r.services.intern(t.Service)
	s.region = r.regions.intern(t.Region)
	s.version = 0
	if t.Version != "" {
		s.version = r.versions.intern(t.Version)
	}
	s.software = r.software.intern(t.Software)
	s.stages = stagesOf(t.Role)
	s.cross = t.Region != r.cfg.Region
	d.link = r.linkTo(t).Seconds()
	r.computeCost(i)
	r.joinGroup(i)
	r.addRunning(i, +1)
}

// newSlot returns an unused slot.
func (r *Router) newSlot() int32 {
	if n := len(r.free); n > 0 {
		i := r.free[n-1]
		r.free = r.free[:n-1]
		return i
	}
	r.slots = append(r.slots, slot{})
	r.details = append(r.details, detail{})
	r.cachedBlocks = append(r.cachedBlocks, 0)
	return int32(len(r.slots) - 1)
}

// linkTo returns the one-way network delay to a target.
func (r *Router) linkTo(t Target) time.Duration {
	switch {
	case t.Region != r.cfg.Region:
		return r.cfg.Links.OtherRegion
	case t.Domain != r.cfg.Domain:
		return r.cfg.Links.SameRegion
	default:
		return r.cfg.Links.SameDomain
	}
}

// SetUsable sets whether a target accepts new work.
func (r *Router) SetUsable(id ident.TargetID, usable bool) {
	if i, ok := r.byID[id]; ok && r.slots[i].usable != usable {
		r.slots[i].usable = usable
		r.updateBound(i)
		r.enginesChanged = true
	}
}

// Access says whether a usable target with a rate limit may receive a request now.
type Access uint8

// The values of Access.
const (
	Unlimited Access = iota // the target has no rate limit
	Permitted               // the target has a rate limit, and there is a permit for a request
	Exhausted               // the target has a rate limit, and there is no permit
)

// SetAccess sets whether a target with a rate limit may receive a request now. Targets with a rate
// limit are no home of shared prompts, since the home of a prompt receives all requests for it.
func (r *Router) SetAccess(id ident.TargetID, access Access) {
	i, ok := r.byID[id]
	if !ok || r.slots[i].access == access {
		return
	}
	if r.slots[i].access == Unlimited || access == Unlimited {
		r.enginesChanged = true
	}
	r.slots[i].access = access
	r.updateBound(i)
}

// Accepts reports whether a target accepts the stage of a request, with or without a permit.
func (r *Router) Accepts(id ident.TargetID, stage Stage) bool {
	i, ok := r.byID[id]
	return ok && r.slots[i].usable && r.slots[i].stages&(1<<stage) != 0
}

// Restarted discards the state that a new incarnation of a target does not have.
func (r *Router) Restarted(id ident.TargetID) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	d := &r.details[i]
	r.addRunning(i, -1)
	d.backlog, d.running = estimate{}, estimate{}
	d.ownWaiting, d.ownRunning, d.ownKVTokens, d.ownByUrgency = 0, 0, 0, urgencyQueue{}
	d.answers, d.sharedAnswers, d.failurePenalty = decayingAnswers{}, decayingAnswers{}, 0
	d.speed = speed{}
	r.slots[i].interference = 0
	r.updateCost(i)
	d.gen++
	d.cacheSequence = 0
	r.prefixes.dropHolder(i)
}

// Remove removes a target.
func (r *Router) Remove(id ident.TargetID) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	r.prefixes.dropHolder(i)
	r.leaveGroup(i)
	r.addRunning(i, -1)
	delete(r.byID, id)
	r.enginesChanged = true
	r.slots[i] = slot{}
	r.details[i] = detail{gen: r.details[i].gen + 1}
	delete(r.paced, i)
	r.free = append(r.free, i)
}

// updateCost recomputes the costs of a slot and the bounds above it. It must be called whenever an
// input of the costs changes.
func (r *Router) updateCost(i int32) {
	r.computeCost(i)
	r.updateBound(i)
}

// computeCost recomputes the token time and base costs of a slot, so that a choice adds only the
// part that depends on the request.
func (r *Router) computeCost(i int32) {
	s, d := &r.slots[i], &r.details[i]
	s.tokenTime = r.tokenTime(i)
	rest := d.batchWait() + r.serveTime(i) + 2*d.link + d.inProgress()*runningCost + d.failurePenalty
	for level := range s.baseCosts {
		s.baseCosts[level] = d.queuedTokens(level)*s.tokenTime + rest
		_, s.lessUrgent[level] = d.ownByUrgency.lessUrgent(level)
	}
}

// queuedTokens returns the prompt tokens ahead of a new request of an urgency level. The load of
// other instances is assumed to stay as reported, because new requests replace those that end; only
// the change of this instance's own load since the report is assumed to occur at the others too.
// The urgency of their requests is unknown, so all of them count.
func (d *detail) queuedTokens(level int) float64 {
	less, _ := d.ownByUrgency.lessUrgent(level)
	return d.backlog.current(d.ownWaiting, d.herdFactor) + max(0, d.ownWaiting-less)
}

// inProgress returns the estimated number of requests in progress.
func (d *detail) inProgress() float64 {
	return d.running.current(d.ownRunning, d.herdFactor) + d.ownRunning
}

// batchWait returns the seconds that a request waits for a free slot in the batch.
func (d *detail) batchWait() float64 {
	over := d.inProgress() - d.slots + 1
	if d.slots == 0 || over <= 0 {
		return 0
	}
	return over * batchSlotTime
}

// batchSlotTime is the time in which a full batch frees one slot, in seconds.
const batchSlotTime = 50e-3

// runningCost is the cost of each request in progress, in seconds. It spreads requests over targets
// without a backlog.
const runningCost = 500e-6

// stagesOf returns the stages that a role accepts, as a bit set.
func stagesOf(role desired.Role) uint8 {
	all := uint8(1)<<StageAny | 1<<StagePrefill | 1<<StageDecode | 1<<StageWhole
	switch role {
	case desired.RolePrefill:
		return all &^ (1<<StageDecode | 1<<StageWhole)
	case desired.RoleDecode:
		return all &^ (1<<StagePrefill | 1<<StageWhole)
	default:
		return all
	}
}
