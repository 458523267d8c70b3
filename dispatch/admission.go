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

// advanceEvery is the interval at which waiting requests are looked at besides
// the ends of others, while there are any.
const advanceEvery = 5 * time.Millisecond

// admission runs one admission queue for each service.
type admission struct {
	slots int

	mu      sync.Mutex
	nextID  uint64
	queues  map[ident.ServiceID]*admit.Queue
	waiting map[uint64]chan admit.Decision
	number  ident.DocumentNumber // of the document whose limits are set
	queued  chan struct{}        // signals that a request has begun to wait
}

func newAdmission(slots int) *admission {
	return &admission{
		slots: slots, queues: map[ident.ServiceID]*admit.Queue{}, waiting: map[uint64]chan admit.Decision{},
		queued: make(chan struct{}, 1),
	}
}

// queue returns a service's queue, with the limits of the newest document seen.
func (a *admission) queue(now clock.Time, s ident.ServiceID, c *ActiveConfig) *admit.Queue {
	if a.number != c.Number {
		a.number = c.Number
		for _, q := range a.queues {
			setLimits(now, q, c.Document)
		}
	}
	q := a.queues[s]
	if q == nil {
		q = admit.New(a.slots)
		setLimits(now, q, c.Document)
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

// Enter waits until the request may start. It returns at once with a refusal when
// the request is given up on. Entitled tells that it should go before others of its
// class.
func (a *admission) Enter(ctx context.Context, s ident.ServiceID, c *ActiveConfig, r admit.Request) (entitled bool, err error) {
	now := clock.Now()
	a.mu.Lock()
	a.nextID++
	r.ID = a.nextID
	q := a.queue(now, s, c)
	verdict, decided := q.Offer(now, r)
	if decided {
		a.mu.Unlock()
		return verdict.Entitled, verdict.Err
	}
	wait := make(chan admit.Decision, 1)
	a.waiting[r.ID] = wait
	a.mu.Unlock()
	select {
	case a.queued <- struct{}{}:
	default: // it is signalled already
	}
	select {
	case v := <-wait:
		return v.Entitled, v.Err
	case <-ctx.Done():
		return false, a.withdraw(s, r, wait)
	}
}

// withdraw gives up a request whose caller has gone.
func (a *admission) withdraw(s ident.ServiceID, r admit.Request, wait chan admit.Decision) error {
	gone := fault.WithRan(fault.New(fault.Overloaded, "the caller has gone"), fault.RanNo)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r.ID)
	if a.queues[s].Withdraw(r.ID) {
		return gone
	}
	// The verdict came at the same moment.
	if v := <-wait; v.Err != nil {
		return v.Err
	}
	a.queues[s].FirstToken(clock.Now(), r, -1)
	a.queues[s].Done()
	return gone
}

// First tells that an admitted request got its first token or its plain answer
// after a wait at the targets, or ended without one if wait is negative.
func (a *admission) First(s ident.ServiceID, r admit.Request, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	a.queues[s].FirstToken(now, r, wait)
	a.tell(a.queues[s].Advance(now))
}

// Leave ends an admitted request.
func (a *admission) Leave(s ident.ServiceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queues[s].Done()
	a.tell(a.queues[s].Advance(clock.Now()))
}

// Advance lets waiting requests start where there is room by now. It reports
// whether any still wait.
func (a *admission) Advance(now clock.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		a.tell(q.Advance(now))
	}
	return len(a.waiting) > 0
}

func (a *admission) tell(verdicts []admit.Decision) {
	for _, v := range verdicts {
		if c := a.waiting[v.ID]; c != nil {
			delete(a.waiting, v.ID)
			c <- v
		}
	}
}

// Load returns the numbers of running and waiting requests.
func (a *admission) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		running += q.Running()
		waiting += q.Waiting()
	}
	return running, waiting
}
