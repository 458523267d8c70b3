package router

import (
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// slot is what a choice looks at of one target. Slots are dense and small, so that
// a choice is one pass over them.
type slot struct {
	service int32
	version int32 // 0 if unknown
	region  int32
	group   int32
	place   int32 // in the group
	roles   uint8 // needs that the target takes, as bits
	usable  bool
	cross   bool
	pace    float64         // seconds for a prompt token
	base    [levels]float64 // cost of a request before its own prompt, in seconds, by urgency; see settle
	delays  [levels]float64 // less urgent requests that wait, by urgency
	trust   float64         // of the prefix entries, 0 to 1
}

// detail is what a choice need not look at.
type detail struct {
	target Target
	hash   uint64 // of the target's name
	report Report
	past   history
	gen    uint32
	event  uint64 // newest cache event
	known  bool

	rate    float64  // prompt tokens a second
	backlog estimate // prompt tokens of others
	waiting float64  // own prompt tokens without a first token yet
	waits   waits    // of them
	running estimate // requests of others in progress
	own     float64  // own requests in progress
	held    float64  // prompt tokens of own requests in progress that generate answers there
	alike   float64  // see estimate.now
	slots   float64  // requests that fit; 0 means unknown
	link    float64  // seconds, one way

	answers      answers // to this instance
	answersOfAll answers // to all instances, as last heard
	failing      float64 // what the failures among them cost, in seconds
}

// names numbers names from 1 up, so that comparing them is cheap.
type names[T comparable] map[T]int32

func (n names[T]) of(name T) int32 {
	i, ok := n[name]
	if !ok {
		i = int32(len(n) + 1)
		n[name] = i
	}
	return i
}

// Put adds a target, which is usable until SetUsable says otherwise, or changes what
// is known of one.
func (r *Router) Put(t Target) {
	i, ok := r.byID[t.ID]
	if ok && r.details[i].target == t {
		return
	}
	if !ok {
		i = r.newSlot()
		r.byID[t.ID] = i
		r.slots[i] = slot{trust: 1, usable: true}
		r.details[i] = detail{gen: r.details[i].gen + 1, rate: float64(DefaultPrefill)}
	}
	r.stale = true
	r.details[i].target = t
	r.details[i].hash = hashOf(t)
	r.details[i].known = true
	s, d := &r.slots[i], &r.details[i]
	if ok {
		r.leave(i)
		r.share(i, -1)
	}
	s.service = r.services.of(t.Service)
	s.region = r.regions.of(t.Region)
	s.version = 0
	if t.Version != "" {
		s.version = r.versions.of(t.Version)
	}
	s.roles = needsOf(t.Role)
	s.cross = t.Region != r.cfg.Region
	d.link = r.linkTo(t).Seconds()
	r.price(i)
	r.enter(i)
	r.share(i, +1)
}

func (r *Router) newSlot() int32 {
	if n := len(r.free); n > 0 {
		i := r.free[n-1]
		r.free = r.free[:n-1]
		return i
	}
	r.slots = append(r.slots, slot{})
	r.details = append(r.details, detail{})
	r.depth = append(r.depth, 0)
	return int32(len(r.slots) - 1)
}

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

// SetUsable says whether new work may go to a target.
func (r *Router) SetUsable(id ident.TargetID, usable bool) {
	if i, ok := r.byID[id]; ok && r.slots[i].usable != usable {
		r.slots[i].usable = usable
		r.refresh(i)
		r.stale = true
	}
}

// Restarted forgets what a new incarnation of a target cannot have.
func (r *Router) Restarted(id ident.TargetID) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	d := &r.details[i]
	r.share(i, -1)
	d.backlog, d.running = estimate{}, estimate{}
	d.waiting, d.own, d.held, d.waits = 0, 0, 0, waits{}
	d.answers, d.answersOfAll, d.failing = answers{}, answers{}, 0
	r.settle(i)
	d.gen++
	d.event = 0
	r.prefixes.dropHolder(i)
}

// Remove forgets a target.
func (r *Router) Remove(id ident.TargetID) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	r.prefixes.dropHolder(i)
	r.leave(i)
	r.share(i, -1)
	delete(r.byID, id)
	r.stale = true
	r.slots[i] = slot{}
	r.details[i] = detail{gen: r.details[i].gen + 1}
	r.free = append(r.free, i)
}

// settle brings a slot's base and the bounds above it up to date. Whoever changes
// what base is made of calls it.
func (r *Router) settle(i int32) {
	r.price(i)
	r.refresh(i)
}

// price brings base and pace up to date, so that a choice only adds what depends on the
// request.
func (r *Router) price(i int32) {
	s, d := &r.slots[i], &r.details[i]
	s.pace = r.pace(i)
	rest := d.full() + 2*d.link + d.busy()*runningCost + d.failing
	for level := range s.base {
		s.base[level] = d.queue(level)*s.pace + rest
		_, s.delays[level] = d.waits.less(level)
	}
}

// queue returns the prompt tokens before a new request of an urgency. Others' work is taken as
// steady but for what they do like this instance: what drains since the report,
// they send anew. Its urgency is not known, so all of it counts.
func (d *detail) queue(level int) float64 {
	less, _ := d.waits.less(level)
	return d.backlog.now(d.waiting, d.alike) + max(0, d.waiting-less)
}

// busy returns the requests in progress.
func (d *detail) busy() float64 { return d.running.now(d.own, d.alike) + d.own }

// full returns the seconds that a request waits for a free place in the batch.
func (d *detail) full() float64 {
	over := d.busy() - d.slots + 1
	if d.slots == 0 || over <= 0 {
		return 0
	}
	return over * placeWait
}

// placeWait is the time in which a full batch frees one place, in seconds.
const placeWait = 50e-3

// runningCost spreads requests over targets that have no backlog, in seconds.
const runningCost = 500e-6

// needsOf returns the needs that a role takes, as bits.
func needsOf(role desired.Role) uint8 {
	all := uint8(1)<<StageAny | 1<<StagePrefill | 1<<StageDecode
	switch role {
	case desired.RolePrefill:
		return all &^ (1 << StageDecode)
	case desired.RoleDecode:
		return all &^ (1 << StagePrefill)
	default:
		return all
	}
}
