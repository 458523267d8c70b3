package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/internal/host/startup"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
)

const (
	// intervalPerInstance is added to request intervals for each lease holder, so that a voter
	// receives no more than a few hundred requests per second.
	intervalPerInstance = 2 * time.Millisecond
	// pullInterval is the interval at which an instance requests targets from each other instance.
	pullInterval   = 500 * time.Millisecond
	firstPullDelay = 100 * time.Millisecond
	pullTimeout    = 1 * time.Second
	gaugeInterval  = 1 * time.Second
	pruneInterval  = 1 * time.Second
	// shareInterval is the interval at which an instance exchanges loads with the leader.
	shareInterval = 40 * time.Millisecond
	// failureShareInterval is the interval at which an instance reports failures only, while a
	// placer selects targets for it.
	failureShareInterval = 200 * time.Millisecond
	shareTimeout         = 400 * time.Millisecond
)

// renewLease is the background task that renews the configuration lease.
func (in *Instance) renewLease(ctx context.Context) error {
	held := false
	for {
		confirming := in.gate.Version() != in.confirmedView
		err := in.renewOnce(ctx)
		if err == nil && !held {
			held = true
			close(in.ready)
		}
		in.trackLease(err)
		if err == nil && !confirming && in.gate.Version() != in.confirmedView {
			continue // confirm the new view at once
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leader.RenewInterval):
		}
	}
}

// trackLease logs when the configuration lease is gained or lost, and signals the target pull task
// when it is gained.
func (in *Instance) trackLease(cause error) {
	holds := in.gate.HoldsLease(clock.Now())
	if holds == in.holdsLease {
		return
	}
	in.holdsLease = holds
	if holds {
		in.reach(startup.Lease)
		select {
		case in.leaseGained <- struct{}{}:
		default: // the previous signal is still pending
		}
	}
	fields := logrus.Fields{"event": "lease_held", "version": in.gate.Version()}
	if !holds {
		fields["event"], fields["cause"] = "lease_lost", cause
	}
	in.log.WithFields(fields).Info("configuration lease changed")
}

// renewOnce requests a lease. An instance that holds one uses a long poll, so that the leader
// replies as soon as there is a new view. The first request after a new view confirms to the leader
// that the view is in force here.
func (in *Instance) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leader.LeaseDuration)
	defer cancel()
	// The lease runs from the first attempt, also if the request is retried.
	requestedAt := clock.Now()
	before := in.gate.Version()
	request := in.leaseRequest(before)
	request.Demand = in.dispatcher.TakeDemand()
	request.LongPoll = in.gate.HoldsLease(requestedAt) && before == in.confirmedView
	grant, err := requestAs[*peer.Grant](ctx, in.leader, request)
	if err != nil {
		return err
	}
	in.confirmedView = before
	if grant.Roster != nil {
		in.roster.Replace(*grant.Roster)
	}
	in.receipts.Reconcile(grant.Claims)
	previous := int(in.leaseHolders.Load())
	in.dispatcher.SetInstances(max(grant.Holders, previous))
	// The count of a new leader starts low and grows as instances renew, so the recorded number
	// shrinks by at most one per renewal.
	in.leaseHolders.Store(int64(max(grant.Holders, previous-1)))
	in.mergeLimits(requestedAt, grant.Limits)
	if err := in.gate.ApplyGrant(requestedAt, grant); err != nil {
		return err
	}
	if after := in.gate.Version(); after != before {
		in.log.WithFields(logrus.Fields{"event": "view", "version": after, "number": in.gate.Latest().Number}).Info("serving under a new view")
	}
	return nil
}

// leaseRequest returns a request for a lease from an instance whose view has the given version.
func (in *Instance) leaseRequest(v state.Version) *peer.Lease {
	return &peer.Lease{
		Instance: in.settings.Instance, Boot: in.boot, Version: v, Leaving: in.stages.isLeaving(),
		BusyEngines: in.targetPool.DrainingTargets(), RosterIndex: in.roster.MembershipIndex(),
	}
}

