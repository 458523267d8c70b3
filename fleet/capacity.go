package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: demand changes within seconds, a new target needs seconds to start, and the targets of a domain that may
// be reclaimed can all leave at once, with none to be had for a while.
//
// The number of targets follows the highest demand of a window that is far longer than the swings of callers, so that they
// are not chased, and growth counts at once. Targets are spread over the domains so that what is left covers the demand
// when one domain loses those that may be reclaimed. Targets are added before others are taken away, and only as many
// leave as others serve instead. While demand is unknown, the number is kept.

// CapacityLimits are the bounds and prices of a service's targets.
type CapacityLimits struct {
	Min, Max  int           // in each domain, of both classes together
	StartTime time.Duration // until a new target serves
	// ReclaimablePrice is the price of a reclaimable target as a part of that of an ordinary one; 0 if there are
	// none.
	ReclaimablePrice float64
	Prices           map[ident.DomainID]float64 // of an ordinary target for a second
}

// CapacityPolicy is how much capacity an operator wants beyond the demand.
type CapacityPolicy struct {
	Headroom float64 // targets for each target that the demand needs
	Steady   int     // ordinary targets that are kept in each domain
}

// DefaultHeadroom is the headroom of a policy that names none. With the part of a target that the demand leaves free, it lets a
// burst of 2.4 times be served until new targets have started.
const DefaultHeadroom = 2.4 * maxDecodeUtilization

// TargetClass is whether the provider may reclaim a target.
type TargetClass uint8

// The classes.
const (
	Ordinary TargetClass = iota
	Reclaimable
	classCount
)

// String returns the class as it appears in logs.
func (c TargetClass) String() string { return [...]string{"ordinary", "reclaimable"}[c] }

// Supply is the number of a service's targets in a domain by class, without those that leave.
type Supply map[ident.DomainID][classCount]int

// CapacityOrder is a number of targets to order in a domain.
type CapacityOrder struct {
	Domain ident.DomainID
	Class  TargetClass
	Count  int
	Reason string
}

// Periods of the capacity planner.
const (
	// demandWindow is the time for which the highest demand counts.
	demandWindow = 30 * time.Second
	// demandSmoothing is the time constant of the average whose highest value counts.
	demandSmoothing = 1 * time.Second
	// demandKnownAfter is the time from the first demand until the number of targets may shrink.
	demandKnownAfter = 8 * time.Second
	// scarceTime is the time for which a class is not ordered in a domain after the provider had none.
	scarceTime = 8 * time.Second
	// startTimes is the time, in start times, after which an order without effect is repeated.
	startTimes = 2
	// shrinkDivisor limits the targets that leave at a time to one in this many, so that prompts that they cache are
	// not all processed again at once.
	shrinkDivisor = 8
	// shrinkInterval is the least time between two reductions.
	shrinkInterval = 3 * time.Second
	// reclaimReserve is the capacity, for each target that the demand needs, that is left when a domain loses its
	// reclaimable targets.
	reclaimReserve = 1.25
	// maxReplacements limits the targets of one class that are on order while as many of the other serve: every target
	// that starts is announced to every instance. Targets that are missing are ordered at once.
	maxReplacements = 128
)

// CapacityPlanner plans the number of targets of one service. The zero value is ready to use. It is not safe for concurrent
// use.
type CapacityPlanner struct {
	average  float64 // of the demand, in targets
	observed clock.Time
	known    clock.Time // first observation with demand; 0 before it
	peaks    []peak     // decreasing values, by time
	kept     int        // most targets seen while the demand was not known
	ordered  map[place]orderedCount
	scarce   map[place]clock.Time // until when the provider is assumed to have none
	shrunk   clock.Time           // last reduction
	last     CapacityState
}

// peak is an average at a time.
type peak struct {
	at    clock.Time
	value float64
}

// place is a class of targets in a domain.
type place struct {
	domain ident.DomainID
	class  TargetClass
}

// orderedCount is the number that was ordered last.
type orderedCount struct {
	count int
	at    clock.Time
}

// CapacityState is what the planner found at its last plan, for reports.
type CapacityState struct {
	Demand  float64 `json:"demand"`  // highest of the window, in targets
	Known   bool    `json:"known"`   // the number may shrink
	Wanted  int     `json:"wanted"`  // targets in all domains
	Serving int     `json:"serving"` // without those that have been ordered away
}

// State returns what the planner found at its last plan.
func (p *CapacityPlanner) State() CapacityState { return p.last }

// Observe adds the present load of the service's targets.
func (p *CapacityPlanner) Observe(now clock.Time, l Load) {
	prefill, decode := l.engines()
	demand := prefill + decode
	if p.known == 0 {
		if demand == 0 {
			return
		}
		p.known, p.observed = now, now
	}
	keep := math.Exp(-now.Sub(p.observed).Seconds() / demandSmoothing.Seconds())
	p.average = p.average*keep + demand*(1-keep)
	p.observed = now
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].value <= p.average {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, peak{now, p.average})
	for now.Sub(p.peaks[0].at) > demandWindow {
		p.peaks = p.peaks[1:]
	}
}

