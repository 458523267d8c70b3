package leader

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/duty"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/cluster/usage"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// Intervals and timeouts of the leader's background tasks.
const (
	watchInterval  = 20 * time.Millisecond
	sweepInterval  = 1 * time.Second
	orderInterval  = 100 * time.Millisecond
	planInterval   = 1 * time.Second
	proposeTimeout = 3 * time.Second
	queryTimeout   = 1 * time.Second
)

// Config holds the dependencies and settings of a Coordinator.
type Config struct {
	Node    *quorum.Node
	Machine *state.Machine
	Engines EngineClient
	// Stages lets engines of forwarded services switch between the prefill role, which only
	// processes prompts, and the mixed role, which also generates answers.
	Stages bool
	// Permits lets the leader grant permits for targets with a rate limit.
	Permits bool
	// Pause is the minimum time between the orders of two successive leaders to one engine, on
	// top of the leader lease and the send timeout; 0 adds nothing. See newLeaderPause.
	Pause  time.Duration
	Timing quorum.Timing
	// Duties configures the duties of one instance at a time.
	Duties DutyConfig
	// Targets returns a snapshot of the target table.
	Targets func() []target.Record
	Log     *logrus.Entry
}

// Coordinator runs the leader's background tasks while this instance leads the quorum. Its
// methods are safe for concurrent use.
type Coordinator struct {
	cfg Config

	documentMu sync.Mutex
	decoded    *desired.Document // newest document; must not be modified
	digest     ident.Digest      // digest of decoded

	mu           sync.Mutex
	active       bool
	leadingSince clock.Time
	leases       *Leases
	loadTotals   *inflight.Sums
	placements   *feed.Log[peer.Placement]
	permits      *permit.Allocator
	plans        *rolePlans
	work         *engineWork
	duties       *dutyTerm                      // nil before the first leadership
	sentAt       map[ident.OrderID]clock.Time   // last send by this leader; zero before it
	settledAt    map[ident.TargetID]clock.Time  // when this leader learned that the engine's last order was done or failed
	refused      map[ident.OrderID]bool         // orders whose fencing token the engine refused
	waitReasons  map[ident.OrderID]string       // why an open order is not sent yet, for reports
	claims       map[ident.BootID][]state.Claim // long-open receipts of live runs
}

// NewCoordinator returns a coordinator that does nothing until Start is called.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg, leases: NewLeases(), loadTotals: inflight.New(), placements: newPlacementLog(), permits: newAllocator(cfg.Permits), plans: newRolePlans(), work: newEngineWork(), sentAt: map[ident.OrderID]clock.Time{},
		settledAt: map[ident.TargetID]clock.Time{},
		refused:   map[ident.OrderID]bool{}, waitReasons: map[ident.OrderID]string{},
	}
}

// Start adds the coordinator's background tasks to g.
func (co *Coordinator) Start(g *task.Group) {
	g.Go("leader watch", func(ctx context.Context) error { return task.Every(ctx, watchInterval, co.trackLeadership) })
	g.Go("leader receipts", func(ctx context.Context) error {
		return task.Every(ctx, sweepInterval, co.whileActive(co.sweepReceipts))
	})
	g.Go("leader orders", func(ctx context.Context) error {
		return task.Every(ctx, orderInterval, co.whileActive(co.advanceOrders))
	})
	g.Go("leader limits", func(ctx context.Context) error {
		return task.Every(ctx, sweepInterval, co.whileActive(co.dropStaleLimits))
	})
	if co.cfg.Duties.Provider != nil {
		g.Go("leader duties", func(ctx context.Context) error {
			return task.Every(ctx, dutyInterval, co.whileActive(co.advanceDuties))
		})
	}
	g.Go("leader roles", func(ctx context.Context) error { return task.Every(ctx, planInterval, co.whileActive(co.planOrders)) })
}

func (co *Coordinator) whileActive(f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		if co.Active() {
			f(ctx)
		}
	}
}

// Active reports whether this instance may act as leader right now: it holds the leader lease
// and has applied every commit of earlier leaders.
func (co *Coordinator) Active() bool {
	co.mu.Lock()
	active := co.active
	co.mu.Unlock()
	return active && co.cfg.Node.Leads()
}

