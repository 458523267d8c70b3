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
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

const (
	// eachHolder is what the intervals of questions grow by for each instance that asks them,
	// so that a voter gets no more than some hundred a second.
	eachHolder = 2 * time.Millisecond
	// pullEvery is the interval at which instances ask each other for targets.
	pullEvery   = 500 * time.Millisecond
	pullEager   = 100 * time.Millisecond
	pullTime    = 1 * time.Second
	gaugesEvery = 1 * time.Second
	forgetEvery = 1 * time.Second
	shareEvery  = 40 * time.Millisecond
	// failingEvery is the interval at which an instance shares failures only, as a placer chooses for it.
	failingEvery = 200 * time.Millisecond
	shareTime    = 400 * time.Millisecond
)

// renewLease is the duty that keeps the configuration lease.
func (in *Instance) renewLease(ctx context.Context) error {
	held := false
	for {
		confirming := in.gate.Version() != in.confirmed
		err := in.renewOnce(ctx)
		if err == nil && !held {
			held = true
			close(in.ready)
		}
		in.noteLease(err)
		if err == nil && !confirming && in.gate.Version() != in.confirmed {
			continue // confirm the new view at once
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leader.RenewInterval):
		}
	}
}

// noteLease notes when the configuration lease is lost and regained.
func (in *Instance) noteLease(cause error) {
	holds := in.gate.HoldsLease(clock.Now())
	if holds == in.holds {
		return
	}
	in.holds = holds
	if holds {
		select {
		case in.leased <- struct{}{}:
		default: // the table duty has not taken the last signal yet
		}
	}
	fields := logrus.Fields{"event": "lease_held", "version": in.gate.Version()}
	if !holds {
		fields["event"], fields["cause"] = "lease_lost", cause
	}
	in.log.WithFields(fields).Info("configuration lease changed")
}

// renewOnce asks for a lease. An instance that holds one lets the leader answer
// with the next view; the question after a new view tells that it is in force here.
func (in *Instance) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leader.LeaseDuration)
	defer cancel()
	// A question that is put again counts from the first time.
	asked := clock.Now()
	before := in.gate.Version()
	grant, err := askFor[*peer.Grant](ctx, in.leader, &peer.Lease{
		Instance: in.settings.Instance, Boot: in.boot, Version: before,
		Demand: in.dispatcher.TakeDemand(), Leaving: in.stopping.Load(), BusyEngines: in.fleet.DrainingTargets(),
		LongPoll: in.gate.HoldsLease(asked) && before == in.confirmed, RosterIndex: in.roster.Changed(),
	})
	if err != nil {
		return err
	}
	in.confirmed = before
	if grant.Roster != nil {
		in.roster.Replace(*grant.Roster)
	}
	in.receipts.Reconcile(grant.Claims)
	sharing := int(in.sharing.Load())
	in.dispatcher.SetInstances(max(grant.Holders, sharing))
	in.sharing.Store(int64(max(grant.Holders, sharing-1))) // the number of a new leader grows again at first
	if err := in.gate.ApplyGrant(asked, grant); err != nil {
		return err
	}
	if after := in.gate.Version(); after != before {
		in.log.WithFields(logrus.Fields{"event": "view", "version": after, "number": in.gate.Latest().Number}).Info("view in force here")
	}
	return nil
}

// pullTables is the duty that asks every instance for the targets that announced
// themselves there.
func (in *Instance) pullTables(ctx context.Context) error {
	running := map[ident.InstanceID]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	wait := pullEvery
	for {
		for _, id := range in.network.Peers() {
			mu.Lock()
			busy := running[id]
			running[id] = true
			mu.Unlock()
			if busy {
				continue // a slow instance holds up its own table only
			}
			wg.Go(func() {
				in.pullTable(ctx, id)
				mu.Lock()
				running[id] = false
				mu.Unlock()
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.leased:
			wait = pullEager
		case <-time.After(wait):
			wait = in.pullPause(wait)
		}
	}
}

// pullPause returns the wait between two questions, given the one before. An instance that
// has just got its lease and knows no usable target asks soon again, with pauses that double:
// after a restart of all, hundreds of instances ask at once.
func (in *Instance) pullPause(before time.Duration) time.Duration {
	if in.fleet.Empty() {
		return min(2*before, in.spaced(pullEvery))
	}
	return in.spaced(pullEvery)
}

// spaced returns an interval of questions, longer where many instances ask them.
func (in *Instance) spaced(d time.Duration) time.Duration {
	return d + time.Duration(in.sharing.Load())*eachHolder
}

func (in *Instance) pullTable(ctx context.Context, id ident.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	asked := clock.Now()
	since := in.fleet.Cursor(id)
	reply, err := in.network.Call(ctx, id, &peer.Table{Since: since})
	if err != nil {
		return // asked again at the next tick
	}
	if listing, ok := reply.(*peer.Listing); ok {
		in.fleet.MergeListing(clock.Now(), asked, id, since, listing.Targets)
	}
}

// shareLoads is the duty that tells the leader what this instance has at the targets, and
// takes what all have.
func (in *Instance) shareLoads(ctx context.Context) error {
	var since feed.Cursor
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(in.sharePause()):
		}
		since = in.shareOnce(ctx, since)
	}
}

