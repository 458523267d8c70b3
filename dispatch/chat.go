package dispatch

import (
	"context"
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
	Prompt  []byte // of the request
}

// chatRun is the state of one chat in progress.
type chatRun struct {
	d        *Dispatcher
	chat     ChatRequest
	pieces   []uint64
	tokens   ident.Tokens
	began    clock.Time
	last     clock.Time    // of the latest token
	entered  admit.Request // what was admitted
	started  clock.Time    // when it was
	priority int           // at the engines
	freed    bool          // its place in the window is free again
	answer   engine.Answer
	avoid    ident.TargetID
	version  string // of the model that began the answer
	deliver  func(text string) error
	gone     error // the caller's end
}

// Chat serves a chat and hands each token of its answer to deliver, exactly once
// and in order. It returns nil only if the answer was delivered whole.
func (d *Dispatcher) Chat(ctx context.Context, chat ChatRequest, deliver func(text string) error) (*engine.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, chat.Service.RequestTimeout())
	defer cancel()
	r := &chatRun{
		d: d, chat: chat, pieces: router.BlockHashes(nil, chat.Prompt), tokens: router.TokensIn(len(chat.Prompt)),
		began: clock.Now(), deliver: deliver,
	}
	err := r.admit(ctx)
	if !fault.Is(err, fault.RateLimited) && !chat.Info.Returning {
		// What is refused for want of engines asks for them as well.
		d.work.asked(chat.Service.Name, r.tokens, chat.Request.MaxTokens)
	}
	if err != nil {
		return nil, d.fail(chat.Info, err)
	}
	defer d.admit.Leave(chat.Service.Name)
	defer r.free(false)
	d.countRequest(chat.Service.Name)
	if err := r.attempts(ctx); err != nil {
		return nil, d.fail(chat.Info, err)
	}
	d.work.answered(chat.Service.Name, ident.Tokens(r.answer.Tokens()))
	d.cfg.Metrics.Answered(chat.Info.Tenant.Name, chat.Info.Class.Name, "ok")
	return &r.answer, nil
}

// admit waits for the request's turn. A request whose objective for the first
// token cannot be met is refused at once.
func (r *chatRun) admit(ctx context.Context) error {
	who := r.chat.Info
	expected, ok := r.d.cfg.Targets.Preview(clock.Now(), r.request(router.StagePrefill))
	if !ok {
		return fault.New(fault.NoTarget, "no target of service %q is usable", r.chat.Service.Name)
	}
	r.entered = admit.Request{
		Tenant: who.Tenant.Name, Class: who.Class.Name,
		Cost: expected.TTFT - expected.Wait, Objective: who.Class.FirstToken.AsDuration(), Returning: who.Returning,
	}
	entitled, err := r.d.admit.Enter(ctx, r.chat.Service.Name, who.Config, r.entered)
	r.started = clock.Now()
	r.priority = priorityOf(who.Class.Priority, entitled)
	return err
}

// priorityOf puts requests of entitled tenants before others of their class, and
// never before those of a higher one.
func priorityOf(class int, entitled bool) int {
	if entitled {
		return 2*class + 1
	}
	return 2 * class
}

// free gives back the request's place in the window, at its first token or at its
// end without one.
func (r *chatRun) free(first bool) {
	if r.freed {
		return
	}
	r.freed = true
	wait := time.Duration(-1)
	if first {
		wait = max(0, clock.Now().Sub(r.started)-r.entered.Cost)
	}
	r.d.admit.First(r.chat.Service.Name, r.entered, wait)
}

func (r *chatRun) request(n router.Stage) router.Request {
	return router.Request{
		Service: r.chat.Service.Name, Version: r.version, Stage: n,
		Prompt: r.tokens, Blocks: r.pieces, Avoid: r.avoid,
	}
}