// trackLeadership activates the coordinator when the node gains leadership and deactivates it
// when the node loses it.
func (co *Coordinator) trackLeadership(ctx context.Context) {
	leads := co.cfg.Node.Leads()
	co.mu.Lock()
	active := co.active
	co.mu.Unlock()
	if leads == active {
		return
	}
	if !leads {
		co.setActive(false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	// Every commit of earlier leaders must be applied before the first grant.
	if co.cfg.Node.Barrier(ctx) == nil {
		co.setActive(true)
	}
}

func (co *Coordinator) setActive(active bool) {
	now := clock.Now()
	co.mu.Lock()
	defer co.mu.Unlock()
	co.active = active
	if active {
		co.leadingSince = now
		co.leases.Begin(now, co.cfg.Node.Status().FirstLeadership)
		co.loadTotals = inflight.New()
		co.placements = newPlacementLog()
		co.permits = newAllocator(co.cfg.Permits)
		co.plans = newRolePlans()
		co.work = newEngineWork()
		co.duties = newDutyTerm(usage.Window(co.cfg.Machine.Duties().Last[duty.UsageSubject]))
		clear(co.sentAt)
		clear(co.settledAt)
		clear(co.refused)
		clear(co.waitReasons)
	}
	co.cfg.Log.WithFields(logrus.Fields{"event": "leadership", "active": active}).Info("leadership changed")
}

// Grant replies to a request for a configuration lease. If the instance already has the newest
// view and allows a long poll, the reply is delayed until the next view or the end of the long
// poll, so that a new view reaches every instance within one network trip. It returns a
// fault.NotLeader error if this instance does not lead.
func (co *Coordinator) Grant(ctx context.Context, req *peer.Lease) (*peer.Grant, error) {
	if err := co.recordRenewal(req); err != nil {
		return nil, err
	}
	if req.LongPoll {
		select {
		case <-ctx.Done():
		case <-time.After(co.longPollTime()):
		case <-co.cfg.Machine.Changed(req.Version):
		}
	}
	return co.grantLease(req)
}

// longPollTime returns the longest delay of a reply that carries no new view.
func (co *Coordinator) longPollTime() time.Duration {
	co.mu.Lock()
	defer co.mu.Unlock()
	return min(LongPollMax, LongPollBase+time.Duration(co.leases.Holders(clock.Now()))*longPollPerInstance)
}

func (co *Coordinator) recordRenewal(req *peer.Lease) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || !co.cfg.Node.Leads() {
		return fault.New(fault.NotLeader, "this instance is not the leader")
	}
	co.leases.Renew(clock.Now(), req)
	co.plans.add(req.Demand)
	return nil
}

// grantLease grants the lease if this instance still leads. The lease runs from the time of the
// request, so a delayed reply shortens it and never extends it.
func (co *Coordinator) grantLease(req *peer.Lease) (*peer.Grant, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || !co.cfg.Node.Leads() {
		return nil, fault.New(fault.NotLeader, "this instance is not the leader")
	}
	v := co.cfg.Machine.View()
	g := &peer.Grant{Duration: LeaseDuration, Version: v.Version, Claims: co.claims[req.Boot], Holders: co.leases.Holders(clock.Now()), Limits: co.permits.Snapshot()}
	if v.Version > req.Version {
		g.View = &v
	}
	if st := co.cfg.Node.Status(); st.MembersIndex != req.RosterIndex {
		roster := peer.RosterOf(st)
		g.Roster = &roster
	}
	return g, nil
}

// ExchangeLoads records an instance's load at the targets and its new placements. It returns the
// total load of all instances and the placements since the request's cursor.
func (co *Coordinator) ExchangeLoads(share *peer.Share) *peer.Sum {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := clock.Now()
	co.loadTotals.Put(now, share.Instance, share.Loads)
	co.placements.Append(share.Placed...)
	placed, next := co.placements.Since(share.Since)
	return &peer.Sum{Loads: co.loadTotals.Total(now, minReportedQueue), Placed: placed, Next: next, Limits: co.permits.Snapshot()}
}

// ExchangeFailures records which targets failed requests of an instance and returns the targets
// that failed requests of any instance.
func (co *Coordinator) ExchangeFailures(f *peer.Failing) *peer.Sum {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := clock.Now()
	co.loadTotals.Put(now, f.Instance, f.Loads)
	return &peer.Sum{Loads: co.loadTotals.Failing(now), Limits: co.permits.Snapshot()}
}

// newPlacementLog returns an empty placement log. Its random run number lets instances notice a
// change of leader.
func newPlacementLog() *feed.Log[peer.Placement] {
	return feed.New[peer.Placement](rand.Uint64()|1, placementLogSize)
}

// minReportedQueue is the number of waiting prompt tokens below which a target is left out of the
// totals, unless it failed requests.
const minReportedQueue ident.Tokens = 1024

// placementLogSize bounds the number of placements that are kept for instances that join.
const placementLogSize = 2048

// InForce reports whether view v is in force on every instance, and which instances have not
// confirmed it.
func (co *Coordinator) InForce(v state.Version) (bool, []ident.InstanceID) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.leases.InForce(clock.Now(), v)
}

// Instances returns the instances that have requested leases from this leader.
func (co *Coordinator) Instances() []Instance {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.leases.Instances(clock.Now())
}

// WaitReasons returns the reason for which each open order is on hold.
func (co *Coordinator) WaitReasons() map[ident.OrderID]string {
	co.mu.Lock()
	defer co.mu.Unlock()
	return maps.Clone(co.waitReasons)
}

// Propose commits a command and returns the result of applying it.
func (co *Coordinator) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	c.At = state.UnixMillisOf(time.Now())
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	result, err := co.cfg.Node.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	return result.(state.Result), nil
}

// proposeWithin commits a command within a time limit. It also returns an error if the command was refused.
func (co *Coordinator) proposeWithin(ctx context.Context, limit time.Duration, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := co.Propose(ctx, c)
	if err == nil {
		err = result.Err()
	}
	return result, err
}

// propose commits a command that a background task issues. A failure is logged only: the task's
// next run proposes again.
func (co *Coordinator) propose(ctx context.Context, c state.Command) {
	if _, err := co.proposeWithin(ctx, proposeTimeout, c); err != nil {
		co.cfg.Log.WithFields(logrus.Fields{"event": "propose_failed", "cause": err}).Warn("proposal failed; the next run retries it")
	}
}
