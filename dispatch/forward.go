package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/router"
)

const (
	// releaseTime bounds the freeing of KV cache that nobody will use.
	releaseTime = 1 * time.Second
	// usefulPart is the part of its timeout within which a request is still worth an answer,
	// though a late one.
	usefulPart = 4
	// staleChoice is the wait for admission after which a target is chosen anew.
	staleChoice = 5 * time.Millisecond
	// maxUnreachable bounds the targets that a request tries in vain to reach.
	maxUnreachable = 3
)

// TruncatedAnswerError is the error of an answer that broke off after its beginning was passed on.
// Its end must not look like that of a whole one.
type TruncatedAnswerError struct{ Err error }

// Error tells why.
func (e *TruncatedAnswerError) Error() string { return "answer broke off: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedAnswerError) Unwrap() error { return e.Err }

// forwardRun is the state of one forwarded request.
type forwardRun struct {
	d     *Dispatcher
	f     *ForwardRequest
	sink  Sink
	model bool // the service has engines

	prompt  ident.Tokens
	pieces  []uint64
	entered admit.Request
	early   *Assignment // of the first attempt, chosen before the request was admitted; nil if it was not
	started clock.Time  // when it was admitted
	freed   bool        // its place in the window is free again

	sent      int            // targets that may have run it
	arrived   bool           // some target has got it, whatever it did with it
	unreached int            // targets that were not reached
	target    ident.TargetID // chosen last
	avoid     ident.TargetID // that failed last
	after     string         // id of the last event that was delivered
	begun     bool           // the answer has begun
	delivered bool           // its first event has been delivered
	first     clock.Time     // delivery of the first byte
	last      clock.Time     // delivery of the newest bytes
	pause     time.Duration  // longest time between two deliveries
	gone      error          // the caller's end
	unknown   bool           // some attempt may have run
}

// Forward passes a request on to targets and its answer to sink. An error says with
// fault.AnswerOf whether the request ran; one of type BrokenError says that the answer
// has begun and cannot be finished.
func (d *Dispatcher) Forward(ctx context.Context, f *ForwardRequest, sink Sink) error {
	left := f.left(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r := &forwardRun{d: d, f: f, sink: sink, after: f.LastEventID, model: len(f.Parts) > 0, prompt: router.PartTokens(f.Parts)}
	if r.model {
		r.pieces = router.PartBlockHashes(nil, f.Parts)
	}
	if err := r.admit(ctx); err != nil {
		return r.fail(ctx, err)
	}
	defer d.admit.Leave(f.Service)
	defer r.free(-1)
	d.countRequest(f.Service)
	if err := r.attempts(ctx); err != nil {
		return r.fail(ctx, err)
	}
	d.cfg.Metrics.Answered("", ident.ClassID(f.Rule.Name), "ok")
	r.finished()
	return nil
}

// finished notes the end of a request that was answered whole.
func (r *forwardRun) finished() {
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "forwarded", "request": r.f.ID, "rule": r.f.Rule.Name, "service": r.f.Service, "target": r.target, "sent": r.sent,
		"admitted": r.started.Sub(r.f.Arrived).Milliseconds(), "first": r.first.Sub(r.f.Arrived).Milliseconds(),
		"pause": r.pause.Milliseconds(), "ms": clock.Now().Sub(r.f.Arrived).Milliseconds(), "number": r.f.Config.Number,
	}).Info("request answered")
}

// left returns the time until the request has to have its final answer.
func (f *ForwardRequest) left(now clock.Time) time.Duration {
	bound := f.Rule.Timeout.AsDuration()
	if f.Budget > 0 {
		bound = min(bound, f.Budget)
	}
	return bound - now.Sub(f.Arrived)
}

// fail says what is known of a request that was not answered whole.
func (r *forwardRun) fail(ctx context.Context, err error) error {
	left := errors.Is(ctx.Err(), context.Canceled)
	late := ctx.Err() != nil && !left && !r.begun
	if left {
		err = fault.WithRan(fault.New(fault.TargetFailed, "the caller left: %v", err), fault.RanNo)
	}
	switch {
	case r.begun:
		err = &TruncatedAnswerError{err}
	case r.unknown && late:
		err = fault.WithRan(fault.Wrap(fault.Timeout, err), fault.RanUnknown)
	case r.unknown:
		err = fault.WithRan(fault.Wrap(fault.TargetFailed, err), fault.RanUnknown)
	case late:
		err = fault.WithRan(fault.Wrap(fault.DeadlineUnreachable, err), fault.RanNo)
	}
	r.d.cfg.Metrics.Answered("", ident.ClassID(r.f.Rule.Name), fault.KindOf(err).String())
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "forward_failed", "request": r.f.ID, "rule": r.f.Rule.Name, "service": r.f.Service, "sent": r.sent, "unreached": r.unreached,
		"target": r.target, "after": r.after, "number": r.f.Config.Number, "ms": clock.Now().Sub(r.f.Arrived).Milliseconds(), "cause": err,
	}).Info("request not answered whole")
	return err
}

