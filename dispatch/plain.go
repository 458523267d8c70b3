package dispatch

import (
	"context"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/plain"
	"github.com/hickoryridge/hickoryridge/receipt"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
)

// HeaderIdempotencyKey is the header with the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Info      RequestInfo
	Service   *desired.Service
	Request   plain.Request
	MatchPath string // path without the query, which selects the operation

	parts []quarantine.Part // what of the request may crash a target: all of it
}

// PlainResponse is the response to a plain request.
type PlainResponse struct {
	plain.Response
	Replayed  bool // response of an earlier attempt
	Truncated bool // the response was longer than a receipt stores
}

// Plain runs a plain request. Operations that may run at most once use a receipt.
func (d *Dispatcher) Plain(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Service.RequestTimeout())
	defer cancel()
	start := clock.Now()
	answer, err := d.servePlain(ctx, p)
	if err != nil {
		return nil, d.fail(p.Info, err)
	}
	d.cfg.Metrics.TimeToFirstToken(p.Info.Tenant.Name, p.Info.Class.Name, clock.Now().Sub(start))
	d.cfg.Metrics.Answered(p.Info.Tenant.Name, p.Info.Class.Name, "ok")
	return answer, nil
}

func (d *Dispatcher) servePlain(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	p.parts = p.suspectParts() // once for all attempts
	op := p.Service.Operation(p.Request.Method, p.MatchPath)
	var key ident.IdempotencyKey
	var keyTime state.UnixMillis
	if op.AtMostOnce {
		var err error
		if key, keyTime, err = receipt.ParseKey(p.Request.Header.Get(HeaderIdempotencyKey)); err != nil {
			return nil, err
		}
	}
	admitted := admit.Request{
		Tenant: p.Info.Tenant.Name, Class: p.Info.Class.Name, Objective: p.Info.Class.FirstToken.AsDuration(), Returning: p.Info.Returning,
	}
	if _, err := d.admission.Admit(ctx, p.Service.Name, p.Info.Config, admitted); err != nil {
		return nil, err
	}
	start := clock.Now()
	defer func() {
		d.admission.FirstToken(p.Service.Name, admitted, clock.Now().Sub(start))
		d.admission.Finish(p.Service.Name)
	}()
	d.countRequest(p.Service.Name)
	switch {
	case op.AtMostOnce:
		return d.runWithReceipt(ctx, p, key, keyTime)
	case op.Idempotent:
		return d.sendIdempotent(ctx, p)
	default:
		answer, err := d.sendAtMostOnce(ctx, p, func() error { return nil })
		if err != nil {
			return nil, err
		}
		return &PlainResponse{Response: *answer}, nil
	}
}

// sendAtMostOnce tries targets until the first byte has gone to one of them; after that it never
// sends the request again.
func (d *Dispatcher) sendAtMostOnce(ctx context.Context, p PlainRequest, beforeSend func() error) (*plain.Response, error) {
	var avoid ident.TargetID
	for n := 1; ; n++ {
		answer, id, err := d.trySendOnce(ctx, p, avoid, beforeSend)
		notRun := err != nil && fault.ResponseOf(err).Ran == fault.RanNo
		if err == nil || !notRun || !fault.Is(err, fault.NoTarget) || id == "" || n == maxAttempts {
			return answer, err
		}
		if !d.mayRetry(p.Service.Name) {
			return nil, fault.WithRan(fault.Wrap(fault.RetryBudget, err), fault.RanNo)
		}
		avoid = id
	}
}

// trySendOnce makes one attempt at one target. The returned target is empty if none was usable.
func (d *Dispatcher) trySendOnce(ctx context.Context, p PlainRequest, avoid ident.TargetID, beforeSend func() error) (*plain.Response, ident.TargetID, error) {
	if err := d.checkParts(p.parts); err != nil {
		return nil, "", err
	}
	assigned, err := d.choose(ctx, router.Request{Service: p.Service.Name, Avoid: avoid})
	if err != nil {
		return nil, "", err
	}
	if err := d.checkSend(assigned, p.Info.Config, p.Info.Caller); err != nil {
		return nil, "", err
	}
	defer assigned.Finish()
	d.recordSent(assigned)
	answer, err := d.cfg.Plain.SendOnce(ctx, assigned.Address, p.Request, beforeSend)
	d.recordPlain(ctx, assigned, p, answer, err)
	if fault.Is(err, fault.NoTarget) || fault.Is(err, fault.OutcomeUnknown) && ctx.Err() == nil {
		assigned.MarkFailed()
	}
	return answer, assigned.Choice.ID, err
}