// pullTargets is the background task that requests, from every other instance, the targets that
// announced themselves there.
func (in *Instance) pullTargets(ctx context.Context) error {
	running := map[ident.InstanceID]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	wait := pullInterval
	for {
		for _, id := range in.network.Peers() {
			mu.Lock()
			busy := running[id]
			running[id] = true
			mu.Unlock()
			if busy {
				continue // a slow instance delays its own table only
			}
			wg.Go(func() {
				in.pullTargetsFrom(ctx, id)
				mu.Lock()
				running[id] = false
				mu.Unlock()
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.leaseGained:
			wait = firstPullDelay
		case <-time.After(wait):
			wait = in.pullDelay(wait)
		}
	}
}

// pullDelay returns the delay before the next pull, given the previous delay. An instance that has
// just gained its lease and has no usable target pulls again soon, with delays that double: after
// a restart of the whole system, hundreds of instances pull at once.
func (in *Instance) pullDelay(before time.Duration) time.Duration {
	if in.targetPool.Empty() {
		return min(2*before, in.scaledInterval(pullInterval))
	}
	return in.scaledInterval(pullInterval)
}

// scaledInterval returns a request interval that grows with the number of lease holders.
func (in *Instance) scaledInterval(d time.Duration) time.Duration {
	return d + time.Duration(in.leaseHolders.Load())*intervalPerInstance
}

// pullTargetsFrom requests targets from an instance. It returns false if there is no reply, or one that was
// dropped because another request to the instance ended first.
func (in *Instance) pullTargetsFrom(ctx context.Context, id ident.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	requestedAt := clock.Now()
	since := in.targetPool.Cursor(id)
	listing, err := replyAs[*peer.Listing](in.network.Call(ctx, id, &peer.Table{Since: since}))
	if err != nil {
		return false // retried at the next tick
	}
	in.wall.observe(clock.Now(), requestedAt, id, listing.Wall)
	merged := in.targetPool.MergeListing(clock.Now(), requestedAt, id, since, listing.Targets)
	if merged && !in.targetPool.Empty() {
		in.reach(startup.Target)
	}
	return merged
}

// shareLoads is the background task that reports this instance's load at the targets to the leader
// and receives the total of all instances.
func (in *Instance) shareLoads(ctx context.Context) error {
	var since feed.Cursor
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(in.shareDelay()):
		}
		since = in.shareOnce(ctx, since)
	}
}

// shareDelay returns the delay between two exchanges with the leader.
func (in *Instance) shareDelay() time.Duration {
	if in.placerClient != nil && in.placerClient.inUse(clock.Now()) {
		return in.scaledInterval(failureShareInterval)
	}
	return in.scaledInterval(shareInterval)
}

// shareOnce exchanges loads and placements with the leader and returns the cursor for the next
// exchange of placements.
func (in *Instance) shareOnce(ctx context.Context, since feed.Cursor) feed.Cursor {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	requestedAt := clock.Now()
	if in.placerClient != nil && in.placerClient.inUse(requestedAt) {
		in.shareFailures(ctx, requestedAt)
		return since
	}
	sum, err := requestAs[*peer.Sum](ctx, in.leader, &peer.Share{
		Instance: in.settings.Instance, Loads: in.targetPool.LocalLoads(), Placed: in.targetPool.TakePlacements(), Since: since,
	})
	if err != nil {
		in.log.WithFields(logrus.Fields{"event": "loads_not_shared", "cause": err}).Debug("loads not exchanged with the leader; the next round retries")
		return since
	}
	now := clock.Now()
	in.targetPool.MergeLoads(now, now.Sub(requestedAt)/2+in.scaledInterval(shareInterval)/2, sum.Loads)
	in.targetPool.MergePlacements(now, sum.Placed)
	in.mergeLimits(requestedAt, sum.Limits)
	return sum.Next
}