// admit waits for the request's turn. Where a placer chooses, it refuses what would be late, and the request is placed
// before it waits. Where none does, this instance bounds the work that it has at the targets.
func (r *forwardRun) admit(ctx context.Context) error {
	r.entered = admit.Request{Class: ident.ClassID(r.f.Rule.Name), Objective: r.objective()}
	if r.model {
		if err := r.expect(ctx); err != nil {
			return err
		}
	}
	asked := clock.Now()
	_, err := r.d.admit.Enter(ctx, r.f.Service, r.f.Config, r.entered)
	r.started = clock.Now()
	if r.early != nil && (err != nil || r.started.Sub(asked) > staleChoice) {
		r.early.Withdraw()
		r.early = nil
	}
	return err
}

// expect finds out what the request will cost at its target. A placed one costs nothing here: the placer counts it.
func (r *forwardRun) expect(ctx context.Context) error {
	if r.d.cfg.Placement != nil {
		a, err := r.choose(ctx, router.StagePrefill, "", r.f.Rule.FirstEvent.AsDuration())
		if err != nil {
			return err
		}
		if a.by != "" {
			r.early = a
			return nil
		}
		a.Withdraw() // this instance chooses when it is the request's turn
	}
	expected, ok := r.d.cfg.Targets.Preview(clock.Now(), r.request(router.StagePrefill))
	if !ok {
		return fault.New(fault.NoTarget, "no target of service %q is usable", r.f.Service)
	}
	r.entered.Cost = expected.TTFT - expected.Wait
	return nil
}

// objective returns the time until which an answer is worth waiting for. Refusing all that
// would miss the objective itself turns away requests for which a late answer is still of use, while
// the load swings faster than a refused caller comes back.
func (r *forwardRun) objective() time.Duration {
	return max(r.f.Rule.FirstEvent.AsDuration(), r.f.Rule.Timeout.AsDuration()/usefulPart)
}

// free gives back the request's place in the window, with its wait at the targets or
// a negative one if it got no answer.
func (r *forwardRun) free(wait time.Duration) {
	if r.freed {
		return
	}
	r.freed = true
	r.d.admit.First(r.f.Service, r.entered, wait)
}

func (r *forwardRun) request(n router.Stage) router.Request {
	if !r.model {
		n = router.StageAny
	}
	return router.Request{Service: r.f.Service, Stage: n, Prompt: r.prompt, Blocks: r.pieces, Parts: r.f.Parts, Avoid: r.avoid, Urgency: router.Urgency(max(0, -r.f.Rule.Priority))}
}

// attempts tries targets until the answer is whole or nothing more may be tried.
func (r *forwardRun) attempts(ctx context.Context) error {
	for {
		again, err := r.attempt(ctx)
		if err == nil || !again || r.gone != nil {
			return err
		}
		if ctx.Err() != nil {
			return fault.New(fault.Timeout, "no whole answer within %v: %v", r.f.Rule.Timeout.AsDuration(), err)
		}
		if r.arrived && !r.d.mayRetry(r.f.Service) {
			return fault.New(fault.RetryBudget, "the service's budget for retries is used up: %v", err)
		}
		r.d.cfg.Metrics.Count("retried")
		r.d.cfg.Log.WithFields(logrus.Fields{
			"event": "forward_again", "request": r.f.ID, "service": r.f.Service, "target": r.target,
			"sent": r.sent, "unreached": r.unreached, "after": r.after, "cause": err,
		}).Info("attempt failed, another follows")
	}
}

// attempt runs the request at one target, or its prompt at one and its answer at
// another. again tells whether another attempt is allowed after an error.
func (r *forwardRun) attempt(ctx context.Context) (again bool, err error) {
	assigned, err := r.early, error(nil)
	r.early = nil
	if assigned == nil {
		assigned, err = r.choose(ctx, router.StagePrefill, "", 0)
	}
	if err != nil {
		return false, err
	}
	if !assigned.PrefillOnly {
		return r.runAt(ctx, assigned, nil)
	}
	// The prompt and the answer of a repeated attempt reach two targets, and the budget has been asked for one.
	if r.arrived && !r.d.mayRetry(r.f.Service) {
		assigned.Withdraw()
		return false, fault.New(fault.RetryBudget, "the service's budget for retries is used up by another prompt")
	}
	c, outcome := r.prefill(ctx, assigned)
	if c == nil {
		return r.failed(ctx, assigned, outcome)
	}
	decode, err := r.choose(ctx, router.StageDecode, assigned.Region, 0)
	if err != nil {
		r.release(ctx, c)
		return false, err
	}
	again, err = r.runAt(ctx, decode, c)
	if err != nil && !r.begun {
		r.release(ctx, c)
	}
	return again, err
}

// place chooses a target. Placers choose engines only: plain services have few targets and short requests.
func (r *forwardRun) place(ctx context.Context, req router.Request, within time.Duration) (*Assignment, error) {
	if !r.model {
		return r.d.cfg.Targets.Choose(clock.Now(), req)
	}
	return r.d.place(ctx, req, r.f.left(clock.Now()), within)
}

