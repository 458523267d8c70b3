package dispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/target/sse"
)

const (
	// maxWhole bounds an answer that is no stream, in bytes.
	maxWhole = 32 << 20
	// maxHeld bounds the bytes of all such answers that are being read, so that targets which send bytes without end
	// do not use up the instance's memory.
	maxHeld = 48 << 20
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// streamBuffer is the size of one read of a stream, in bytes.
	streamBuffer = 16 << 10
)

// whole reads an answer to its end before it passes it on.
func (r *forwardRun) whole(ctx context.Context, a *Assignment, answer Answered) (again bool, err error) {
	body, err := r.d.held.read(answer.Body)
	if err != nil {
		return r.broken(ctx, a, err)
	}
	a.FirstToken()
	failed := answer.Status >= http.StatusInternalServerError
	if failed && r.mayRepeat() && ctx.Err() == nil && r.d.mayRetry(r.f.Service) {
		return r.retryFailure(ctx, answer, body)
	}
	return false, r.deliver(answer, body)
}

// retryFailure tries another target after one that answered with a failure, and delivers that
// failure if there is nothing better.
func (r *forwardRun) retryFailure(ctx context.Context, answer Answered, body []byte) (again bool, err error) {
	r.unknown = true
	r.avoid = r.target
	if _, err := r.attempt(ctx); err == nil || r.begun || r.gone != nil {
		return false, err
	}
	return false, r.deliver(answer, body)
}

func (r *forwardRun) deliver(answer Answered, body []byte) error {
	r.answered(clock.Now())
	if err := r.begin(answer); err != nil {
		r.gone = err
		return err
	}
	if err := r.sink.Write(body); err != nil {
		r.gone = err
		return err
	}
	return nil
}

// answered notes the time of the first byte of an answer.
func (r *forwardRun) answered(now clock.Time) {
	r.free(max(0, now.Sub(r.started)-r.entered.Cost))
	r.first = now
	r.d.cfg.Metrics.TimeToFirstToken("", ident.ClassID(r.f.Rule.Name), now.Sub(r.f.Arrived))
}

// begin passes the beginning of an answer on.
func (r *forwardRun) begin(answer Answered) error {
	r.begun = true
	return r.sink.Begin(answer.Status, answer.Header)
}

// broken takes an answer that broke off.
func (r *forwardRun) broken(ctx context.Context, a *Assignment, err error) (again bool, _ error) {
	r.unknown = true
	r.avoid = a.Choice.ID
	if ctx.Err() == nil {
		a.ReportAnswer(true)
		a.MarkFailed()
	}
	again = r.mayRepeat() && (!r.begun || r.f.Rule.Retry == desired.RetryResume)
	return again, fault.New(fault.TargetFailed, "target %s: answer broke off: %v", a.Choice.ID, err)
}

// stream passes whole events on as they arrive.
func (r *forwardRun) stream(ctx context.Context, a *Assignment, answer Answered) (again bool, err error) {
	var cutter sse.Cutter
	buf := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buf)
		cutter.Add(buf[:n])
		if cutter.Buffered() > maxEvent+streamBuffer {
			return r.broken(ctx, a, fault.New(fault.TooLarge, "event of more than %d bytes", maxEvent))
		}
		if events, id := cutter.Take(); events != nil {
			if id != "" {
				r.after = id
			}
			if err := r.pass(a, answer, events); err != nil {
				r.gone = err
				return false, err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return r.broken(ctx, a, err)
		}
	}
	if cutter.Buffered() > 0 {
		return r.broken(ctx, a, io.ErrUnexpectedEOF)
	}
	if !r.begun {
		return false, r.begin(answer)
	}
	if objective := r.f.Rule.BetweenEvents.AsDuration(); r.model && objective > 0 {
		a.ReportPause(r.pause > objective)
	}
	return false, nil
}

// pass delivers events of the answer.
func (r *forwardRun) pass(a *Assignment, answer Answered, events []byte) error {
	now := clock.Now()
	if !r.delivered {
		r.delivered = true
		r.answered(now)
	} else {
		pause := now.Sub(r.last)
		r.pause = max(r.pause, pause)
		r.d.cfg.Metrics.InterTokenLatency("", ident.ClassID(r.f.Rule.Name), pause)
	}
	a.FirstToken()
	r.last = now
	if !r.begun {
		if err := r.begin(answer); err != nil {
			return err
		}
	}
	return r.sink.Write(events)
}
