package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/duty"
	"github.com/hickoryridge/hickoryridge/internal/cluster/usage"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

// The leader holds all duties of one instance at a time; see package duty and docs/design/duty.md.
//
//	duties.go    the claim, calls and their outcomes
//	usage.go     reports of usage
//	capacity.go  orders of targets

const (
	dutyInterval = 100 * time.Millisecond
	// decideTimeout bounds the commit of a claim, a decision or an outcome. The next turn repeats what it missed.
	decideTimeout = 1 * time.Second
	// maxOpenOrders is the number of undecided orders for a subject beyond which no more are decided.
	maxOpenOrders = 2
	// orderLifetime is the time after which an order that got no clear answer is given up, and planned again.
	orderLifetime = 10 * time.Second
)

// DutyConfig configures the duties. Without a provider there are none.
type DutyConfig struct {
	Provider duty.Provider
	Instance ident.InstanceID
	Boot     ident.BootID
	// Lease is the time within which the provider must not see two holders take turns, and Rate the calls a second that
	// it takes.
	Lease time.Duration
	Rate  float64
	Usage UsageConfig
	// Capacity is how targets are ordered; nil if none are.
	Capacity *CapacityConfig
	// Count increments a counter; it may be nil.
	Count func(name string)
}

// dutyTerm is what this leader has done for its duties in its present term.
type dutyTerm struct {
	claim    state.DutyClaim // zero until it is committed
	schedule *duty.Schedule
	results  chan dutyResult
	totals   *usage.Totals
	next     usage.Window // to decide; 0 if that is not known yet
	capacity capacityTerm
}

// dutyResult is the outcome of a call.
type dutyResult struct {
	decision state.Decision
	outcome  duty.Outcome
}

// resultQueueSize is the number of outcomes that may wait; more calls than that are never in progress.
const resultQueueSize = 64

func newDutyTerm(closed usage.Window) *dutyTerm {
	return &dutyTerm{results: make(chan dutyResult, resultQueueSize), totals: usage.NewTotals(rand.Uint64()|1, closed), capacity: newCapacityTerm()}
}

// advanceDuties does what is due for the duties.
func (co *Coordinator) advanceDuties(ctx context.Context) {
	co.mu.Lock()
	t, began := co.duties, co.leadingSince
	co.mu.Unlock()
	if t.schedule == nil && !co.claimDuties(ctx, t, began) {
		return
	}
	co.takeResults(ctx, t)
	now := clock.Now()
	held := co.cfg.Machine.Duties()
	co.decideUsage(ctx, now, t, held)
	co.decideCapacity(ctx, now, t, held)
	held = co.cfg.Machine.Duties()
	co.expire(ctx, now, held)
	co.mu.Lock()
	due := t.schedule.Due(now, held.Open)
	co.mu.Unlock()
	for _, d := range due {
		go co.call(context.WithoutCancel(ctx), t, d)
	}
}

// claimDuties commits the claim of this term and reports whether it stands.
func (co *Coordinator) claimDuties(ctx context.Context, t *dutyTerm, began clock.Time) bool {
	cfg := &co.cfg.Duties
	result, err := co.commit(ctx, state.Command{Claim: &state.ClaimDuties{Holder: cfg.Instance, Boot: cfg.Boot}})
	if err != nil || result.Claim == nil {
		return false // repeated at the next turn
	}
	t.claim = *result.Claim
	takeover := t.claim.Previous != "" && t.claim.Previous != cfg.Instance
	co.mu.Lock()
	t.schedule = duty.NewSchedule(duty.Term{Began: began, Takeover: takeover, LeaseTime: cfg.Lease, Rate: cfg.Rate})
	co.mu.Unlock()
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "duties_claimed", "generation": t.claim.Generation, "previous": t.claim.Previous,
	}).Info("this instance holds the duties")
	return true
}

// commit commits a command of the duties.
func (co *Coordinator) commit(ctx context.Context, c state.Command) (state.Result, error) {
	result, err := co.proposeWithin(ctx, decideTimeout, c)
	if err != nil {
		co.cfg.Log.WithFields(logrus.Fields{"event": "duty_not_committed", "cause": err}).Warn("a claim, decision or outcome of a duty was not committed; the next turn repeats it")
	}
	return result, err
}

// decide commits a decision and logs it.
func (co *Coordinator) decide(ctx context.Context, t *dutyTerm, n state.DecisionNumber, c duty.Content) error {
	content, err := duty.Encode(c)
	if err != nil {
		return err
	}
	_, err = co.commit(ctx, state.Command{Decide: &state.Decide{Subject: c.Subject(), Number: n, Generation: t.claim.Generation, Content: content}})
	if err == nil {
		co.cfg.Log.WithFields(logrus.Fields{"event": "duty_decided", "subject": c.Subject(), "number": n, "generation": t.claim.Generation}).Info("what a duty sends has been decided")
	}
	return err
}