func (r *forwardRun) choose(ctx context.Context, n router.Stage, from ident.RegionID, within time.Duration) (*Assignment, error) {
	req := r.request(n)
	req.KVRegion = from
	assigned, err := r.place(ctx, req, within)
	if err != nil && r.avoid != "" {
		req.Avoid = "" // the only target left may be the one that failed
		assigned, err = r.place(ctx, req, within)
	}
	if err != nil {
		return nil, err
	}
	r.target = assigned.Choice.ID
	r.placed(assigned, n)
	return assigned, nil
}

// placed notes a choice and what decided it.
func (r *forwardRun) placed(a *Assignment, n router.Stage) {
	c := a.Choice
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "placed", "request": r.f.ID, "rule": r.f.Rule.Name, "target": c.ID, "need": n, "split": a.PrefillOnly, "cross": c.CrossRegion,
		"expected": c.TTFT.Milliseconds(), "wait": c.Wait.Milliseconds(), "prompt": r.prompt, "cached": c.Cached, "source": c.Source, "by": a.by,
		"at": clock.Now().Sub(r.f.Arrived).Milliseconds(), "number": r.f.Config.Number,
	}).Info("target chosen")
}

func (r *forwardRun) call(a *Assignment) Call {
	return Call{Request: r.f, Target: a.Choice.ID, Address: a.Address, Source: a.Source, Remaining: r.f.left(clock.Now()), LastEventID: r.after}
}

func (r *forwardRun) prefill(ctx context.Context, a *Assignment) (*KVCacheRef, Outcome) {
	defer a.Finish()
	c, outcome := r.d.cfg.Backend.Prefill(ctx, r.call(a))
	if c != nil {
		a.FirstToken()
		a.ReportAnswer(false)
	}
	return c, outcome
}

// release frees KV cache that nobody will use.
func (r *forwardRun) release(ctx context.Context, c *KVCacheRef) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	r.d.cfg.Backend.Release(ctx, c)
}

// runAt runs the request at a target and passes its answer on.
func (r *forwardRun) runAt(ctx context.Context, a *Assignment, c *KVCacheRef) (again bool, err error) {
	defer a.Finish()
	call := r.call(a)
	call.Import = c
	outcome := r.d.cfg.Backend.Run(ctx, call)
	answered, ok := outcome.(Answered)
	if !ok {
		return r.failed(ctx, a, outcome)
	}
	defer func() { _ = answered.Body.Close() }() // read to its end or given up
	r.sent++
	r.arrived = true
	a.ReportAnswer(answered.Status >= http.StatusInternalServerError)
	if answered.Load != nil {
		a.ReportLoad(*answered.Load)
	}
	if r.begun && answered.Status >= http.StatusMultipleChoices {
		return r.broken(ctx, a, fault.New(fault.TargetFailed, "status %d where the answer should go on", answered.Status))
	}
	if r.f.Rule.Stream && answered.Status < http.StatusMultipleChoices {
		return r.stream(ctx, a, answered)
	}
	return r.whole(ctx, a, answered)
}

// failed takes an outcome without an answer.
func (r *forwardRun) failed(ctx context.Context, a *Assignment, o Outcome) (again bool, err error) {
	r.avoid = a.Choice.ID
	switch o := o.(type) {
	case NotRun:
		return r.notRun(ctx, a, o)
	case Unknown:
		r.sent++
		r.arrived = true
		r.unknown = true
		if ctx.Err() == nil {
			a.ReportAnswer(true)
			a.MarkFailed()
		}
		return r.mayRepeat(), fault.New(fault.TargetFailed, "target %s: %v", a.Choice.ID, o.Err)
	default:
		return false, fault.New(fault.Internal, "unexpected outcome %T", o)
	}
}

func (r *forwardRun) notRun(ctx context.Context, a *Assignment, o NotRun) (again bool, err error) {
	err = fault.WithRan(fault.New(fault.NoTarget, "target %s: %s: %v", a.Choice.ID, o.Reason, o.Err), fault.RanNo)
	r.arrived = r.arrived || o.Reason != Unreachable
	if o.Load != nil {
		a.ReportLoad(*o.Load)
	}
	switch o.Reason {
	case Unreachable:
		r.unreached++
		if ctx.Err() == nil {
			a.MarkUnreachable()
		}
		return r.unreached < maxUnreachable, err
	case AddressReassigned:
		a.MarkUnreachable()
		r.unreached++
		return r.unreached < maxUnreachable, err
	case KVCacheGone:
		r.unreached++
		return r.unreached < maxUnreachable, err
	default:
		r.sent++
		return r.sent < r.f.Rule.MaxAttempts(), err
	}
}

// mayRepeat reports whether a request that may have run may be sent again.
func (r *forwardRun) mayRepeat() bool {
	return r.f.Rule.Retry != desired.RetryNever && r.sent < r.f.Rule.MaxAttempts()
}
