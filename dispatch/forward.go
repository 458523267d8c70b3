package dispatch

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/router"
)

const (
	// usefulTimeoutDivisor divides a rule's timeout. Within the resulting time an answer is still
	// useful to the caller even if it misses the objective.
	usefulTimeoutDivisor = 4
	// maxChoiceAge is the longest wait for admission after which a target chosen before it is still
	// used. After a longer wait, a target is chosen again.
	maxChoiceAge = 5 * time.Millisecond
	// maxUnreachedTargets bounds the attempts of one request that find no usable target or KV cache
	// at the address; see forwardRun.unreached.
	maxUnreachedTargets = 3
)

// TruncatedAnswerError means that an answer was truncated after its headers had been sent. The
// caller's connection must be closed in a way that cannot be mistaken for the end of a complete
// answer.
type TruncatedAnswerError struct{ Err error }

// Error describes the error and its cause.
func (e *TruncatedAnswerError) Error() string { return "answer truncated: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedAnswerError) Unwrap() error { return e.Err }

// forwardRun is the state of one forwarded request in progress.
type forwardRun struct {
	d          *Dispatcher
	req        *ForwardRequest
	sink       Sink
	hasEngines bool   // the service is a model service
	digest     string // of the request

	promptTokens   ident.Tokens
	blocks         []uint64
	parts          []quarantine.Part // what may crash a target, without the software version
	admitted       admit.Request
	preplaced      *Assignment // first attempt, assigned before admission; nil if there is none
	admittedAt     clock.Time  // time of admission
	windowReleased bool        // no longer counts against the window

	prepared  *preparedPrompt // prompt that was processed apart and waits for an engine; nil if there is none
	cacheKept bool            // the last attempt left the KV cache of prepared unused
	cacheLost bool            // an attempt found that its KV cache no longer existed

	attemptsSent int                    // attempts that a target received
	reached      bool                   // some target received the request, whatever it did with it
	unreached    int                    // attempts with Unreachable, AddressReassigned or KVCacheGone
	deferred     bool                   // a step of the request was deferred; see admit.Contest
	software     *ident.SoftwareVersion // that the request is bound to; nil if it is to none
	lastTarget   ident.TargetID         // most recently chosen target
	avoid        ident.TargetID         // target that failed most recently
	lastEventID  string                 // id of the last event that was delivered
	headerSent   bool                   // status and headers have been sent to the caller
	begun        Answered               // whose status and headers were sent
	unordered    bool                   // events were delivered whose ids do not increase, so that no other target can go on
	eventSent    bool                   // the first event has been delivered
	firstByteAt  clock.Time             // delivery of the first byte
	lastByteAt   clock.Time             // most recent delivery
	longestPause time.Duration          // longest time between two deliveries
	sinkErr      error                  // error of the sink; the caller has disconnected
	mayHaveRun   bool                   // some attempt may have been executed
}

// Forward sends a request to targets and its answer to sink. For an error, fault.ResponseOf says
// whether the request ran. A TruncatedAnswerError means that the answer has begun and cannot be
// completed.
func (d *Dispatcher) Forward(ctx context.Context, f *ForwardRequest, sink Sink) error {
	remaining := f.remaining(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	r := &forwardRun{d: d, req: f, sink: sink, lastEventID: f.LastEventID, hasEngines: len(f.Parts) > 0, digest: f.Digest(), promptTokens: router.PartTokens(f.Parts)}
	if r.hasEngines {
		if err := f.checkPrompt(r.promptTokens); err != nil {
			return r.fail(ctx, err)
		}
		r.blocks = router.PartBlockHashes(nil, f.Parts)
	}
	if err := r.takeUp(ctx); err != nil {
		return r.fail(ctx, err)
	}
	r.parts = suspectParts(f.Service, sharedParts(f.Parts), r.digest)
	if err := r.admit(ctx); err != nil {
		return r.fail(ctx, err)
	}
	defer d.admission.Finish(f.Service)
	defer r.releaseWindow(-1)
	d.countRequest(f.Service)
	if err := r.runAttempts(ctx); err != nil {
		return r.fail(ctx, err)
	}
	d.cfg.Metrics.Answered(r.req.Caller.Workspace, ident.ClassID(f.Rule.Name), "ok")
	r.logFinished()
	return nil
}

// checkPrompt refuses a prompt that is larger than the memory of the service's engines. They reject it as if they were
// full, one after the other.
func (f *ForwardRequest) checkPrompt(tokens ident.Tokens) error {
	most := router.MaxPromptTokens
	if s, ok := f.Config.Document.Service(f.Service); ok && s.KVCapacity > 0 {
		most = min(most, s.KVCapacity)
	}
	if tokens <= most {
		return nil
	}
	return fault.New(fault.Overloaded, "the prompt is longer than the %d tokens that a target of service %q has memory for", most, f.Service)
}

// logFinished logs a request that was answered completely.
func (r *forwardRun) logFinished() {
	if r.d.cfg.Served != nil {
		r.d.cfg.Served()
	}
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "forwarded", "request": r.req.ID, "rule": r.req.Rule.Name, "service": r.req.Service, "target": r.lastTarget, "sent": r.attemptsSent,
		"admitted": r.admittedAt.Sub(r.req.Arrived).Milliseconds(), "first": r.firstByteAt.Sub(r.req.Arrived).Milliseconds(),
		"pause": r.longestPause.Milliseconds(), "ms": clock.Now().Sub(r.req.Arrived).Milliseconds(), "number": r.req.Config.Number,
	}).Info("request answered completely")
}