// shareFailures exchanges with the leader only which targets fail requests. The placer tracks all
// other load.
func (in *Instance) shareFailures(ctx context.Context, requestedAt clock.Time) {
	loads := inflight.Loads{}
	for id, l := range in.targetPool.LocalLoads() {
		if l.Failed > 0 {
			// Waiting is left out: the placer reports the queues.
			loads[id] = inflight.Load{Answered: l.Answered, Failed: l.Failed}
		}
	}
	sum, err := requestAs[*peer.Sum](ctx, in.leader, &peer.Failing{Instance: in.settings.Instance, Loads: loads})
	if err != nil {
		in.log.WithFields(logrus.Fields{"event": "loads_not_shared", "cause": err}).Debug("failures not exchanged with the leader; the next round retries")
		return
	}
	now := clock.Now()
	in.targetPool.MergeLoads(now, now.Sub(requestedAt)/2, sum.Loads)
	in.mergeLimits(requestedAt, sum.Limits)
}

// pruneRouter is the background task that removes expired prompt cache entries and old target
// failures from the router. It logs which targets start and stop counting as failing, and whose engines differ in speed.
func (in *Instance) pruneRouter(ctx context.Context) error {
	var failing map[ident.TargetID]router.Failure
	uneven := map[ident.ServiceID]bool{}
	return task.Every(ctx, pruneInterval, func(context.Context) {
		in.targetPool.ExpirePrompts(clock.Now(), in.routingInstances())
		before := failing
		failing = in.targetPool.Failures()
		in.logFailureChanges(before, failing)
		in.logUneven(uneven)
	})
}

// logUneven logs the services whose engines are newly seen to differ in speed, and adds them to known.
func (in *Instance) logUneven(known map[ident.ServiceID]bool) {
	for _, service := range in.targetPool.UnevenServices() {
		if known[service] {
			continue
		}
		known[service] = true
		in.log.WithFields(logrus.Fields{"event": "engines_uneven", "service": service}).Info("the service's engines differ in speed; each counts with its own, and with its own price of prompts")
	}
}

// routingInstances returns the number of instances that route about as many requests to engines as
// this one: all lease holders, or one placer per region where placers select targets.
func (in *Instance) routingInstances() int {
	if in.placer == nil {
		return int(in.leaseHolders.Load())
	}
	regions := map[ident.RegionID]bool{in.settings.Region: true}
	for _, region := range in.settings.Domains {
		regions[region] = true
	}
	return len(regions)
}

// logFailureChanges logs the targets that started or stopped counting as failing.
func (in *Instance) logFailureChanges(before, current map[ident.TargetID]router.Failure) {
	for id, f := range current {
		if _, known := before[id]; known {
			continue
		}
		in.log.WithFields(logrus.Fields{
			"event": "target_failing", "target": id, "failed": f.Own.Failed, "of": f.Own.All, "allfailed": f.All.Failed, "allof": f.All.All,
			"price": f.Penalty.Milliseconds(),
		}).Warn("target counts as failing; its routing cost rises")
	}
	for id := range before {
		if _, still := current[id]; !still {
			in.log.WithFields(logrus.Fields{"event": "target_well", "target": id}).Info("target no longer counts as failing")
		}
	}
}

// updateGauges is the background task that exports the instance's state as metrics. It also closes
// connections to targets that have been idle for too long.
func (in *Instance) updateGauges(ctx context.Context) error {
	return task.Every(ctx, gaugeInterval, func(context.Context) {
		in.targetClient.Sweep(clock.Now())
		in.directClient.Sweep(clock.Now())
		running, waiting := in.dispatcher.Load()
		in.metrics.Gauge("running", float64(running))
		in.metrics.Gauge("waiting", float64(waiting))
		in.metrics.Gauge("view", float64(in.gate.Version()))
		in.metrics.Gauge("limited_targets", float64(len(in.targetPool.Limits())))
		if in.factClient != nil {
			in.metrics.Gauge("quarantined_parts", float64(len(in.factClient.facts.Quarantined(clock.Now()))))
		}
		in.metrics.Gauge("receipts_pending", float64(in.receipts.Pending()))
		in.metrics.Gauge("target_connections_opened", float64(in.targetClient.Opened()+in.directClient.Opened()))
		for message, bytes := range in.network.SentBytes() {
			in.metrics.Gauge("peer_sent_bytes_"+message, float64(bytes))
		}
	})
}
