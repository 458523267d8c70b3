package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/router"
)

// ChatRequest is a request to a model service.
type ChatRequest struct {
	Info    RequestInfo
	Service *desired.Service
	Adapter string
	Request *engine.Request
	Prompt  []byte // prompt of Request
}

// chatRun is the state of one chat request in progress.
type chatRun struct {
	d              *Dispatcher
	chat           ChatRequest
	blocks         []uint64
	promptTokens   ident.Tokens
	arrivedAt      clock.Time
	lastTokenAt    clock.Time    // time of the most recent token
	admitted       admit.Request // request as it was admitted
	admittedAt     clock.Time    // time of its admission
	priority       int           // priority at the engines
	windowReleased bool          // no longer counts against the class's window
	answer         engine.Answer
	avoid          ident.TargetID
	version        string                 // model version that began the answer
	software       *ident.SoftwareVersion // of the engines that may go on with the answer; nil before its first token
	deliver        func(text string) error
	deliverErr     error // error of deliver; the caller has disconnected
}

// Chat runs a chat request and passes each token of its answer to deliver, exactly once and in
// order. It returns a nil error only if the complete answer was delivered.
func (d *Dispatcher) Chat(ctx context.Context, chat ChatRequest, deliver func(text string) error) (*engine.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, chat.Service.RequestTimeout())
	defer cancel()
	r := &chatRun{
		d: d, chat: chat, blocks: router.BlockHashes(nil, chat.Prompt), promptTokens: router.TokensIn(len(chat.Prompt)),
		arrivedAt: clock.Now(), deliver: deliver,
	}
	err := r.admit(ctx)
	if !fault.Is(err, fault.RateLimited) && !chat.Info.Returning {
		// Requests that are refused for lack of engines count as demand for engines too.
		d.demand.addRequest(chat.Service.Name, r.promptTokens, chat.Request.MaxTokens)
	}
	if err != nil {
		return nil, d.fail(chat.Info, err)
	}
	defer d.admission.Finish(chat.Service.Name)
	defer r.releaseWindow(false)
	d.countRequest(chat.Service.Name)
	if err := r.runAttempts(ctx); err != nil {
		return nil, d.fail(chat.Info, err)
	}
	d.demand.addAnswer(chat.Service.Name, ident.Tokens(r.answer.Tokens()))
	d.cfg.Metrics.Answered(chat.Info.Tenant.Name, chat.Info.Class.Name, "ok")
	return &r.answer, nil
}

// admit waits until the request may start. A request whose objective for the first token cannot be
// met is refused at once.
func (r *chatRun) admit(ctx context.Context) error {
	info := r.chat.Info
	expected, err := r.d.preview(ctx, r.routeRequest(router.StagePrefill))
	if err != nil {
		return err
	}
	r.admitted = admit.Request{
		Tenant: info.Tenant.Name, Class: info.Class.Name,
		Cost: expected.TTFT - expected.Wait, Objective: info.Class.FirstToken.AsDuration(), Returning: info.Returning,
	}
	entitled, err := r.d.admission.Admit(ctx, r.chat.Service.Name, info.Config, r.admitted)
	r.admittedAt = clock.Now()
	r.priority = enginePriority(info.Class.Priority, entitled)
	return err
}

// enginePriority ranks requests of entitled tenants before other requests of their class, but never
// before those of a higher class.
func enginePriority(class int, entitled bool) int {
	if entitled {
		return 2*class + 1
	}
	return 2 * class
}

// releaseWindow stops counting the request against its class's window, at its first token or at its
// end without one. Only the first call has an effect.
func (r *chatRun) releaseWindow(first bool) {
	if r.windowReleased {
		return
	}
	r.windowReleased = true
	wait := time.Duration(-1)
	if first {
		wait = max(0, clock.Now().Sub(r.admittedAt)-r.admitted.Cost)
	}
	r.d.admission.FirstToken(r.chat.Service.Name, r.admitted, wait)
}

func (r *chatRun) routeRequest(stage router.Stage) router.Request {
	return router.Request{
		Service: r.chat.Service.Name, Version: r.version, Stage: stage,
		Prompt: r.promptTokens, Blocks: r.blocks, Avoid: r.avoid, Software: r.software,
	}
}

// runAttempts tries engines until the answer is complete. Every attempt after the first continues
// the answer where it was truncated and consumes retry budget.
func (r *chatRun) runAttempts(ctx context.Context) error {
	for n := 1; ; n++ {
		err := r.attempt(ctx)
		if err == nil || r.deliverErr != nil {
			return err
		}
		if r.answer.FinishAtLimit(r.chat.Request.MaxTokens) {
			return nil
		}
		if ctx.Err() != nil {
			return fault.New(fault.TargetFailed, "no complete answer within %v", r.chat.Service.RequestTimeout())
		}
		if fault.Is(err, fault.BadRequest) || fault.Is(err, fault.Unauthorized) || n == maxAttempts {
			return err
		}
		if !r.d.mayRetry(r.chat.Service.Name) {
			return fault.Wrap(fault.RetryBudget, err)
		}
		r.d.cfg.Metrics.Count("retried")
		r.d.cfg.Log.WithFields(logrus.Fields{
			"event": "attempt_failed", "service": r.chat.Service.Name, "target": r.avoid, "attempt": n,
			"tokens": r.answer.Tokens(), "cause": err,
		}).Warn("attempt at an engine failed; trying again")
	}
}