// remaining returns the time left until the deadline for the complete answer, which is the rule's
// timeout or the caller's budget, whichever is shorter.
func (f *ForwardRequest) remaining(now clock.Time) time.Duration {
	bound := f.Rule.Timeout.AsDuration()
	if f.Budget > 0 {
		bound = min(bound, f.Budget)
	}
	return bound - now.Sub(f.Arrived)
}

// fail sets the kind of the error of a request that was not answered completely and whether the
// request ran, then counts, logs and returns the error.
func (r *forwardRun) fail(ctx context.Context, err error) error {
	aborted := fault.Is(context.Cause(ctx), fault.Draining)
	disconnected := errors.Is(ctx.Err(), context.Canceled) && !aborted
	timedOut := ctx.Err() != nil && !disconnected && !r.headerSent
	if disconnected {
		err = fault.WithRan(fault.New(fault.TargetFailed, "the caller disconnected: %v", err), fault.RanNo)
	}
	switch {
	case r.headerSent:
		err = &TruncatedAnswerError{err}
	case r.mayHaveRun && timedOut:
		err = fault.WithRan(fault.Wrap(fault.Timeout, err), fault.RanUnknown)
	case r.mayHaveRun:
		err = fault.WithRan(fault.Wrap(fault.TargetFailed, err), fault.RanUnknown)
	case aborted:
		err = fault.WithRan(context.Cause(ctx), fault.RanNo)
	case timedOut:
		err = fault.WithRan(fault.Wrap(fault.DeadlineUnreachable, err), fault.RanNo)
	}
	r.d.cfg.Metrics.Answered(r.req.Caller.Workspace, ident.ClassID(r.req.Rule.Name), fault.KindOf(err).String())
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "forward_failed", "request": r.req.ID, "rule": r.req.Rule.Name, "service": r.req.Service, "sent": r.attemptsSent, "unreached": r.unreached,
		"target": r.lastTarget, "after": r.lastEventID, "number": r.req.Config.Number, "ms": clock.Now().Sub(r.req.Arrived).Milliseconds(), "cause": err,
	}).Info("request failed or its answer is incomplete")
	return err
}

// admit waits until the request may start. A request to engines is first placed by a placer, if
// there is one, which refuses it if it would miss its objective. Otherwise the admission queue
// bounds the work that this instance has at the engines.
func (r *forwardRun) admit(ctx context.Context) error {
	r.admitted = admit.Request{Class: ident.ClassID(r.req.Rule.Name), Objective: r.objective()}
	if err := r.d.checkParts(r.parts); err != nil {
		return err
	}
	if r.hasEngines {
		if err := r.estimateCost(ctx); err != nil {
			return err
		}
	}
	enqueuedAt := clock.Now()
	_, err := r.d.admission.Admit(ctx, r.req.Service, r.req.Config, r.admitted)
	r.admittedAt = clock.Now()
	if r.preplaced != nil && (err != nil || r.admittedAt.Sub(enqueuedAt) > maxChoiceAge) {
		r.preplaced.Withdraw()
		r.preplaced = nil
	}
	return err
}

