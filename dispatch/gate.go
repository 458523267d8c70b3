// Package dispatch takes each request from admission to its complete answer.
//
// A request passes these steps. The Gate admits it only while the instance holds a lease on its
// configuration. An admission queue per service enforces tenant limits and refuses requests whose
// objective cannot be met. The TargetPool, or a Placer that chooses for the whole region, assigns
// the request to a target. Clients of the target's protocol then send it and relay the answer. If
// an attempt fails, the request is sent again only where its service or rule permits that and the
// retry budget allows it.
//
// Every error says whether the request was executed (see fault.Ran). It says "no" only if that is
// certain.
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

// ActiveConfig is the configuration under which a request is served. It is immutable.
type ActiveConfig struct {
	Document *desired.Document
	Version  state.Version
	Number   ident.DocumentNumber
	Digest   ident.Digest
	drained  []ident.TargetID
	keys     tenantKeys
}

// Drained reports whether the configuration takes a target out of service.
func (c *ActiveConfig) Drained(id ident.TargetID) bool { return slices.Contains(c.drained, id) }

// Gate admits requests only while the instance holds a lease on its configuration, so that an
// instance which cannot renew its lease stops serving under an old configuration. It is safe for
// concurrent use.
type Gate struct {
	mu       sync.RWMutex
	current  *ActiveConfig
	changed  chan struct{} // closed and replaced when current changes
	granted  chan struct{} // closed and replaced when a lease is granted
	created  clock.Time
	leaseEnd clock.Time
	draining bool
	abortAt  clock.Time // when a stop aborts requests; 0 if it does not
}

// NewGate returns a gate that admits nothing until a lease is granted.
func NewGate() *Gate {
	return &Gate{changed: make(chan struct{}), granted: make(chan struct{}), created: clock.Now()}
}

// ApplyGrant records a lease that was requested at requestedAt, and its view if that is newer than
// the current one. The lease counts from requestedAt. A lease on a view newer than the current one
// is ignored. It returns an error if the view's document is invalid.
func (g *Gate) ApplyGrant(requestedAt clock.Time, grant *peer.Grant) error {
	var next *ActiveConfig
	if grant.View != nil {
		var err error
		if next, err = configOf(grant.View); err != nil {
			return err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if next != nil {
		g.advance(next)
	}
	if g.current != nil && g.current.Version >= grant.Version {
		g.leaseEnd = max(g.leaseEnd, requestedAt.Add(grant.Duration))
		close(g.granted)
		g.granted = make(chan struct{})
	}
	return nil
}

// ApplyView records a view of this instance's own replica, without a lease. The view determines
// which targets may receive work, but admits no requests.
func (g *Gate) ApplyView(v state.View) error {
	if g.Version() >= v.Version {
		return nil
	}
	next, err := configOf(&v)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(next)
	return nil
}

// advance replaces the configuration if next is newer. g.mu is held.
func (g *Gate) advance(next *ActiveConfig) {
	if g.current == nil || next.Version > g.current.Version {
		g.current = next
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func configOf(v *state.View) (*ActiveConfig, error) {
	c := &ActiveConfig{Version: v.Version, Number: v.Number, Digest: v.Digest, drained: slices.Clone(v.Draining)}
	if v.Number == 0 {
		return c, nil // no document has been applied yet
	}
	doc, err := desired.ParseStored(v.Document)
	if err != nil {
		return nil, err
	}
	c.keys = takeKeys(doc)
	c.Document = doc
	c.drained = append(c.drained, doc.Drained()...)
	return c, nil
}

// LeaveBy records that the instance is stopping and aborts at the given time what is still in progress.
func (g *Gate) LeaveBy(abortAt clock.Time) {
	g.mu.Lock()
	g.abortAt = abortAt
	g.mu.Unlock()
}

// CheckStop returns a fault.Draining error if a request that may last for the given time cannot end before the
// instance stops. Nothing of it may be sent then: it would be aborted in progress.
func (g *Gate) CheckStop(now clock.Time, limit time.Duration) error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.abortAt == 0 || !now.Add(limit).After(g.abortAt) {
		return nil
	}
	return fault.WithRan(fault.New(fault.Draining, "this instance stops in %v, before a request of %v has ended", g.abortAt.Sub(now), limit), fault.RanNo)
}

// Drain closes the gate permanently because the instance is stopping.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
}

// Admit returns the configuration for a new request. Errors: fault.Draining if the instance is
// stopping, fault.ConfigLapsed if it holds no lease or there is no configuration.
func (g *Gate) Admit(now clock.Time) (*ActiveConfig, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	switch {
	case g.draining:
		return nil, fault.New(fault.Draining, "this instance is stopping")
	case !now.Before(g.leaseEnd):
		return nil, fault.New(fault.ConfigLapsed, "this instance holds no configuration lease")
	case g.current.Document == nil:
		return nil, fault.WithRetryAfter(fault.New(fault.ConfigLapsed, "no configuration has been applied yet"), 5*time.Second)
	}
	return g.current, nil
}

// Lapsed returns for how long the instance has held no lease, 0 if it holds one, and a channel that is closed when the
// next one is granted.
func (g *Gate) Lapsed(now clock.Time) (time.Duration, <-chan struct{}) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return max(0, now.Sub(max(g.leaseEnd, g.created))), g.granted
}

// InForce returns the configuration under which an admitted request may be sent to a target now. It returns a
// fault.ConfigLapsed error without a lease, but none while the instance drains.
func (g *Gate) InForce(now clock.Time) (*ActiveConfig, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if !now.Before(g.leaseEnd) {
		return nil, fault.New(fault.ConfigLapsed, "this instance holds no configuration lease any more")
	}
	return g.current, nil
}

// Changed returns a channel that is closed when there is a view newer than the one that a request was checked
// against. It is closed already if there is.
func (g *Gate) Changed(v state.Version) <-chan struct{} {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.current != nil && g.current.Version > v {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return g.changed
}

// HoldsLease reports whether the instance holds a lease at now.
func (g *Gate) HoldsLease(now clock.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return now.Before(g.leaseEnd)
}

// Latest returns the newest configuration, for requests that were admitted already. It is nil
// before the first view.
func (g *Gate) Latest() *ActiveConfig {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.current
}

// Version returns the version of the newest view, or 0 if there is none.
func (g *Gate) Version() state.Version {
	if c := g.Latest(); c != nil {
		return c.Version
	}
	return 0
}
