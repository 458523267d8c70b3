// Package dispatch takes a request from its admission to its whole answer. It
// joins the decision cores (gate, admission, routing, retry budget) with the
// clients that speak to targets.
package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

// ActiveConfig is the configuration that a request is served by.
type ActiveConfig struct {
	Document *desired.Document
	Version  state.Version
	Number   ident.DocumentNumber
	Digest   ident.Digest
	drained  []ident.TargetID
}

// Drained reports whether the configuration takes a target out of service.
func (c *ActiveConfig) Drained(id ident.TargetID) bool { return slices.Contains(c.drained, id) }

// Gate lets requests in only while the instance holds a configuration lease. It
// is safe for concurrent use.
type Gate struct {
	mu       sync.RWMutex
	current  *ActiveConfig
	expires  clock.Time
	draining bool
}

// NewGate returns a closed gate.
func NewGate() *Gate { return &Gate{} }

// ApplyGrant takes a lease that was asked for at asked. A view never goes back.
func (g *Gate) ApplyGrant(asked clock.Time, grant *peer.Grant) error {
	var next *ActiveConfig
	if grant.View != nil {
		var err error
		if next, err = currentOf(grant.View); err != nil {
			return err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if next != nil {
		g.advance(next)
	}
	if g.current != nil && g.current.Version >= grant.Version {
		g.expires = max(g.expires, asked.Add(grant.Duration))
	}
	return nil
}

// ApplyView takes the view of this instance's own replica, without a lease: it tells which targets may get work, and lets no
// request in.
func (g *Gate) ApplyView(v state.View) error {
	if g.Version() >= v.Version {
		return nil
	}
	next, err := currentOf(&v)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(next)
	return nil
}

// advance takes a configuration unless the present one is as new. g.mu is held.
func (g *Gate) advance(next *ActiveConfig) {
	if g.current == nil || next.Version > g.current.Version {
		g.current = next
	}
}

func currentOf(v *state.View) (*ActiveConfig, error) {
	c := &ActiveConfig{Version: v.Version, Number: v.Number, Digest: v.Digest, drained: slices.Clone(v.Draining)}
	if v.Number == 0 {
		return c, nil // no document was applied yet
	}
	doc, err := desired.ParseStored(v.Document)
	if err != nil {
		return nil, err
	}
	c.Document = doc
	c.drained = append(c.drained, doc.Drained()...)
	return c, nil
}

// Drain closes the gate for good: the instance stops.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
}

// Admit returns the configuration for a new request, or why none is taken.
func (g *Gate) Admit(now clock.Time) (*ActiveConfig, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	switch {
	case g.draining:
		return nil, fault.New(fault.Draining, "this instance is stopping")
	case !now.Before(g.expires):
		return nil, fault.New(fault.ConfigLapsed, "this instance has no word of the newest configuration")
	case g.current.Document == nil:
		return nil, fault.WithRetryAfter(fault.New(fault.ConfigLapsed, "no configuration was applied yet"), 5*time.Second)
	}
	return g.current, nil
}

// HoldsLease reports whether the instance holds a lease at now.
func (g *Gate) HoldsLease(now clock.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return now.Before(g.expires)
}

// Latest returns the newest configuration, for work that was let in already. It
// is nil before the first lease.
func (g *Gate) Latest() *ActiveConfig {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.current
}

// Version returns the version of the newest view.
func (g *Gate) Version() state.Version {
	if c := g.Latest(); c != nil {
		return c.Version
	}
	return 0
}