// estimateCost estimates the target time that the request takes. A placed request has no cost here
// because the placer counts it.
func (r *forwardRun) estimateCost(ctx context.Context) error {
	if r.d.cfg.Placement != nil {
		a, err := r.choose(ctx, r.routeRequest(router.StagePrefill), r.req.Rule.FirstEvent.AsDuration())
		if err != nil {
			return err
		}
		if a.placer != "" {
			r.preplaced = a
			return nil
		}
		a.Withdraw() // this instance chooses again when the request is admitted
	}
	expected, err := r.d.preview(ctx, r.routeRequest(router.StagePrefill))
	if err != nil {
		return err
	}
	r.admitted.Cost = expected.TTFT - expected.Wait
	return nil
}

// objective returns the time within which an answer is worth waiting for. It may exceed the
// configured objective, because a late answer is often still useful. Refusing every request that
// would miss the objective would reject such requests whenever the load changes faster than refused
// callers retry.
func (r *forwardRun) objective() time.Duration {
	return max(r.req.Rule.FirstEvent.AsDuration(), r.req.Rule.Timeout.AsDuration()/usefulTimeoutDivisor)
}

// releaseWindow stops counting the request against its window. The wait is the time that it waited
// at the targets, or negative if it got no answer. Only the first call has an effect.
func (r *forwardRun) releaseWindow(wait time.Duration) {
	if r.windowReleased {
		return
	}
	r.windowReleased = true
	r.d.admission.FirstToken(r.req.Service, r.admitted, wait)
}

func (r *forwardRun) routeRequest(stage router.Stage) router.Request {
	if !r.hasEngines {
		stage = router.StageAny
	}
	return router.Request{Service: r.req.Service, Stage: stage, Prompt: r.promptTokens, Blocks: r.blocks, Parts: r.req.Parts, Avoid: r.avoid, Urgency: router.Urgency(min(r.req.Rank(), math.MaxUint8)), Deferred: r.deferred, Software: r.software}
}

// runAttempts tries targets until the answer is complete or no further attempt is allowed.
func (r *forwardRun) runAttempts(ctx context.Context) error {
	for {
		retry, err := r.attempt(ctx)
		if err == nil || !retry || r.sinkErr != nil {
			return err
		}
		if ctx.Err() != nil {
			return fault.New(fault.Timeout, "no complete answer before the deadline (rule timeout %v): %v", r.req.Rule.Timeout.AsDuration(), err)
		}
		if r.reached && !r.d.mayRetry(r.req.Service) {
			return fault.New(fault.RetryBudget, "retry budget of the service is exhausted: %v", err)
		}
		r.d.cfg.Metrics.Count("retried")
		r.d.cfg.Log.WithFields(logrus.Fields{
			"event": "forward_again", "request": r.req.ID, "service": r.req.Service, "target": r.lastTarget,
			"sent": r.attemptsSent, "unreached": r.unreached, "after": r.lastEventID, "cause": err,
		}).Info("attempt failed; trying again")
	}
}

// attempt runs the request at one target, or processes its prompt at one engine and generates the
// answer at another. After an error, retry says whether another attempt is allowed.
func (r *forwardRun) attempt(ctx context.Context) (retry bool, err error) {
	if r.prepared != nil {
		return r.runPrepared(ctx)
	}
	assigned, err := r.preplaced, error(nil)
	r.preplaced = nil
	if assigned == nil {
		assigned, err = r.chooseFirst(ctx)
	}
	if err != nil {
		return false, err
	}
	if err := r.checkSend(assigned); err != nil {
		return false, err
	}
	if !assigned.PrefillOnly {
		return r.runAt(ctx, assigned, nil)
	}
	// A repeated attempt that splits prompt and answer reaches two targets, but runAttempts has
	// taken only one retry from the budget.
	if r.reached && !r.d.mayRetry(r.req.Service) {
		assigned.Withdraw()
		return false, fault.New(fault.RetryBudget, "retry budget of the service does not allow the prompt to be processed again")
	}
	cache, outcome := r.prefill(ctx, assigned)
	if cache == nil {
		return r.handleFailure(ctx, assigned, outcome)
	}
	r.prepared = &preparedPrompt{cache, assigned}
	return r.runPrepared(ctx)
}

