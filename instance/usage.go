package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/usage"
	"github.com/hickoryridge/hickoryridge/internal/cluster/walltime"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/platform"
	"github.com/hickoryridge/hickoryridge/settings"
	"github.com/hickoryridge/hickoryridge/state"
)

const (
	// usageInterval is the interval at which an instance hands its counts over, which scaledInterval stretches. An
	// instance that dies takes the counts since then with it.
	usageInterval = 150 * time.Millisecond
	usageTimeout  = 500 * time.Millisecond
	// maxUsageLag is the longest time from the beginning of a request until it is counted: a plain request is counted when
	// it has been answered.
	maxUsageLag = 1500 * time.Millisecond
	// usageLagDivisor divides the time until a report is due. The lag takes no more than that part.
	usageLagDivisor = 4
)

// wallClock is the estimate of true time of an instance. It is safe for concurrent use.
type wallClock struct {
	voter bool // the instance's own clock counts too
	self  ident.InstanceID

	mu        sync.Mutex
	estimator walltime.Estimator
}

// observe records the wall clock that another instance reported in its reply to a request.
func (c *wallClock) observe(now, requestedAt clock.Time, from ident.InstanceID, wall state.UnixMillis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Observe(now, requestedAt, from, wall)
}

// at returns the estimate of true time at a time of the steady clock.
func (c *wallClock) at(t clock.Time) (state.UnixMillis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.voter {
		c.estimator.Observe(now, now, c.self, state.UnixMillisOf(time.Now()))
	}
	trueNow, known := c.estimator.Now(now)
	return trueNow - state.UnixMillis(now.Sub(t).Milliseconds()), known
}

// usageCounter counts the requests of workspaces and hands the counts over to the leader. It is safe for concurrent use.
type usageCounter struct {
	in  *Instance
	lag time.Duration

	mu        sync.Mutex
	counter   *usage.Counter
	uncounted int // requests without an estimate of true time
}

var _ dispatch.UsageCounter = (*usageCounter)(nil)

func newUsageCounter(in *Instance) *usageCounter {
	p := in.settings.Provider
	return &usageCounter{in: in, lag: min(maxUsageLag, p.Late.AsDuration()/usageLagDivisor), counter: usage.NewCounter(p.Window.AsDuration())}
}

// Began counts a request. See dispatch.UsageCounter.
func (c *usageCounter) Began(at clock.Time, workspace ident.TenantID) {
	began, known := c.in.wall.at(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known {
		c.uncounted++
		return
	}
	c.counter.Began(began, workspace)
}

// run is the background task that hands the counts over.
func (c *usageCounter) run(ctx context.Context) error {
	reported := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.in.scaledInterval(usageInterval)):
		}
		c.handOver(ctx)
		reported = c.logDropped(reported)
	}
}

func (c *usageCounter) handOver(ctx context.Context) {
	now, known := c.in.wall.at(clock.Now())
	if !known {
		return
	}
	c.mu.Lock()
	report := c.counter.Take(now, c.lag)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	reply, err := requestAs[*peer.UsageReceipt](ctx, c.in.leader, &peer.Usage{Instance: c.in.settings.Instance, Boot: c.in.boot, Report: report})
	if err != nil {
		c.in.log.WithFields(logrus.Fields{"event": "usage_not_handed_over", "cause": err}).Debug("counts not handed over to the leader; the next turn repeats them")
		return
	}
	c.mu.Lock()
	c.counter.Acked(reply.Receipt)
	c.mu.Unlock()
}

// logDropped logs requests that came too late for their window since the last call, and returns their number so far.
func (c *usageCounter) logDropped(before uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := c.counter.Dropped() + uint64(c.uncounted)
	if dropped > before {
		c.in.metrics.CountBy("usage_dropped", int(dropped-before))
		c.in.log.WithFields(logrus.Fields{"event": "usage_dropped", "requests": dropped - before, "untimed": c.uncounted}).Warn("requests were not counted: their window is closed, or true time is unknown")
	}
	return dropped
}

// dutyConfig returns the configuration of the duties of the leading instance.
func (in *Instance) dutyConfig() leader.DutyConfig {
	p := in.settings.Provider
	if p.Address == "" || in.settings.Protocol != settings.ProtocolPlatform {
		return leader.DutyConfig{}
	}
	cfg := leader.DutyConfig{
		Provider: &platform.Provider{Address: p.Address, Holder: in.settings.Instance},
		Instance: in.settings.Instance, Boot: in.boot, Count: in.metrics.Count, Lease: p.Lease.AsDuration(), Rate: p.Rate,
		Usage: leader.UsageConfig{Window: p.Window.AsDuration(), Late: p.Late.AsDuration(), TrueTime: in.wall.at},
	}
	if p.Capacity {
		cfg.Capacity = &leader.CapacityConfig{
			Policy: fleet.CapacityPolicy{Headroom: p.Headroom, Steady: p.Steady}, Announced: in.settings.TargetLease(),
		}
	}
	return cfg
}

// usage returns the counter of the requests of workspaces, as an interface that is nil if none are counted.
func (in *Instance) usage() dispatch.UsageCounter {
	if in.usageCounter == nil {
		return nil
	}
	return in.usageCounter
}

// wallFor returns this instance's wall clock for a reply, or 0 if nobody needs it.
func (in *Instance) wallFor() state.UnixMillis {
	if !in.settings.Provider.ReportsUsage() {
		return 0
	}
	return state.UnixMillisOf(time.Now())
}
