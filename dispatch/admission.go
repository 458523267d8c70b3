package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// advanceInterval is the interval at which waiting requests are reconsidered while there are any,
// in addition to the checks that run whenever another request finishes.
const advanceInterval = 5 * time.Millisecond

// admissionQueues holds one admission queue per service. It is safe for concurrent use.
type admissionQueues struct {
	maxRunning int

	mu          sync.Mutex
	nextID      uint64
	queues      map[ident.ServiceID]*admit.Queue
	waiters     map[uint64]chan admit.Decision
	docNumber   ident.DocumentNumber // document number of the limits in effect
	waiterAdded chan struct{}        // signals that a request has started to wait
}

func newAdmissionQueues(maxRunning int) *admissionQueues {
	return &admissionQueues{
		maxRunning: maxRunning, queues: map[ident.ServiceID]*admit.Queue{}, waiters: map[uint64]chan admit.Decision{},
		waiterAdded: make(chan struct{}, 1),
	}
}

// queueFor returns the service's queue with the tenant limits of the given configuration. a.mu is
// held.
func (a *admissionQueues) queueFor(now clock.Time, s ident.ServiceID, cfg *ActiveConfig) *admit.Queue {
	if a.docNumber != cfg.Number {
		a.docNumber = cfg.Number
		for _, q := range a.queues {
			setLimits(now, q, cfg.Document)
		}
	}
	q := a.queues[s]
	if q == nil {
		q = admit.New(a.maxRunning)
		setLimits(now, q, cfg.Document)
		a.queues[s] = q
	}
	return q
}

func setLimits(now clock.Time, q *admit.Queue, d *desired.Document) {
	for _, t := range d.Tenants {
		q.SetLimit(now, t.Name, admit.Limit{
			Rate: t.Limit.Rate, Burst: t.Limit.Burst, Queue: t.Limit.Queue, Weight: t.Weight,
		})
	}
}

// Admit blocks until the request may start. It returns an error as soon as the request is refused
// or ctx ends. A result with entitled set means that the request takes precedence over others of
// its class, because its tenant is within its share.
func (a *admissionQueues) Admit(ctx context.Context, s ident.ServiceID, c *ActiveConfig, r admit.Request) (entitled bool, err error) {
	now := clock.Now()
	a.mu.Lock()
	a.nextID++
	r.ID = a.nextID
	q := a.queueFor(now, s, c)
	decision, decided := q.Offer(now, r)
	if decided {
		a.mu.Unlock()
		return decision.Entitled, decision.Err
	}
	result := make(chan admit.Decision, 1)
	a.waiters[r.ID] = result
	a.mu.Unlock()
	select {
	case a.waiterAdded <- struct{}{}:
	default: // already signaled
	}
	select {
	case d := <-result:
		return d.Entitled, d.Err
	case <-ctx.Done():
		return false, a.withdraw(s, r, result)
	}
}

// withdraw removes a request whose caller has disconnected or whose time has run out, and returns
// the error for it. If the request was admitted at the same moment, withdraw finishes it.
func (a *admissionQueues) withdraw(s ident.ServiceID, r admit.Request, result chan admit.Decision) error {
	withdrawn := fault.WithRan(fault.New(fault.Overloaded, "caller disconnected or request timed out while waiting for admission"), fault.RanNo)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, r.ID)
	if a.queues[s].Withdraw(r.ID) {
		return withdrawn
	}
	// The decision arrived at the same moment.
	if d := <-result; d.Err != nil {
		return d.Err
	}
	a.queues[s].FirstToken(clock.Now(), r, -1)
	a.queues[s].Done()
	return withdrawn
}

// FirstToken records that an admitted request received its first token, or its whole answer from a
// plain service, after the given wait at the targets. A negative wait means that the request ended
// without one.
func (a *admissionQueues) FirstToken(s ident.ServiceID, r admit.Request, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	a.queues[s].FirstToken(now, r, wait)
	a.deliver(a.queues[s].Advance(now))
}

// Finish ends an admitted request and starts the waiting requests that fit now.
func (a *admissionQueues) Finish(s ident.ServiceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queues[s].Done()
	a.deliver(a.queues[s].Advance(clock.Now()))
}

// Advance starts the waiting requests that fit now and refuses those that can no longer meet their
// objective. It reports whether any requests still wait.
func (a *admissionQueues) Advance(now clock.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		a.deliver(q.Advance(now))
	}
	return len(a.waiters) > 0
}

func (a *admissionQueues) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if c := a.waiters[d.ID]; c != nil {
			delete(a.waiters, d.ID)
			c <- d
		}
	}
}

// Load returns the number of running and of waiting requests over all services.
func (a *admissionQueues) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		running += q.Running()
		waiting += q.Waiting()
	}
	return running, waiting
}
