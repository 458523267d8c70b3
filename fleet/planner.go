// Package fleet plans the roles of engines.
//
// Prompts need prefill capacity, answers need decode capacity, and an engine provides one or the
// other. The share of demand that a split of the fleet can serve is limited by its scarcer side.
// Planner tracks demand with a fast and a slow moving average and changes the role of one engine at
// a time. It makes a change only if the gain expected over the horizon exceeds the cost of the
// change: the capacity of the engine while it is unavailable, with a higher weight the more
// stability is preferred to goodput.
//
// SplitPlanner decides how many engines process prompts only in fleets whose other engines process
// prompts as well as generating answers.
//
// Neither type holds a lock or reads a clock: the caller serializes access and passes the time.
package fleet

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Config configures a Planner.
type Config struct {
	Goodput     float64               // preference from 0 (fewest changes) to 1 (most goodput)
	PrefillRate ident.TokensPerSecond // of one prefill engine
	DecodeRate  ident.TokensPerSecond // of one decode engine
	ChangeTime  time.Duration         // time for which a change makes an engine unavailable
	Horizon     time.Duration         // period over which a change has to pay off
}

// DefaultConfig returns values for one accelerator with a mid-sized model.
func DefaultConfig() Config {
	return Config{
		Goodput: 0.7, PrefillRate: 9000, DecodeRate: 2900,
		ChangeTime: 5 * time.Second, Horizon: 60 * time.Second,
	}
}

const (
	fastWindow = 8 * time.Second
	slowWindow = 40 * time.Second
	// maxUtilization is the fraction of an engine's capacity that can be used before queues violate
	// the objectives.
	maxUtilization = 0.8
	// stabilityFactor multiplies the cost of a change at a goodput preference of 0.
	stabilityFactor = 12
	// minChangeInterval is the least time between changes.
	minChangeInterval = 4 * time.Second
)

// Engine is the state of an engine that planning depends on.
type Engine struct {
	ID      ident.TargetID
	Role    desired.Role
	Fixed   bool // its role is set by the document, or it is draining
	Running int
}

// Demand is arrived work in tokens.
type Demand struct {
	Prefill ident.Tokens
	Decode  ident.Tokens
}

// Change is a change of one engine to another role.
type Change struct {
	Engine ident.TargetID
	Role   desired.Role
	Gain   float64 // expected additional capacity used over the horizon, in engine-seconds
	Cost   float64 // expected loss in engine-seconds
}

// Planner plans role changes. Use New. It is not safe for concurrent use.
type Planner struct {
	cfg      Config
	fast     average
	slow     average
	observed clock.Time
	changed  clock.Time
	lastRole desired.Role // role of the latest change
}

// average is an exponentially weighted average of demand in tokens per second.
type average struct{ prefill, decode float64 }

func (a *average) add(d Demand, dt, window time.Duration) {
	keep := math.Exp(-dt.Seconds() / window.Seconds())
	a.prefill = a.prefill*keep + float64(d.Prefill)/dt.Seconds()*(1-keep)
	a.decode = a.decode*keep + float64(d.Decode)/dt.Seconds()*(1-keep)
}

// New returns a planner without observed demand.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// SetGoodput sets the goodput preference.
func (p *Planner) SetGoodput(g float64) { p.cfg.Goodput = g }

// SetRates sets the reported rates of one prefill and one decode engine. A rate of 0 leaves the
// previous one unchanged.
func (p *Planner) SetRates(prefill, decode ident.TokensPerSecond) {
	if prefill > 0 {
		p.cfg.PrefillRate = prefill
	}
	if decode > 0 {
		p.cfg.DecodeRate = decode
	}
}

// Observe adds the work that arrived since the previous call.
func (p *Planner) Observe(now clock.Time, d Demand) {
	if p.observed == 0 {
		p.observed = now
		return
	}
	dt := now.Sub(p.observed)
	if dt <= 0 {
		return
	}
	p.fast.add(d, dt, fastWindow)
	p.slow.add(d, dt, slowWindow)
	p.observed = now
}