// call calls the provider for a decision and queues the outcome. It ends with its time limit; what is queued after the
// term is read by nobody.
func (co *Coordinator) call(ctx context.Context, t *dutyTerm, d state.Decision) {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	t.results <- dutyResult{d, co.callProvider(ctx, t, d)}
}

func (co *Coordinator) callProvider(ctx context.Context, t *dutyTerm, d state.Decision) duty.Outcome {
	content, err := duty.Decode(d)
	if err != nil {
		return duty.Rejected{Reason: err.Error()}
	}
	may := func() bool {
		co.mu.Lock()
		current := co.duties == t && co.active
		co.mu.Unlock()
		return current && duty.MaySend(clock.Now(), co.cfg.Node.LeaseEnd())
	}
	return co.cfg.Duties.Provider.Call(ctx, t.claim.Generation, content, may)
}

// takeResults records the outcomes of calls.
func (co *Coordinator) takeResults(ctx context.Context, t *dutyTerm) {
	for {
		select {
		case r := <-t.results:
			co.recordResult(ctx, t, r)
		default:
			return
		}
	}
}

func (co *Coordinator) recordResult(ctx context.Context, t *dutyTerm, r dutyResult) {
	now := clock.Now()
	co.mu.Lock()
	closing, closes := t.schedule.Ended(now, r.decision, r.outcome)
	tries := t.schedule.Tries(r.decision)
	co.mu.Unlock()
	fields := logrus.Fields{"event": "duty_called", "subject": r.decision.Subject, "number": r.decision.Number, "generation": t.claim.Generation, "tries": tries}
	switch o := r.outcome.(type) {
	case duty.Accepted:
		fields["outcome"] = "accepted"
	case duty.Rejected:
		fields["outcome"], fields["cause"] = "refused", o.Reason
		co.capacityRefused(now, t, r.decision)
	case duty.Unanswered:
		fields["outcome"], fields["cause"] = "unanswered", o.Err
	}
	co.cfg.Log.WithFields(fields).Info("the provider was called")
	if co.cfg.Duties.Count != nil {
		co.cfg.Duties.Count(fmt.Sprint("duty_calls_", fields["outcome"]))
	}
	if closes {
		co.closeDecision(ctx, closing)
	}
}

// closeDecision commits an outcome.
func (co *Coordinator) closeDecision(ctx context.Context, c state.CloseDecision) {
	// A failure is logged by commit. The decision stays open, and is sent again as it stands.
	_, _ = co.commit(ctx, state.Command{Done: &c})
}

// expire closes the decisions that no longer matter: reports that are overdue, and orders that were planned long ago.
func (co *Coordinator) expire(ctx context.Context, now clock.Time, held state.Duties) {
	trueNow, known := co.trueTime(now)
	for _, d := range held.Open {
		overdue := d.Subject != duty.UsageSubject && state.UnixMillisOf(time.Now())-d.Decided > state.UnixMillis(orderLifetime.Milliseconds())
		if d.Subject == duty.UsageSubject && known {
			overdue = co.cfg.Duties.Usage.overdue(trueNow, usage.Window(d.Number))
		}
		if overdue {
			co.closeDecision(ctx, state.CloseDecision{Subject: d.Subject, Number: d.Number, Outcome: state.DecisionExpired, Reason: "no clear answer while it mattered"})
		}
	}
}

// openDecisions returns the number of open decisions for a subject.
func openDecisions(held state.Duties, s state.Subject) int {
	n := 0
	for _, d := range held.Open {
		if d.Subject == s {
			n++
		}
	}
	return n
}

// DutyReport is the state of the duties for operators.
type DutyReport struct {
	Duties   state.Duties     `json:"duties"`
	Usage    UsageReport      `json:"usage"`
	Capacity []CapacityReport `json:"capacity"`
}

// Duties describes the duties; nil if there are none.
func (co *Coordinator) Duties() *DutyReport {
	if co.cfg.Duties.Provider == nil {
		return nil
	}
	held := co.cfg.Machine.Duties()
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.duties == nil {
		return nil
	}
	return &DutyReport{Duties: held, Usage: co.usageReport(co.duties), Capacity: co.duties.capacity.reports()}
}

// RecordUsage records what an instance hands over, and returns the receipt. It returns a fault.NotLeader error if this
// instance does not lead.
func (co *Coordinator) RecordUsage(u *peer.Usage) (*peer.UsageReceipt, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || co.duties == nil || !co.cfg.Node.Leads() {
		return nil, fault.New(fault.NotLeader, "this instance is not the leader")
	}
	return &peer.UsageReceipt{Receipt: co.duties.totals.Record(u.Instance, u.Boot, u.Report)}, nil
}

// liveInstances returns the instances that hold a lease.
func (co *Coordinator) liveInstances(now clock.Time) []ident.InstanceID {
	var live []ident.InstanceID
	for _, in := range co.leases.Instances(now) {
		if in.Live {
			live = append(live, in.Instance)
		}
	}
	return live
}
