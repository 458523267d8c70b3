package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/metrics"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/plain"
	"github.com/hickoryridge/hickoryridge/receipt"
)

const rolePrefill = desired.RolePrefill

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	sweepEvery  = 30 * time.Second
)

// Config is what a Dispatcher is started with.
type Config struct {
	Instance   ident.InstanceID
	Boot       ident.BootID
	Gate       *Gate
	Targets    *TargetPool
	Engines    *engine.Client
	Plain      *plain.Client
	Backend    Backend         // of forwarded requests; nil if there are none
	Placement  PlacementClient // chooses engines for forwarded requests; nil if this instance does
	Receipts   *receipt.Runner
	Metrics    *metrics.Metrics
	Log        *logrus.Entry
	MaxRunning int // requests in progress for each service
	// Retries bounds the retries of each service over all instances; without a window each
	// instance has a budget of its own.
	Retries admit.RetryLimit
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg   Config
	admit *admission
	work  *demands
	held  held // answers that are being read whole

	mu        sync.Mutex
	budgets   map[ident.ServiceID]*admit.RetryBudget
	retries   map[ident.ServiceID]*admit.RetryLimiter
	instances int // that share the retries
}

// New returns a dispatcher. The owner runs Run as a duty.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, admit: newAdmission(cfg.MaxRunning), work: newDemands(), budgets: map[ident.ServiceID]*admit.RetryBudget{}, retries: map[ident.ServiceID]*admit.RetryLimiter{}}
}

// Run is the duty that advances waiting requests.
func (d *Dispatcher) Run(ctx context.Context) error {
	advance := time.NewTicker(advanceEvery)
	defer advance.Stop()
	advance.Stop() // until a request waits
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.admit.queued:
			advance.Reset(advanceEvery)
		case <-advance.C:
			if !d.admit.Advance(clock.Now()) {
				advance.Stop()
			}
		case <-sweep.C:
			d.cfg.Targets.RemoveExpired(clock.Now())
		}
	}
}

// Load returns the numbers of running and waiting requests.
func (d *Dispatcher) Load() (running, waiting int) { return d.admit.Load() }

// TakeDemand returns the work that callers asked for since the previous call.
func (d *Dispatcher) TakeDemand() map[ident.ServiceID]peer.Demand { return d.work.take() }

// countRequest counts a request of the service, which adds to its retry budget.
func (d *Dispatcher) countRequest(s ident.ServiceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.Retries.Window > 0 {
		d.shared(s).Request(clock.Now())
		return
	}
	b := d.budgets[s]
	if b == nil {
		b = admit.NewRetryBudget()
		d.budgets[s] = b
	}
	b.Request()
}

// mayRetry reports whether the service's budget allows one more attempt.
func (d *Dispatcher) mayRetry(s ident.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.Retries.Window > 0 {
		return d.shared(s).Retry(clock.Now(), d.instances)
	}
	return d.budgets[s].Retry()
}

// shared returns this instance's part of a service's retries. d.mu is held.
func (d *Dispatcher) shared(s ident.ServiceID) *admit.RetryLimiter {
	r := d.retries[s]
	if r == nil {
		r = admit.NewRetryLimiter(d.cfg.Retries)
		d.retries[s] = r
	}
	return r
}

// SetInstances tells how many instances share the retries.
func (d *Dispatcher) SetInstances(n int) {
	d.mu.Lock()
	d.instances = n
	d.mu.Unlock()
}

// RequestInfo says on whose behalf a request is made.
type RequestInfo struct {
	Tenant *desired.Tenant
	Class  *desired.Class
	Config *ActiveConfig
	// Returning tells that the request was refused before and comes back as told.
	Returning bool
}

// fail records the outcome of a request that was not answered whole.
func (d *Dispatcher) fail(who RequestInfo, err error) error {
	d.cfg.Metrics.Answered(who.Tenant.Name, who.Class.Name, fault.KindOf(err).String())
	return err
}

func (d *Dispatcher) attemptID() ident.AttemptID {
	return ident.AttemptID(string(d.cfg.Instance) + "-" + ident.NewRandom())
}