// demand returns the highest demand of the window.
func (p *CapacityPlanner) demand() float64 {
	if len(p.peaks) == 0 {
		return 0
	}
	return p.peaks[0].value
}

// Refused records that the provider had no targets for an order.
func (p *CapacityPlanner) Refused(now clock.Time, domain ident.DomainID, class TargetClass) {
	if p.scarce == nil {
		p.scarce = map[place]clock.Time{}
	}
	at := place{domain, class}
	p.scarce[at] = now.Add(scarceTime)
	delete(p.ordered, at)
}

// Plan returns the orders that are due, given the targets present. They count as sent.
func (p *CapacityPlanner) Plan(now clock.Time, limits CapacityLimits, policy CapacityPolicy, present Supply) []CapacityOrder {
	domains := domainsOf(limits, present)
	if len(domains) == 0 {
		return nil
	}
	total := p.total(now, limits, policy, len(domains), present)
	wanted := p.spread(now, domains, total, limits, policy, present)
	serving := 0
	for _, d := range domains {
		serving += p.serving(now, limits, d, present)
	}
	p.last = CapacityState{Demand: p.demand(), Known: p.mayShrink(now), Wanted: total, Serving: serving}
	orders := p.grow(now, domains, wanted, serving, limits, present)
	return append(orders, p.shrink(now, domains, wanted, serving-total, limits, present)...)
}

// mayShrink reports whether the demand has been known for long enough to take targets away.
func (p *CapacityPlanner) mayShrink(now clock.Time) bool {
	return p.known > 0 && now.Sub(p.known) >= demandKnownAfter
}

// total returns the wanted number of targets in all domains.
func (p *CapacityPlanner) total(now clock.Time, limits CapacityLimits, policy CapacityPolicy, domains int, present Supply) int {
	need := p.demand() * cmp.Or(policy.Headroom, DefaultHeadroom)
	if limits.reclaims(domains) {
		need = math.Max(need, p.demand()*reclaimReserve*float64(domains)/float64(domains-1))
	}
	total := int(math.Ceil(need))
	if !p.mayShrink(now) {
		if len(p.ordered) == 0 { // later, targets of both classes are present while they change
			p.kept = max(p.kept, present.total())
		}
		total = max(total, p.kept)
	}
	return min(max(total, limits.Min*domains), limits.Max*domains)
}

// reclaims reports whether reclaimable targets are cheaper, also with the reserve for the loss of a domain.
func (l CapacityLimits) reclaims(domains int) bool {
	return domains > 1 && l.ReclaimablePrice > 0 && l.ReclaimablePrice*float64(domains)/float64(domains-1) < 1
}

// domainsOf returns the domains in which targets may be ordered, the cheapest first.
func domainsOf(limits CapacityLimits, present Supply) []ident.DomainID {
	domains := make([]ident.DomainID, 0, len(limits.Prices))
	for d := range limits.Prices {
		domains = append(domains, d)
	}
	for d := range present {
		if _, priced := limits.Prices[d]; !priced {
			domains = append(domains, d)
		}
	}
	slices.SortFunc(domains, func(a, b ident.DomainID) int {
		return cmp.Or(cmp.Compare(limits.Prices[a], limits.Prices[b]), cmp.Compare(a, b))
	})
	return domains
}

// spread returns the wanted numbers by domain and class. What a domain cannot have of one class, others have instead;
// ordinary targets take the place of reclaimable ones only where all domains together cannot have enough.
func (p *CapacityPlanner) spread(now clock.Time, domains []ident.DomainID, total int, limits CapacityLimits, policy CapacityPolicy, present Supply) Supply {
	wanted := Supply{}
	reclaim := limits.reclaims(len(domains))
	missing := 0
	for i, d := range domains {
		share := total / len(domains)
		if i < total%len(domains) {
			share++
		}
		share = min(max(share, limits.Min), limits.Max)
		var count [classCount]int
		count[Ordinary] = share
		if reclaim {
			count[Ordinary] = min(policy.Steady, share)
			count[Reclaimable] = share - count[Ordinary]
		}
		if have := present[d][Reclaimable]; p.isScarce(now, d, Reclaimable) && have < count[Reclaimable] {
			missing += count[Reclaimable] - have
			count[Reclaimable] = have
		}
		wanted[d] = count
	}
	missing = p.fill(now, domains, wanted, missing, Reclaimable, reclaim, limits)
	if reclaim {
		// Without headroom: the dearer class is only for what callers need now.
		missing = min(missing, int(math.Ceil(p.demand()))-wanted.total())
	}
	p.fill(now, domains, wanted, missing, Ordinary, reclaim, limits)
	return wanted
}

// total returns the number of targets of all domains and classes.
func (s Supply) total() int {
	n := 0
	for _, count := range s {
		n += count[Ordinary] + count[Reclaimable]
	}
	return n
}