// split is the number of engines in each role.
type split struct{ prefill, decode int }

// enginesNeeded returns the number of engines that each kind of work occupies.
func (p *Planner) enginesNeeded(a average) (prefill, decode float64) {
	return a.prefill / (float64(p.cfg.PrefillRate) * maxUtilization), a.decode / (float64(p.cfg.DecodeRate) * maxUtilization)
}

// servedFraction returns the fraction of the demand that a split serves. It decreases slightly with
// the utilization of the scarcer side.
func (p *Planner) servedFraction(s split, a average) float64 {
	pre, dec := p.enginesNeeded(a)
	if pre+dec == 0 {
		return 1
	}
	worst := math.Max(utilization(pre, s.prefill), utilization(dec, s.decode))
	if worst <= 1 {
		return 1 - 0.05*worst
	}
	return 0.95 / worst
}

// utilization returns the load per engine, where load is in numbers of engines.
func utilization(load float64, engines int) float64 {
	if load == 0 {
		return 0
	}
	if engines == 0 {
		return math.Inf(1)
	}
	return load / float64(engines)
}

// Plan returns the change with the largest net gain. It reports false if no change pays off, or if
// the latest change was less than minChangeInterval ago.
func (p *Planner) Plan(now clock.Time, engines []Engine) (Change, bool) {
	if p.changed > 0 && now.Sub(p.changed) < minChangeInterval {
		return Change{}, false
	}
	present := countRoles(engines)
	best := Change{}
	for _, role := range []desired.Role{desired.RolePrefill, desired.RoleDecode} {
		c, ok := p.evaluateChange(present, engines, role)
		if ok && c.Gain-c.Cost > best.Gain-best.Cost {
			best = c
		}
	}
	return best, best.Engine != ""
}

// RecordChange records that a change was ordered.
func (p *Planner) RecordChange(now clock.Time, c Change) {
	p.changed = now
	p.lastRole = c.Role
}

func countRoles(engines []Engine) split {
	var s split
	for _, e := range engines {
		switch e.Role {
		case desired.RolePrefill:
			s.prefill++
		case desired.RoleDecode:
			s.decode++
		}
	}
	return s
}

// evaluateChange evaluates the change of one engine to a role. It reports false if the change does
// not pay off.
func (p *Planner) evaluateChange(present split, engines []Engine, to desired.Role) (Change, bool) {
	next := present
	from := desired.RoleDecode
	if to == desired.RolePrefill {
		next.prefill++
		next.decode--
	} else {
		from = desired.RolePrefill
		next.prefill--
		next.decode++
	}
	if next.prefill < 1 || next.decode < 1 {
		return Change{}, false
	}
	id, ok := leastBusy(engines, from)
	if !ok {
		return Change{}, false
	}
	fleetSize := float64(present.prefill + present.decode)
	fast := p.servedFraction(next, p.fast) - p.servedFraction(present, p.fast)
	slow := p.servedFraction(next, p.slow) - p.servedFraction(present, p.slow)
	// A change pays off if the fast average calls for it. As far as stability is preferred, the
	// slow average has to agree.
	g := p.cfg.Goodput
	expected := g*fast + (1-g)*math.Min(fast, slow)
	gain := expected * fleetSize * p.cfg.Horizon.Seconds()
	cost := p.cfg.ChangeTime.Seconds() * (1 + stabilityFactor*(1-g))
	if p.lastRole != "" && p.lastRole != to {
		cost *= 2 // reversing the previous change also wastes its cost
	}
	return Change{Engine: id, Role: to, Gain: gain, Cost: cost}, gain > cost
}

// leastBusy returns the engine of a role with the fewest running requests, whose change loses the
// least.
func leastBusy(engines []Engine, role desired.Role) (ident.TargetID, bool) {
	best := -1
	for i, e := range engines {
		if e.Role != role || e.Fixed {
			continue
		}
		if best < 0 || e.Running < engines[best].Running {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return engines[best].ID, true
}