// sharePause returns the wait between two rounds of sharing.
func (in *Instance) sharePause() time.Duration {
	if in.placing != nil && in.placing.relied(clock.Now()) {
		return in.spaced(failingEvery)
	}
	return in.spaced(shareEvery)
}

// shareOnce tells and takes loads and placements, and returns the cursor of the latter.
func (in *Instance) shareOnce(ctx context.Context, since feed.Cursor) feed.Cursor {
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	asked := clock.Now()
	if in.placing != nil && in.placing.relied(asked) {
		in.shareFailing(ctx, asked)
		return since
	}
	sum, err := askFor[*peer.Sum](ctx, in.leader, &peer.Share{
		Instance: in.settings.Instance, Loads: in.fleet.LocalLoads(), Placed: in.fleet.TakePlacements(), Since: since,
	})
	if err != nil {
		in.log.WithFields(logrus.Fields{"event": "loads_not_shared", "cause": err}).Debug("loads not shared")
		return since
	}
	now := clock.Now()
	in.fleet.MergeLoads(now, now.Sub(asked)/2+in.spaced(shareEvery)/2, sum.Loads)
	in.fleet.MergePlacements(now, sum.Placed)
	return sum.Next
}

// shareFailing tells and takes which targets fail requests: the rest is the placer's to know.
func (in *Instance) shareFailing(ctx context.Context, asked clock.Time) {
	loads := inflight.Loads{}
	for id, l := range in.fleet.LocalLoads() {
		if l.Failed > 0 {
			loads[id] = inflight.Load{Answered: l.Answered, Failed: l.Failed} // the placer tells what waits
		}
	}
	sum, err := askFor[*peer.Sum](ctx, in.leader, &peer.Failing{Instance: in.settings.Instance, Loads: loads})
	if err != nil {
		in.log.WithFields(logrus.Fields{"event": "loads_not_shared", "cause": err}).Debug("failures not shared")
		return
	}
	now := clock.Now()
	in.fleet.MergeLoads(now, now.Sub(asked)/2, sum.Loads)
}

// forgetPrompts is the duty that drops what engines no longer have cached, and failures of
// targets that are long past. It notes which targets begin and cease to count as failing.
func (in *Instance) forgetPrompts(ctx context.Context) error {
	var failing map[ident.TargetID]router.Failure
	return task.Every(ctx, forgetEvery, func(context.Context) {
		in.fleet.ExpirePrompts(clock.Now(), in.alike())
		before := failing
		failing = in.fleet.Failures()
		in.noteFailures(before, failing)
	})
}

// alike returns how many instances send engines as much as this one: those that share, or the placers, one for each region.
func (in *Instance) alike() int {
	if in.placer == nil {
		return int(in.sharing.Load())
	}
	regions := map[ident.RegionID]bool{in.settings.Region: true}
	for _, region := range in.settings.Domains {
		regions[region] = true
	}
	return len(regions)
}

// noteFailures logs the targets that began or ceased to count as failing.
func (in *Instance) noteFailures(before, present map[ident.TargetID]router.Failure) {
	for id, f := range present {
		if _, known := before[id]; known {
			continue
		}
		in.log.WithFields(logrus.Fields{
			"event": "target_failing", "target": id, "failed": f.Own.Failed, "of": f.Own.All, "allfailed": f.All.Failed, "allof": f.All.All,
			"price": f.Penalty.Milliseconds(),
		}).Warn("target fails requests")
	}
	for id := range before {
		if _, still := present[id]; !still {
			in.log.WithFields(logrus.Fields{"event": "target_well", "target": id}).Info("target counts as sound again")
		}
	}
}

// updateGauges is the duty that reports the instance's state as metrics.
func (in *Instance) updateGauges(ctx context.Context) error {
	return task.Every(ctx, gaugesEvery, func(context.Context) {
		in.targets.Sweep(clock.Now())
		running, waiting := in.dispatcher.Load()
		in.metrics.Gauge("running", float64(running))
		in.metrics.Gauge("waiting", float64(waiting))
		in.metrics.Gauge("view", float64(in.gate.Version()))
		in.metrics.Gauge("receipts_pending", float64(in.receipts.Pending()))
		in.metrics.Gauge("target_connections_opened", float64(in.targets.Opened()))
		for message, bytes := range in.network.SentBytes() {
			in.metrics.Gauge("peer_sent_bytes_"+message, float64(bytes))
		}
	})
}
