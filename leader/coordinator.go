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
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// Intervals of the leader's duties.
const (
	watchEvery  = 20 * time.Millisecond
	sweepEvery  = 1 * time.Second
	ordersEvery = 100 * time.Millisecond
	planEvery   = 1 * time.Second
	proposeTime = 3 * time.Second
	askTime     = 1 * time.Second
)

// Config is what an Coordinator is started with.
type Config struct {
	Node    *quorum.Node
	Machine *state.Machine
	Engines EngineClient
	// Stages tells that engines of forwarded services change between processing prompts only and generating answers.
	Stages bool
	// Pause is the least time between the orders of two leaders to one engine; 0 means that of the lease alone.
	Pause  time.Duration
	Timing quorum.Timing
	// Targets returns the records of the target table.
	Targets func() []target.Record
	Log     *logrus.Entry
}

// Coordinator runs the leader's duties while this instance leads. Its methods are safe
// for concurrent use.
type Coordinator struct {
	cfg Config

	decoded *desired.Document // the newest document; owned by the duty that plans
	digest  ident.Digest      // of decoded

	mu      sync.Mutex
	active  bool
	began   clock.Time
	leases  *Leases
	sums    *inflight.Sums
	placed  *feed.Log[peer.Placement]
	plans   *rolePlans
	works   *works
	told    map[ident.OrderID]clock.Time // when an order was last sent
	refused map[ident.OrderID]bool
	waiting map[ident.OrderID]string       // why an open order waits, for reports
	claims  map[ident.BootID][]state.Claim // old open receipts of living runs
}

// NewCoordinator returns a coordinator. Start runs it.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg, leases: NewLeases(), sums: inflight.New(), placed: newPlaced(), plans: newRolePlans(), works: newWorks(), told: map[ident.OrderID]clock.Time{},
		refused: map[ident.OrderID]bool{}, waiting: map[ident.OrderID]string{},
	}
}

// Start adds the coordinator's duties to g.
func (co *Coordinator) Start(g *task.Group) {
	g.Go("leader watch", func(ctx context.Context) error { return task.Every(ctx, watchEvery, co.watch) })
	g.Go("leader receipts", func(ctx context.Context) error { return task.Every(ctx, sweepEvery, co.whileActive(co.sweepReceipts)) })
	g.Go("leader orders", func(ctx context.Context) error { return task.Every(ctx, ordersEvery, co.whileActive(co.driveOrders)) })
	g.Go("leader roles", func(ctx context.Context) error { return task.Every(ctx, planEvery, co.whileActive(co.plan)) })
}

func (co *Coordinator) whileActive(f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		if co.Active() {
			f(ctx)
		}
	}
}

// Active reports whether this instance may act as leader right now.
func (co *Coordinator) Active() bool {
	co.mu.Lock()
	active := co.active
	co.mu.Unlock()
	return active && co.cfg.Node.Leads()
}

// watch begins to act when the node starts to lead and ends when it no longer does.
func (co *Coordinator) watch(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	// Every commit of earlier leaders has to be applied before the first grant.
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
		co.began = now
		co.leases.Begin(now, co.cfg.Node.Status().FirstLeadership)
		co.sums = inflight.New()
		co.placed = newPlaced()
		co.plans = newRolePlans()
		co.works = newWorks()
		clear(co.told)
		clear(co.refused)
		clear(co.waiting)
	}
	co.cfg.Log.WithFields(logrus.Fields{"event": "leadership", "active": active}).Info("leadership changed")
}

// Grant answers a request for a configuration lease. If the instance has the
// newest view and may wait, the answer comes with the next view or after HoldTime,
// so that a new view reaches every instance within one trip.
func (co *Coordinator) Grant(ctx context.Context, ask *peer.Lease) (*peer.Grant, error) {
	if err := co.record(ask); err != nil {
		return nil, err
	}
	if ask.LongPoll {
		select {
		case <-ctx.Done():
		case <-time.After(co.holdTime()):
		case <-co.cfg.Machine.Changed(ask.Version):
		}
	}
	return co.answer(ask)
}

// holdTime returns the longest time for which an answer without news is held back.
func (co *Coordinator) holdTime() time.Duration {
	co.mu.Lock()
	defer co.mu.Unlock()
	return min(LongPollMax, LongPollBase+time.Duration(co.leases.Holders(clock.Now()))*longPollPerInstance)
}

func (co *Coordinator) record(ask *peer.Lease) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || !co.cfg.Node.Leads() {
		return fault.New(fault.NotLeader, "not the leader")
	}
	co.leases.Renew(clock.Now(), ask)
	co.plans.add(ask.Demand)
	return nil
}

// answer grants the lease, if this instance still leads. The lease counts from
// the asking, so that holding the answer back makes it shorter, never longer.
func (co *Coordinator) answer(ask *peer.Lease) (*peer.Grant, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || !co.cfg.Node.Leads() {
		return nil, fault.New(fault.NotLeader, "not the leader")
	}
	v := co.cfg.Machine.View()
	g := &peer.Grant{Duration: LeaseDuration, Version: v.Version, Claims: co.claims[ask.Boot], Holders: co.leases.Holders(clock.Now())}
	if v.Version > ask.Version {
		g.View = &v
	}
	if st := co.cfg.Node.Status(); st.MembersIndex != ask.RosterIndex {
		roster := peer.RosterOf(st)
		g.Roster = &roster
	}
	return g, nil
}

// ExchangeLoads takes what an instance has at the targets and returns what all have.
func (co *Coordinator) ExchangeLoads(share *peer.Share) *peer.Sum {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := clock.Now()
	co.sums.Put(now, share.Instance, share.Loads)
	co.placed.Append(share.Placed...)
	placed, next := co.placed.Since(share.Since)
	return &peer.Sum{Loads: co.sums.Total(now, leastWaiting), Placed: placed, Next: next}
}

// ExchangeFailures takes which targets failed requests of an instance and returns those that failed requests of any.
func (co *Coordinator) ExchangeFailures(f *peer.Failing) *peer.Sum {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := clock.Now()
	co.sums.Put(now, f.Instance, f.Loads)
	return &peer.Sum{Loads: co.sums.Failing(now)}
}

// newPlaced returns the placements of a new run of leadership.
func newPlaced() *feed.Log[peer.Placement] {
	return feed.New[peer.Placement](rand.Uint64()|1, keptPlacements)
}

// leastWaiting is the number of waiting prompt tokens from which on a target's queue is told.
const leastWaiting ident.Tokens = 1024

// keptPlacements bounds the placements that a new instance is told.
const keptPlacements = 2048

// InForce reports whether view v is in force everywhere, and who is waited for.
func (co *Coordinator) InForce(v state.Version) (bool, []ident.InstanceID) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.leases.InForce(clock.Now(), v)
}

// Instances returns the instances that asked for leases.
func (co *Coordinator) Instances() []Instance {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.leases.Instances(clock.Now())
}

// Waiting returns why each open order waits.
func (co *Coordinator) Waiting() map[ident.OrderID]string {
	co.mu.Lock()
	defer co.mu.Unlock()
	return maps.Clone(co.waiting)
}

// Propose commits a command and returns its result.
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

// propose commits a command of the leader's own; a failure is repeated by the
// duty's next run.
func (co *Coordinator) propose(ctx context.Context, c state.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	result, err := co.Propose(ctx, c)
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		co.cfg.Log.WithFields(logrus.Fields{"event": "propose_failed", "cause": err}).Warn("propose failed")
	}
}
