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
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/metrics"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/plain"
	"github.com/hickoryridge/hickoryridge/receipt"
)

const rolePrefill = desired.RolePrefill

const (
	// maxAttempts bounds the attempts of one chat or plain request.
	maxAttempts = 4
	// sweepInterval is the interval at which expired targets are removed.
	sweepInterval = 30 * time.Second
)

// Config configures a Dispatcher.
type Config struct {
	Instance   ident.InstanceID
	Boot       ident.BootID
	Gate       *Gate
	Targets    *TargetPool
	Engines    *engine.Client
	Plain      *plain.Client
	Backend    Backend         // sends forwarded requests; nil if there are none
	Placement  PlacementClient // chooses engines for forwarded requests; nil if this instance does
	Doubtful   func() bool     // reports whether failures of targets may be those of this instance's link; nil if it is never known
	Facts      *Facts          // shared with the other instances; nil if none are
	Origins    StreamOrigins   // what began the streams of other instances; nil if it cannot be looked up
	Refresher  TargetRefresher // reads newer announcements for requests that are bound to a software version; nil if there is none
	Confirmer  ConfigConfirmer // makes sure that the document is the newest one; nil if there is none
	Usage      UsageCounter    // counts the requests of workspaces; nil if they are not counted
	Receipts   *receipt.Runner
	Metrics    *metrics.Metrics
	Log        *logrus.Entry
	MaxRunning int // bound on requests in progress for each service
	// Hold is the longest time for which a request waits for the lease and the first targets; 0 means that none does.
	Hold time.Duration
	// Defers means that requests of workspaces with keys may be deferred at engines; see admit.Contest.
	Defers bool
	// Answers bounds what is kept of targets' answers. It may be nil.
	Answers *budget.Budget
	// Unread is how much of a stream is read ahead while its caller reads slowly, in bytes; 0 means that nothing is.
	Unread ident.Bytes
	// Served is called when a forwarded request has been answered completely. It may be nil.
	Served func()
	// Requests ends when a stop aborts the requests in progress, with a fault.Draining error as its cause. It may be nil.
	Requests context.Context
	// Retries bounds the retries of each service across all instances. If its window is zero, each
	// instance has its own budget instead.
	Retries admit.RetryLimit
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	admission *admissionQueues
	demand    *demandCounter
	started   clock.Time

	mu            sync.Mutex
	budgets       map[ident.ServiceID]*admit.RetryBudget
	retryLimiters map[ident.ServiceID]*admit.RetryLimiter
	instances     int // number of instances that share the retry limits
}

// New returns a dispatcher. Its owner must run Run while the dispatcher is in use.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, started: clock.Now(), admission: newAdmissionQueues(cfg.MaxRunning), demand: newDemandCounter(), budgets: map[ident.ServiceID]*admit.RetryBudget{}, retryLimiters: map[ident.ServiceID]*admit.RetryLimiter{}}
}

// Run advances waiting requests and removes expired targets until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	advance := time.NewTicker(advanceInterval)
	defer advance.Stop()
	advance.Stop() // stopped until a request waits
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.admission.waiterAdded:
			advance.Reset(advanceInterval)
		case <-advance.C:
			if !d.admission.Advance(clock.Now()) {
				advance.Stop()
			}
		case <-sweep.C:
			d.cfg.Targets.RemoveExpired(clock.Now())
		}
	}
}

// Load returns the number of running and of waiting requests.
func (d *Dispatcher) Load() (running, waiting int) { return d.admission.Load() }

// TakeDemand returns the demand that callers have created since the previous call.
func (d *Dispatcher) TakeDemand() map[ident.ServiceID]peer.Demand { return d.demand.take() }

// countRequest adds a request of the service to its retry budget.
func (d *Dispatcher) countRequest(s ident.ServiceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.Retries.Window > 0 {
		d.retryLimiter(s).Request(clock.Now())
		return
	}
	b := d.budgets[s]
	if b == nil {
		b = admit.NewRetryBudget()
		d.budgets[s] = b
	}
	b.Request()
}

// mayRetry reports whether the service's retry budget allows one more attempt. If so, it takes that
// attempt from the budget.
func (d *Dispatcher) mayRetry(s ident.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.Retries.Window > 0 {
		return d.retryLimiter(s).Retry(clock.Now(), d.instances)
	}
	return d.budgets[s].Retry()
}

// retryLimiter returns this instance's part of the service's retry limit. d.mu is held.
func (d *Dispatcher) retryLimiter(s ident.ServiceID) *admit.RetryLimiter {
	r := d.retryLimiters[s]
	if r == nil {
		r = admit.NewRetryLimiter(d.cfg.Retries, d.started)
		d.retryLimiters[s] = r
	}
	return r
}

// SetInstances sets the number of instances that share the retry limits.
func (d *Dispatcher) SetInstances(n int) {
	d.mu.Lock()
	d.instances = n
	d.mu.Unlock()
}

// linkDoubtful reports whether failures of targets may be those of this instance's link.
func (d *Dispatcher) linkDoubtful() bool { return d.cfg.Doubtful != nil && d.cfg.Doubtful() }

// RequestInfo identifies the tenant, the class and the configuration of a request.
type RequestInfo struct {
	Tenant *desired.Tenant
	Class  *desired.Class
	Config *ActiveConfig
	Caller Caller
	// Returning is set if the request was refused before and is retried at the time that the
	// refusal named.
	Returning bool
}

// fail counts the error of a request that was not answered completely, and returns it.
func (d *Dispatcher) fail(info RequestInfo, err error) error {
	d.cfg.Metrics.Answered(info.Tenant.Name, info.Class.Name, fault.KindOf(err).String())
	return err
}

func (d *Dispatcher) newAttemptID() ident.AttemptID {
	return ident.AttemptID(string(d.cfg.Instance) + "-" + ident.NewRandom())
}