// fill adds missing targets of a class, one at a time over the domains, and returns how many are still missing. A
// number of 0 or less adds none.
func (p *CapacityPlanner) fill(now clock.Time, domains []ident.DomainID, wanted Supply, missing int, class TargetClass, reclaim bool, limits CapacityLimits) int {
	for added := true; added && missing > 0; {
		added = false
		for _, d := range domains {
			count := wanted[d]
			full := count[Ordinary]+count[Reclaimable] >= limits.Max
			if missing == 0 || full || p.isScarce(now, d, class) || class == Reclaimable && !reclaim {
				continue
			}
			count[class]++
			wanted[d] = count
			missing--
			added = true
		}
	}
	return missing
}

func (p *CapacityPlanner) isScarce(now clock.Time, d ident.DomainID, c TargetClass) bool {
	return now.Before(p.scarce[place{d, c}])
}

// serving returns the targets of a domain without those that a recent order takes away.
func (p *CapacityPlanner) serving(now clock.Time, limits CapacityLimits, d ident.DomainID, present Supply) int {
	return p.servingAt(now, limits, place{d, Ordinary}, present) + p.servingAt(now, limits, place{d, Reclaimable}, present)
}

// servingAt returns the targets at a place without those that a recent order takes away.
func (p *CapacityPlanner) servingAt(now clock.Time, limits CapacityLimits, at place, present Supply) int {
	here := present[at.domain][at.class]
	if o, recent := p.recent(now, limits, at); recent {
		here = min(here, o.count)
	}
	return here
}

// recent returns the last order at a place, if it may not have had its effect yet.
func (p *CapacityPlanner) recent(now clock.Time, limits CapacityLimits, at place) (orderedCount, bool) {
	o, ok := p.ordered[at]
	return o, ok && now.Sub(o.at) < startTimes*limits.StartTime
}

// grow returns the orders of more targets, given the number of those that serve.
func (p *CapacityPlanner) grow(now clock.Time, domains []ident.DomainID, wanted Supply, serving int, limits CapacityLimits, present Supply) []CapacityOrder {
	missing := max(0, wanted.total()-serving) // also if some are on order: those may have been reclaimed already
	left := missing + p.replaceable(now, domains, limits, present)
	var orders []CapacityOrder
	for _, d := range domains {
		for class := range classCount {
			at := place{d, class}
			want := min(wanted[d][class], limits.Max-p.placed(now, limits, place{d, 1 - class}, present))
			have := p.placed(now, limits, at, present)
			want = min(want, have+left)
			if want <= have {
				continue
			}
			left -= want - have
			orders = append(orders, p.order(now, at, want, "targets are missing"))
		}
	}
	return orders
}

// replaceable returns how many targets may be ordered now, beyond those on order, only to replace others: none until half of
// those ordered last serve.
func (p *CapacityPlanner) replaceable(now clock.Time, domains []ident.DomainID, limits CapacityLimits, present Supply) int {
	onOrder := 0
	for _, d := range domains {
		for class := range classCount {
			onOrder += p.placed(now, limits, place{d, class}, present) - present[d][class]
		}
	}
	if onOrder > maxReplacements/2 {
		return 0
	}
	return maxReplacements - onOrder
}

// placed returns the targets that count against a domain's limit at a place: those present, and those on order.
func (p *CapacityPlanner) placed(now clock.Time, limits CapacityLimits, at place, present Supply) int {
	n := present[at.domain][at.class]
	if o, recent := p.recent(now, limits, at); recent {
		n = max(n, o.count)
	}
	return n
}

// shrink returns the orders of fewer targets, of which spare ones are not needed at present.
func (p *CapacityPlanner) shrink(now clock.Time, domains []ident.DomainID, wanted Supply, spare int, limits CapacityLimits, present Supply) []CapacityOrder {
	if spare <= 0 || p.shrunk > 0 && now.Sub(p.shrunk) < shrinkInterval {
		return nil
	}
	if p.mayShrink(now) {
		spare = min(spare, max(1, p.last.Serving/shrinkDivisor))
	}
	fewer := map[place]int{}
	for took := true; took && spare > 0; {
		took = false
		for _, class := range []TargetClass{Ordinary, Reclaimable} { // the dearer ones first
			for _, d := range slices.Backward(domains) {
				at := place{d, class}
				if o, recent := p.recent(now, limits, at); recent && o.count < present[d][class] {
					continue // the targets of the last order are still leaving
				}
				left := p.serving(now, limits, d, present) - fewer[place{d, Ordinary}] - fewer[place{d, Reclaimable}]
				if spare > 0 && left > limits.Min && p.servingAt(now, limits, at, present)-fewer[at] > wanted[d][class] {
					fewer[at]++
					spare--
					took = true
				}
			}
		}
	}
	var orders []CapacityOrder
	for _, d := range domains {
		for class := range classCount {
			at := place{d, class}
			if fewer[at] == 0 {
				continue
			}
			orders = append(orders, p.order(now, at, p.servingAt(now, limits, at, present)-fewer[at], "more targets serve than are needed"))
			p.shrunk = now
		}
	}
	return orders
}

// order records an order.
func (p *CapacityPlanner) order(now clock.Time, at place, count int, reason string) CapacityOrder {
	if p.ordered == nil {
		p.ordered = map[place]orderedCount{}
	}
	p.ordered[at] = orderedCount{count, now}
	return CapacityOrder{Domain: at.domain, Class: at.class, Count: count, Reason: reason}
}
