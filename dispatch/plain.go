package dispatch

import (
	"context"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/plain"
	"github.com/hickoryridge/hickoryridge/receipt"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
)

// HeaderIdempotencyKey carries a caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Info      RequestInfo
	Service   *desired.Service
	Request   plain.Request
	MatchPath string // the path without the query, to find the operation by
}

// PlainResponse is the answer to a plain request.
type PlainResponse struct {
	plain.Response
	Replayed  bool // the answer of an earlier attempt
	Truncated bool // the stored answer was longer than a receipt keeps
}

// Plain serves a plain request. Operations that may run once only go through a
// receipt.
func (d *Dispatcher) Plain(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Service.RequestTimeout())
	defer cancel()
	began := clock.Now()
	answer, err := d.plain(ctx, p)
	if err != nil {
		return nil, d.fail(p.Info, err)
	}
	d.cfg.Metrics.TimeToFirstToken(p.Info.Tenant.Name, p.Info.Class.Name, clock.Now().Sub(began))
	d.cfg.Metrics.Answered(p.Info.Tenant.Name, p.Info.Class.Name, "ok")
	return answer, nil
}

func (d *Dispatcher) plain(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	op := p.Service.Operation(p.Request.Method, p.MatchPath)
	var key ident.IdempotencyKey
	var keyTime state.UnixMillis
	if op.AtMostOnce {
		var err error
		if key, keyTime, err = receipt.ParseKey(p.Request.Header.Get(HeaderIdempotencyKey)); err != nil {
			return nil, err
		}
	}
	entered := admit.Request{
		Tenant: p.Info.Tenant.Name, Class: p.Info.Class.Name, Objective: p.Info.Class.FirstToken.AsDuration(), Returning: p.Info.Returning,
	}
	if _, err := d.admit.Enter(ctx, p.Service.Name, p.Info.Config, entered); err != nil {
		return nil, err
	}
	began := clock.Now()
	defer func() {
		d.admit.First(p.Service.Name, entered, clock.Now().Sub(began))
		d.admit.Leave(p.Service.Name)
	}()
	d.countRequest(p.Service.Name)
	switch {
	case op.AtMostOnce:
		return d.once(ctx, p, key, keyTime)
	case op.Idempotent:
		return d.repeatable(ctx, p)
	default:
		answer, err := d.single(ctx, p, func() error { return nil })
		if err != nil {
			return nil, err
		}
		return &PlainResponse{Response: *answer}, nil
	}
}

// single tries targets until one takes the first byte; after that it sends
// nothing again.
func (d *Dispatcher) single(ctx context.Context, p PlainRequest, may func() error) (*plain.Response, error) {
	var avoid ident.TargetID
	for n := 1; ; n++ {
		answer, id, err := d.trySingle(ctx, p, avoid, may)
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

// trySingle makes one attempt at one target. The target is empty if none was
// usable.
func (d *Dispatcher) trySingle(ctx context.Context, p PlainRequest, avoid ident.TargetID, may func() error) (*plain.Response, ident.TargetID, error) {
	assigned, err := d.cfg.Targets.Choose(clock.Now(), router.Request{Service: p.Service.Name, Avoid: avoid})
	if err != nil {
		return nil, "", err
	}
	defer assigned.Finish()
	answer, err := d.cfg.Plain.SendOnce(ctx, assigned.Address, p.Request, may)
	if fault.Is(err, fault.NoTarget) {
		assigned.MarkFailed()
	}
	return answer, assigned.Choice.ID, err
}

func (d *Dispatcher) once(ctx context.Context, p PlainRequest, key ident.IdempotencyKey, keyTime state.UnixMillis) (*PlainResponse, error) {
	open := state.OpenReceipt{
		ID:      state.ReceiptID{Tenant: p.Info.Tenant.Name, Service: p.Service.Name, Key: key},
		Digest:  receipt.DigestOf(p.Request.Method, p.Request.Path, p.Request.Header.Get("Content-Type"), p.Request.Body),
		Attempt: d.attemptID(), Owner: d.cfg.Instance, Boot: d.cfg.Boot, KeyTime: keyTime,
	}
	// The caller's going away does not end a run: its outcome has to be recorded.
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithTimeout(ctx, p.Service.RequestTimeout())
	defer cancel()
	reply, err := d.cfg.Receipts.Run(ctx, open, func(ctx context.Context, may func() error) (*state.StoredResponse, error) {
		answer, err := d.single(ctx, p, may)
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

// repeatable sends a request that may be sent again until one target answers.
func (d *Dispatcher) repeatable(ctx context.Context, p PlainRequest) (*PlainResponse, error) {
	var avoid ident.TargetID
	for n := 1; ; n++ {
		answer, id, err := d.tryRepeatable(ctx, p, avoid)
		if err == nil {
			return &PlainResponse{Response: *answer}, nil
		}
		if id == "" || n == maxAttempts || ctx.Err() != nil {
			return nil, err
		}
		if !d.mayRetry(p.Service.Name) {
			return nil, fault.Wrap(fault.RetryBudget, err)
		}
		d.cfg.Metrics.Count("retried")
		avoid = id
	}
}

func (d *Dispatcher) tryRepeatable(ctx context.Context, p PlainRequest, avoid ident.TargetID) (*plain.Response, ident.TargetID, error) {
	assigned, err := d.cfg.Targets.Choose(clock.Now(), router.Request{Service: p.Service.Name, Avoid: avoid})
	if err != nil && avoid != "" {
		assigned, err = d.cfg.Targets.Choose(clock.Now(), router.Request{Service: p.Service.Name})
	}
	if err != nil {
		return nil, "", err
	}
	defer assigned.Finish()
	answer, err := d.cfg.Plain.SendIdempotent(ctx, assigned.Address, p.Request)
	if fault.Is(err, fault.TargetFailed) {
		assigned.MarkFailed()
	}
	return answer, assigned.Choice.ID, err
}