// attempt runs the request at one engine, or processes its prompt at one engine and generates the
// answer at another.
func (r *chatRun) attempt(ctx context.Context) error {
	assigned, err := r.choose(ctx, r.routeRequest(router.StagePrefill))
	if err != nil {
		return err
	}
	if !assigned.PrefillOnly {
		defer assigned.Finish()
		return r.stream(ctx, assigned, nil)
	}
	kvHandle, err := r.prefill(ctx, assigned)
	if err != nil {
		return err
	}
	answer := r.routeRequest(router.StageDecode)
	answer.KVRegion, answer.Software = assigned.Region, &assigned.Software
	decode, err := r.choose(ctx, answer)
	if fault.Is(err, fault.NoTarget) && r.software == nil {
		kvHandle = nil // KV cache stays within a software version, so the prompt is processed again
		decode, err = r.choose(ctx, r.routeRequest(router.StageDecode))
	}
	if err != nil {
		return err
	}
	defer decode.Finish()
	return r.stream(ctx, decode, kvHandle)
}

// choose chooses an engine. If there is none of the same model version, an engine with another one goes
// on with the answer, but never one of another software version.
func (r *chatRun) choose(ctx context.Context, req router.Request) (*Assignment, error) {
	assigned, err := r.d.choose(ctx, req)
	if err != nil && (r.avoid != "" || r.version != "") {
		// The only usable target may be the one that failed, or one with another model version.
		req.Avoid, req.Version = "", ""
		assigned, err = r.chooseAgain(ctx, req)
	}
	if err != nil {
		return nil, err
	}
	if err := r.d.checkSend(assigned, r.chat.Info.Config, r.chat.Info.Caller); err != nil {
		return nil, err
	}
	r.avoid = assigned.Choice.ID
	return assigned, nil
}

// chooseAgain chooses among all engines. An answer that has begun waits while every engine that may go on with it has
// failed and has not announced itself since: it is only known then which software version it runs.
func (r *chatRun) chooseAgain(ctx context.Context, req router.Request) (*Assignment, error) {
	for {
		assigned, err := r.d.choose(ctx, req)
		if !fault.Is(err, fault.NoTarget) || r.software == nil || !r.d.cfg.Targets.MayReturn(clock.Now(), req) {
			return assigned, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(targetPoll):
		}
	}
}

func (r *chatRun) call(a *Assignment) engine.Call {
	id := r.d.newAttemptID()
	return engine.Call{
		Attempt: id, Head: func(status int, h http.Header) { r.d.recordHead(a, string(id), status, h) }, Request: r.chat.Request, Adapter: r.chat.Adapter,
		Priority: r.priority, Prefix: r.answer.Text(), Offset: r.answer.Tokens(),
	}
}

func (r *chatRun) prefill(ctx context.Context, assigned *Assignment) (*engine.KVHandle, error) {
	defer assigned.Finish()
	r.d.recordSent(assigned)
	h, err := r.d.cfg.Engines.Prefill(ctx, assigned.Address, r.call(assigned))
	if err != nil {
		r.recordFailure(ctx, assigned, err)
		return nil, err
	}
	assigned.FirstToken()
	return h, nil
}

// recordFailure marks the target as failed, unless the request itself was at fault, the caller
// disconnected or the request's time ran out.
func (r *chatRun) recordFailure(ctx context.Context, assigned *Assignment, err error) {
	if r.deliverErr == nil && ctx.Err() == nil && fault.Is(err, fault.TargetFailed) {
		assigned.MarkFailed()
	}
}

func (r *chatRun) stream(ctx context.Context, assigned *Assignment, kvHandle *engine.KVHandle) error {
	r.d.recordSent(assigned)
	call := r.call(assigned)
	call.Import = kvHandle
	err := r.d.cfg.Engines.Stream(ctx, assigned.Address, call, &r.answer, func(text string) error {
		assigned.FirstToken()
		r.version = assigned.Version
		r.software = &assigned.Software
		r.releaseWindow(true)
		r.recordToken()
		if err := r.deliver(text); err != nil {
			r.deliverErr = fault.Wrap(fault.Internal, err)
			return r.deliverErr
		}
		return nil
	})
	if err != nil {
		r.recordFailure(ctx, assigned, err)
	}
	return err
}

// recordToken measures the time to the first token or since the previous token.
func (r *chatRun) recordToken() {
	now := clock.Now()
	info := r.chat.Info
	if r.lastTokenAt == 0 {
		r.d.cfg.Metrics.TimeToFirstToken(info.Tenant.Name, info.Class.Name, now.Sub(r.arrivedAt))
	} else {
		r.d.cfg.Metrics.InterTokenLatency(info.Tenant.Name, info.Class.Name, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
}