// attempts tries engines until the answer is whole. Every attempt after the first
// continues the answer where it broke off and uses the retry budget.
func (r *chatRun) attempts(ctx context.Context) error {
	for n := 1; ; n++ {
		err := r.attempt(ctx)
		if err == nil || r.gone != nil {
			return err
		}
		if r.answer.FinishAtLimit(r.chat.Request.MaxTokens) {
			return nil
		}
		if ctx.Err() != nil {
			return fault.New(fault.TargetFailed, "no whole answer within %v", r.chat.Service.RequestTimeout())
		}
		if fault.Is(err, fault.BadRequest) || n == maxAttempts {
			return err
		}
		if !r.d.mayRetry(r.chat.Service.Name) {
			return fault.Wrap(fault.RetryBudget, err)
		}
		r.d.cfg.Metrics.Count("retried")
		r.d.cfg.Log.WithFields(logrus.Fields{
			"event": "attempt_failed", "service": r.chat.Service.Name, "target": r.avoid, "attempt": n,
			"tokens": r.answer.Tokens(), "cause": err,
		}).Warn("attempt failed")
	}
}

// attempt runs the request at one engine, or its prompt at one and its answer at
// another.
func (r *chatRun) attempt(ctx context.Context) error {
	assigned, err := r.choose(router.StagePrefill, "")
	if err != nil {
		return err
	}
	if !assigned.PrefillOnly {
		defer assigned.Finish()
		return r.stream(ctx, assigned, nil)
	}
	handover, err := r.prefill(ctx, assigned)
	if err != nil {
		return err
	}
	decode, err := r.choose(router.StageDecode, assigned.Region)
	if err != nil {
		return err
	}
	defer decode.Finish()
	return r.stream(ctx, decode, handover)
}

func (r *chatRun) choose(n router.Stage, from ident.RegionID) (*Assignment, error) {
	req := r.request(n)
	req.KVRegion = from
	assigned, err := r.d.cfg.Targets.Choose(clock.Now(), req)
	if err != nil && (r.avoid != "" || r.version != "") {
		// The only target left may be the one that failed, or of another version.
		req.Avoid, req.Version = "", ""
		assigned, err = r.d.cfg.Targets.Choose(clock.Now(), req)
	}
	if err != nil {
		return nil, err
	}
	r.avoid = assigned.Choice.ID
	return assigned, nil
}

func (r *chatRun) call() engine.Call {
	return engine.Call{
		Attempt: r.d.attemptID(), Request: r.chat.Request, Adapter: r.chat.Adapter,
		Priority: r.priority, Prefix: r.answer.Text(), Offset: r.answer.Tokens(),
	}
}

func (r *chatRun) prefill(ctx context.Context, assigned *Assignment) (*engine.KVHandle, error) {
	defer assigned.Finish()
	h, err := r.d.cfg.Engines.Prefill(ctx, assigned.Address, r.call())
	if err != nil {
		r.noteFailure(ctx, assigned, err)
		return nil, err
	}
	assigned.FirstToken()
	return h, nil
}

// noteFailure notes that a target failed, unless the request or its caller did.
func (r *chatRun) noteFailure(ctx context.Context, assigned *Assignment, err error) {
	if r.gone == nil && ctx.Err() == nil && fault.Is(err, fault.TargetFailed) {
		assigned.MarkFailed()
	}
}

func (r *chatRun) stream(ctx context.Context, assigned *Assignment, h *engine.KVHandle) error {
	call := r.call()
	call.Import = h
	err := r.d.cfg.Engines.Stream(ctx, assigned.Address, call, &r.answer, func(text string) error {
		assigned.FirstToken()
		r.version = assigned.Version
		r.free(true)
		r.record()
		if err := r.deliver(text); err != nil {
			r.gone = fault.Wrap(fault.Internal, err)
			return r.gone
		}
		return nil
	})
	if err != nil {
		r.noteFailure(ctx, assigned, err)
	}
	return err
}

// record counts the time of a token.
func (r *chatRun) record() {
	now := clock.Now()
	who := r.chat.Info
	if r.last == 0 {
		r.d.cfg.Metrics.TimeToFirstToken(who.Tenant.Name, who.Class.Name, now.Sub(r.began))
	} else {
		r.d.cfg.Metrics.InterTokenLatency(who.Tenant.Name, who.Class.Name, now.Sub(r.last))
	}
	r.last = now
}