// chooseFirst chooses the target for the prompt of an attempt, or for all of it if an earlier one has lost its KV cache on the
// way: where caches go early, the next one would be lost too, and the prompt and the answer would count as a retry each.
func (r *forwardRun) chooseFirst(ctx context.Context) (*Assignment, error) {
	if r.cacheLost {
		assigned, err := r.choose(ctx, r.routeRequest(router.StageWhole), 0)
		if !fault.Is(err, fault.NoTarget) {
			return assigned, err
		}
	}
	return r.choose(ctx, r.routeRequest(router.StagePrefill), 0)
}

// place chooses a target. Placers choose engines only, because plain services have few targets and
// short requests.
func (r *forwardRun) place(ctx context.Context, req router.Request, objective time.Duration) (*Assignment, error) {
	if !r.hasEngines {
		return r.d.choose(ctx, req)
	}
	now := clock.Now()
	return r.d.place(ctx, req, waitTerms{
		remaining: r.req.remaining(now), objective: objective, elapsed: now.Sub(r.req.Arrived), workspace: r.req.Caller.Workspace, competes: r.competes(),
	})
}

// choose chooses a target for one stage of the request.
func (r *forwardRun) choose(ctx context.Context, req router.Request, objective time.Duration) (*Assignment, error) {
	if err := r.d.checkParts(r.parts); err != nil {
		return nil, err
	}
	r.refreshTargets(ctx)
	assigned, err := r.place(ctx, req, objective)
	if err != nil && r.avoid != "" {
		req.Avoid = "" // the only usable target may be the one that failed
		assigned, err = r.place(ctx, req, objective)
	}
	if err != nil {
		return nil, err
	}
	r.lastTarget = assigned.Choice.ID
	r.noteStanding(assigned.standing)
	r.logPlaced(assigned, req.Stage)
	return assigned, nil
}

// noteStanding records and counts the standing that a placer gave the request.
func (r *forwardRun) noteStanding(s admit.Standing) {
	if s == admit.Regular {
		return
	}
	r.deferred = true
	r.d.cfg.Metrics.Count("deferred_" + s.String())
}

// competes reports whether the request takes part in the contest for engines, where the document has workspaces that
// compete.
func (r *forwardRun) competes() bool { return r.d.cfg.Defers && r.req.Config.Document.Keyed }

// rank returns the rank of the request at targets: by its priority, and behind others of the same one if it is
// deferred.
func (r *forwardRun) rank() int {
	if !r.competes() {
		return r.req.Rank()
	}
	rank := 2 * r.req.Rank()
	if r.deferred {
		rank++
	}
	return rank
}

// logPlaced logs a choice and the estimates behind it.
func (r *forwardRun) logPlaced(a *Assignment, stage router.Stage) {
	c := a.Choice
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "placed", "request": r.req.ID, "rule": r.req.Rule.Name, "target": c.ID, "need": stage, "split": a.PrefillOnly, "cross": c.CrossRegion,
		"expected": c.TTFT.Milliseconds(), "wait": c.Wait.Milliseconds(), "prompt": r.promptTokens, "cached": c.Cached, "source": c.Source, "by": a.placer, "limited": a.limited,
		"standing": a.standing, "software": a.Software, "at": clock.Now().Sub(r.req.Arrived).Milliseconds(), "number": r.req.Config.Number,
	}).Info("target chosen")
}

func (r *forwardRun) call(a *Assignment) Call {
	return Call{Request: r.req, Target: a.Choice.ID, Address: a.Address, Source: a.Source, Remaining: r.req.remaining(clock.Now()), LastEventID: r.lastEventID, Rank: r.rank()}
}