// recordPlain records what an attempt shows about its target: its rate limit, and whether the request
// crashed it. The answer is nil if there was none.
func (d *Dispatcher) recordPlain(ctx context.Context, a *Assignment, p PlainRequest, answer *plain.Response, err error) {
	switch {
	case answer != nil:
		d.recordHead(a, p.Request.Method+" "+p.MatchPath, answer.Status, answer.Header)
		d.recordBegun(a, p.parts)
	case fault.ResponseOf(err).Ran != fault.RanNo && ctx.Err() == nil:
		d.recordCrash(ctx, a, p.Request.Method+" "+p.MatchPath, p.parts, false)
	}
}

// suspectParts returns what of the request may crash a target: all of it.
func (p *PlainRequest) suspectParts() []quarantine.Part {
	name := digest(p.Request.Body, string(p.Info.Tenant.Name), p.Request.Method, p.Request.Path)
	return suspectParts(p.Service.Name, nil, name)
}

func (d *Dispatcher) runWithReceipt(ctx context.Context, p PlainRequest, key ident.IdempotencyKey, keyTime state.UnixMillis) (*PlainResponse, error) {
	open := state.OpenReceipt{
		ID:      state.ReceiptID{Tenant: p.Info.Tenant.Name, Service: p.Service.Name, Key: key},
		Digest:  receipt.DigestOf(p.Request.Method, p.Request.Path, p.Request.Header.Get("Content-Type"), p.Request.Body),
		Attempt: d.newAttemptID(), Owner: d.cfg.Instance, Boot: d.cfg.Boot, KeyTime: keyTime,
	}
	// A caller that disconnects does not cancel the run, because its outcome has to be recorded.
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithTimeout(ctx, p.Service.RequestTimeout())
	defer cancel()
	if d.cfg.Requests != nil {
		defer context.AfterFunc(d.cfg.Requests, cancel)()
	}
	reply, err := d.cfg.Receipts.Run(ctx, open, func(ctx context.Context, beforeSend func() error) (*state.StoredResponse, error) {
		answer, err := d.sendAtMostOnce(ctx, p, beforeSend)
		if err != nil {
			return nil, err
		}
		return &state.StoredResponse{Status: answer.Status, Header: answer.Header, Body: answer.Body}, nil
	})
	if err != nil {
		return nil, err
	}
	return &PlainResponse{
		Response: plain.Response{Status: reply.Answer.Status, Header: reply.Answer.Header, Body: reply.Answer.Body},
		Replayed: reply.Replayed, Truncated: reply.Answer.Truncated,
	}, nil
}

// sendIdempotent sends a request that may be repeated to targets until one of them answers.
func (d *Dispatcher) sendIdempotent(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	var avoid ident.TargetID
	for n := 1; ; n++ {
		answer, id, err := d.trySendIdempotent(ctx, p, avoid)
		if err == nil {
			return &PlainResponse{Response: *answer}, nil
		}
		if id == "" || n == maxAttempts || ctx.Err() != nil {
			return nil, ranBefore(n, err)
		}
		if !d.mayRetry(p.Service.Name) {
			return nil, fault.Wrap(fault.RetryBudget, err)
		}
		d.cfg.Metrics.Count("retried")
		avoid = id
	}
}

// ranBefore marks the error of an attempt after the first one: whatever became of it, an attempt before it may
// have run the request.
func ranBefore(n int, err error) error {
	if n == 1 {
		return err
	}
	return fault.WithRan(err, fault.RanUnknown)
}

func (d *Dispatcher) trySendIdempotent(ctx context.Context, p PlainRequest, avoid ident.TargetID) (*plain.Response, ident.TargetID, error) {
	if err := d.checkParts(p.parts); err != nil {
		return nil, "", err
	}
	assigned, err := d.choose(ctx, router.Request{Service: p.Service.Name, Avoid: avoid})
	if err != nil && avoid != "" {
		assigned, err = d.choose(ctx, router.Request{Service: p.Service.Name})
	}
	if err != nil {
		return nil, "", err
	}
	if err := d.checkSend(assigned, p.Info.Config, p.Info.Caller); err != nil {
		return nil, "", err
	}
	defer assigned.Finish()
	d.recordSent(assigned)
	answer, err := d.cfg.Plain.SendIdempotent(ctx, assigned.Address, p.Request)
	d.recordPlain(ctx, assigned, p, answer, err)
	if fault.Is(err, fault.TargetFailed) {
		assigned.MarkFailed()
	}
	return answer, assigned.Choice.ID, err
}
