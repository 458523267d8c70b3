package dispatch

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/router"
)

// releaseTimeout bounds the release of KV cache that will not be used.
const releaseTimeout = 1 * time.Second

// preparedPrompt is a prompt that was processed at an engine which does not generate the answer.
type preparedPrompt struct {
	cache *KVCacheRef
	at    *Assignment
}

// prefill processes the prompt at an engine that does not generate the answer.
func (r *forwardRun) prefill(ctx context.Context, a *Assignment) (*KVCacheRef, Outcome) {
	defer a.Finish()
	r.d.recordSent(a)
	cache, outcome := r.d.cfg.Backend.Prefill(ctx, r.call(a))
	if cache != nil {
		a.FirstToken()
		a.ReportAnswer(false)
	}
	if answered, ok := outcome.(Answered); ok {
		r.d.recordLimit(a, r.req.ID, answered.Limit)
		r.d.recordLeaving(a, r.req.ID, answered.Leaving)
	}
	return cache, outcome
}

// runPrepared generates the answer to a prompt that was processed at another engine. The KV cache stays
// for another attempt if no engine received the request. It is used only by engines of the same
// software version; if there is none, another engine processes the prompt again.
func (r *forwardRun) runPrepared(ctx context.Context) (retry bool, err error) {
	p := *r.prepared
	req := r.routeRequest(router.StageDecode)
	req.KVRegion = p.at.Region
	req.Software = r.softwareOf(p.at)
	decode, err := r.choose(ctx, req, 0)
	if err != nil {
		r.releasePrepared(ctx)
		if r.software != nil || !fault.Is(err, fault.NoTarget) {
			return false, err
		}
		if decode, err = r.choose(ctx, r.routeRequest(router.StageDecode), 0); err != nil {
			return false, err
		}
		if err := r.checkSend(decode); err != nil {
			return false, err
		}
		return r.runAt(ctx, decode, nil)
	}
	if err := r.checkSend(decode); err != nil {
		r.releasePrepared(ctx)
		return false, err
	}
	r.cacheKept = false
	retry, err = r.runAt(ctx, decode, p.cache)
	switch {
	case err != nil && retry && r.cacheKept:
	case err != nil && !r.headerSent:
		r.releasePrepared(ctx)
	default:
		r.prepared = nil
	}
	return retry, err
}

// releasePrepared frees KV cache that will not be used, at the engine that processed the prompt. An
// engine with a rate limit frees it by itself after some time if there is no permit for the call.
func (r *forwardRun) releasePrepared(ctx context.Context) {
	p := r.prepared
	r.prepared = nil
	if !p.at.takePermit() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.d.cfg.Backend.Release(ctx, p.cache)
}