// runAt runs the request at a target and relays its answer.
func (r *forwardRun) runAt(ctx context.Context, a *Assignment, cache *KVCacheRef) (retry bool, err error) {
	defer a.Finish()
	r.d.recordSent(a)
	call := r.call(a)
	call.Import = cache
	callCtx, abort := context.WithCancel(ctx)
	defer abort() // after the answer has been closed
	outcome := r.d.cfg.Backend.Run(callCtx, call)
	answered, ok := outcome.(Answered)
	if !ok {
		return r.handleFailure(ctx, a, outcome)
	}
	defer func() { _ = answered.Body.Close() }() // the body was read to its end or abandoned
	r.attemptsSent++
	r.reached = true
	a.ReportAnswer(answered.Status >= http.StatusInternalServerError)
	if answered.Load != nil {
		a.ReportLoad(*answered.Load)
	}
	r.d.recordLimit(a, r.req.ID, answered.Limit)
	r.d.recordLeaving(a, r.req.ID, answered.Leaving)
	if !r.req.Rule.Stream || answered.Status >= http.StatusMultipleChoices {
		r.countBegun(a.sentAt)
	}
	success := answered.Status < http.StatusMultipleChoices
	if r.headerSent || success && r.continues() {
		if err := r.checkContinuation(answered); err != nil {
			return r.handleTruncated(ctx, a, err)
		}
	}
	if r.req.Rule.Stream && success {
		return r.relayStream(callCtx, abort, a, answered)
	}
	return r.relayWhole(ctx, a, answered)
}

// handleFailure records an outcome without an answer and reports whether another attempt is
// allowed.
func (r *forwardRun) handleFailure(ctx context.Context, a *Assignment, o Outcome) (retry bool, err error) {
	r.avoid = a.Choice.ID
	switch o := o.(type) {
	case NotRun:
		return r.handleNotRun(ctx, a, o)
	case Unknown:
		r.attemptsSent++
		r.reached = true
		r.mayHaveRun = true
		r.d.recordLeaving(a, r.req.ID, o.Leaving)
		if !r.req.Rule.Stream {
			r.countBegun(a.sentAt) // most of what gets no answer has run
		}
		if ctx.Err() == nil {
			r.recordBroken(ctx, a, false, o.Err)
		}
		return r.mayResend(), fault.New(fault.TargetFailed, "target %s: %v", a.Choice.ID, o.Err)
	default:
		return false, fault.New(fault.Internal, "unexpected outcome %T", o)
	}
}

func (r *forwardRun) handleNotRun(ctx context.Context, a *Assignment, o NotRun) (retry bool, err error) {
	err = fault.WithRan(fault.New(fault.NoTarget, "target %s: %s: %v", a.Choice.ID, o.Reason, o.Err), fault.RanNo)
	r.reached = r.reached || o.Reason != Unreachable
	if o.Load != nil {
		a.ReportLoad(*o.Load)
	}
	r.d.recordLimit(a, r.req.ID, o.Limit)
	r.d.recordLeaving(a, r.req.ID, o.Leaving)
	switch o.Reason {
	case Unreachable:
		r.unreached++
		r.cacheKept = true
		if ctx.Err() == nil {
			r.d.recordUnreachable(a)
		}
		return r.unreached < maxUnreachedTargets, err
	case AddressReassigned:
		a.MarkUnreachable()
		r.unreached++
		r.cacheKept = true
		return r.unreached < maxUnreachedTargets, err
	case KVCacheGone:
		r.cacheLost = true
		r.unreached++
		return r.unreached < maxUnreachedTargets, err
	case ReplyBroken:
		if ctx.Err() == nil {
			r.countBroken(a)
		}
	}
	r.attemptsSent++
	return r.attemptsSent < r.req.Rule.MaxAttempts(), err
}

// recordUnreachable records that no connection to a target could be opened. An instance that may be cut off
// keeps that to itself: the placer would take the target out for the whole region.
func (d *Dispatcher) recordUnreachable(a *Assignment) {
	if d.linkDoubtful() {
		a.MarkFailed()
		return
	}
	a.MarkUnreachable()
}

// mayResend reports whether the rule allows a request that may have been executed to be sent again.
func (r *forwardRun) mayResend() bool {
	return r.req.Rule.Retry != desired.RetryNever && r.attemptsSent < r.req.Rule.MaxAttempts()
}
