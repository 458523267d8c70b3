// Package fleet plans the roles of engines.
//
// The model. Prompts need prefill capacity, answers need decode capacity, and an
// engine gives one or the other. The share of demand that a split of the fleet can
// serve is bounded by its scarcer side. Planner follows demand with two averages, a
// quick and a slow one, and moves one engine at a time, only where the gain that
// it expects over the horizon exceeds what the change costs: the engine's capacity
// while it is away, weighed more the less goodput is preferred to calm.
//
// The Planner holds no lock and reads no clock.
package fleet

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Config sets the planner.
type Config struct {
	Goodput     float64               // preference from 0, fewest changes, to 1, most goodput
	PrefillRate ident.TokensPerSecond // of one prefill engine
	DecodeRate  ident.TokensPerSecond // of one decode engine
	ChangeTime  time.Duration         // for which a change takes an engine away
	Horizon     time.Duration         // over which a change has to pay
}

// DefaultConfig suits one accelerator with a mid-sized model.
func DefaultConfig() Config {
	return Config{
		Goodput: 0.7, PrefillRate: 9000, DecodeRate: 2900,
		ChangeTime: 5 * time.Second, Horizon: 60 * time.Second,
	}
}

const (
	quickWindow = 8 * time.Second
	slowWindow  = 40 * time.Second
	// headroom is the part of an engine's capacity that can be used before queues
	// break the objectives.
	headroom = 0.8
	// calmFactor multiplies the cost of a change where calm alone counts.
	calmFactor = 12
	// minDwell is the shortest time between changes.
	minDwell = 4 * time.Second
)

// Engine is an engine as the planner sees it.
type Engine struct {
	ID      ident.TargetID
	Role    desired.Role
	Fixed   bool // its role is set by the document, or it is draining
	Running int
}

// Demand is work that arrived, in tokens.
type Demand struct {
	Prefill ident.Tokens
	Decode  ident.Tokens
}

// Change moves one engine to another role.
type Change struct {
	Engine ident.TargetID
	Role   desired.Role
	Gain   float64 // expected tokens served more over the horizon, as engine-seconds
	Cost   float64 // expected engine-seconds lost
}

// Planner is the decision core. Use New.
type Planner struct {
	cfg     Config
	quick   average
	slow    average
	at      clock.Time
	changed clock.Time
	last    desired.Role // role of the latest change
}

// average is an exponentially weighted demand in tokens a second.
type average struct{ prefill, decode float64 }

func (a *average) add(d Demand, dt, window time.Duration) {
	keep := math.Exp(-dt.Seconds() / window.Seconds())
	a.prefill = a.prefill*keep + float64(d.Prefill)/dt.Seconds()*(1-keep)
	a.decode = a.decode*keep + float64(d.Decode)/dt.Seconds()*(1-keep)
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// SetGoodput changes the preference.
func (p *Planner) SetGoodput(g float64) { p.cfg.Goodput = g }

// SetRates sets what one engine of either role does, as engines report it. 0 leaves
// a rate as it is.
func (p *Planner) SetRates(prefill, decode ident.TokensPerSecond) {
	if prefill > 0 {
		p.cfg.PrefillRate = prefill
	}
	if decode > 0 {
		p.cfg.DecodeRate = decode
	}
}

// Observe takes the work that arrived since the previous call.
func (p *Planner) Observe(now clock.Time, d Demand) {
	if p.at == 0 {
		p.at = now
		return
	}
	dt := now.Sub(p.at)
	if dt <= 0 {
		return
	}
	p.quick.add(d, dt, quickWindow)
	p.slow.add(d, dt, slowWindow)
	p.at = now
}

// split is a number of engines in each role.
type split struct{ prefill, decode int }

// load returns how many engines' worth of each kind of work there is.
func (p *Planner) load(a average) (prefill, decode float64) {
	return a.prefill / (float64(p.cfg.PrefillRate) * headroom), a.decode / (float64(p.cfg.DecodeRate) * headroom)
}

// served returns the share of the demand that a split serves, slightly less the
// fuller its scarcer side is.
func (p *Planner) served(s split, a average) float64 {
	pre, dec := p.load(a)
	if pre+dec == 0 {
		return 1
	}
	worst := math.Max(ratio(pre, s.prefill), ratio(dec, s.decode))
	if worst <= 1 {
		return 1 - 0.05*worst
	}
	return 0.95 / worst
}

func ratio(load float64, engines int) float64 {
	if load == 0 {
		return 0
	}
	if engines == 0 {
		return math.Inf(1)
	}
	return load / float64(engines)
}

// Plan returns the change that pays best, if one does.
func (p *Planner) Plan(now clock.Time, engines []Engine) (Change, bool) {
	if p.changed > 0 && now.Sub(p.changed) < minDwell {
		return Change{}, false
	}
	present := count(engines)
	best := Change{}
	for _, role := range []desired.Role{desired.RolePrefill, desired.RoleDecode} {
		c, ok := p.move(present, engines, role)
		if ok && c.Gain-c.Cost > best.Gain-best.Cost {
			best = c
		}
	}
	return best, best.Engine != ""
}

// RecordChange tells that a change was ordered.
func (p *Planner) RecordChange(now clock.Time, c Change) {
	p.changed = now
	p.last = c.Role
}

func count(engines []Engine) split {
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

// move weighs moving one engine to a role.
func (p *Planner) move(present split, engines []Engine, to desired.Role) (Change, bool) {
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
	id, ok := idlest(engines, from)
	if !ok {
		return Change{}, false
	}
	fleetSize := float64(present.prefill + present.decode)
	quick := p.served(next, p.quick) - p.served(present, p.quick)
	slow := p.served(next, p.slow) - p.served(present, p.slow)
	// A change pays if the quick average asks for it; where calm counts, the slow
	// one has to agree.
	g := p.cfg.Goodput
	expected := g*quick + (1-g)*math.Min(quick, slow)
	gain := expected * fleetSize * p.cfg.Horizon.Seconds()
	cost := p.cfg.ChangeTime.Seconds() * (1 + calmFactor*(1-g))
	if p.last != "" && p.last != to {
		cost *= 2 // going back wastes the change before as well
	}
	return Change{Engine: id, Role: to, Gain: gain, Cost: cost}, gain > cost
}

// idlest returns the engine of a role that loses least by a change.
func idlest(engines []Engine, role desired.Role) (ident.TargetID, bool) {
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
