package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/target/sse"
)

const (
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 32 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamReadBytes is the size of one read from a stream.
	streamReadBytes = 16 << 10
)

// relayWhole reads an answer to its end before it sends any of it to the sink.
func (r *forwardRun) relayWhole(ctx context.Context, a *Assignment, answer Answered) (retry bool, err error) {
	account := r.d.cfg.Answers.Account(a.Address, budget.MinBuffer)
	defer account.Release()
	body, err := budget.ReadAll(answer.Body, maxAnswerBytes, &account)
	if err != nil {
		return r.handleTruncated(ctx, a, err)
	}
	r.d.recordBegun(a, r.parts)
	a.FirstToken()
	a.Finish() // however slowly the caller reads
	failed := answer.Status >= http.StatusInternalServerError
	if failed && r.mayResend() && ctx.Err() == nil && r.d.mayRetry(r.req.Service) {
		return r.retryErrorResponse(ctx, answer, body)
	}
	return false, r.sendWhole(answer, body)
}

// retryErrorResponse tries another target after one answered with an error status, and sends that
// first answer if the other target has no better one.
func (r *forwardRun) retryErrorResponse(ctx context.Context, answer Answered, body []byte) (retry bool, err error) {
	r.mayHaveRun = true
	r.avoid = r.lastTarget
	if _, err := r.attempt(ctx); err == nil || r.headerSent || r.sinkErr != nil {
		return false, err
	}
	return false, r.sendWhole(answer, body)
}

func (r *forwardRun) sendWhole(answer Answered, body []byte) error {
	r.recordFirstByte(clock.Now())
	if err := r.sendHeader(answer); err != nil {
		r.sinkErr = err
		return err
	}
	if err := r.sink.Write(body); err != nil {
		r.sinkErr = err
		return r.callerError(err)
	}
	return nil
}

// recordFirstByte records the time at which the first byte of the answer is delivered.
func (r *forwardRun) recordFirstByte(now clock.Time) {
	r.releaseWindow(max(0, now.Sub(r.admittedAt)-r.admitted.Cost))
	r.firstByteAt = now
	r.d.cfg.Metrics.TimeToFirstToken("", ident.ClassID(r.req.Rule.Name), now.Sub(r.req.Arrived))
}

// sendHeader sends the status and the headers of an answer to the sink.
func (r *forwardRun) sendHeader(answer Answered) error {
	r.headerSent = true
	r.begun = answer
	return r.sink.Begin(answer.Status, answer.Header)
}

// handleTruncated records an answer that was truncated and reports whether another attempt is
// allowed. After the headers were sent, only rules that resume streams allow one.
func (r *forwardRun) handleTruncated(ctx context.Context, a *Assignment, err error) (retry bool, _ error) {
	r.mayHaveRun = true
	r.avoid = a.Choice.ID
	if ctx.Err() == nil {
		r.recordBroken(ctx, a, true, err)
	}
	retry = r.mayResend() && (!r.headerSent || r.req.Rule.Retry == desired.RetryResume && !r.unordered)
	return retry, fault.New(fault.TargetFailed, "target %s: answer truncated: %v", a.Choice.ID, err)
}

// checkContinuation returns an error if an answer cannot be the rest of a stream that another one has begun, in this
// answer to the caller or in an earlier one that the caller takes up.
func (r *forwardRun) checkContinuation(answer Answered) error {
	status := http.StatusOK
	if r.headerSent {
		status = r.begun.Status
	}
	if answer.Status != status {
		return fault.New(fault.TargetFailed, "status %d instead of the rest of the stream", answer.Status)
	}
	if !r.headerSent {
		return nil // the media type of the beginning is not recorded
	}
	if kind, want := mediaType(answer.Header), mediaType(r.begun.Header); kind != want {
		return fault.New(fault.TargetFailed, "an answer of type %q instead of the rest of one of type %q", kind, want)
	}
	return nil
}

// continues reports whether the request's next events follow others that the caller has.
func (r *forwardRun) continues() bool {
	return r.headerSent || r.req.Rule.Stream && sse.After(r.req.LastEventID).Continues()
}

// mediaType returns the Content-Type of an answer without its parameters.
func mediaType(h http.Header) string {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// slowWrite is the time that a write to a caller takes at least if the caller's connection takes no more bytes.
const slowWrite = 50 * time.Millisecond

// relayStream sends complete events to the sink as they arrive. If another answer has begun the stream, only
// events that follow its last one are sent. While the caller reads slowly, the answer is read ahead. ctx is that of the call
// to the target, which abort ends.
func (r *forwardRun) relayStream(ctx context.Context, abort context.CancelFunc, a *Assignment, answer Answered) (retry bool, err error) {
	var splitter sse.Splitter
	sequence := streamSequence{Sequence: sse.After(r.lastEventID), strict: r.continues()}
	account := r.d.cfg.Answers.Account(a.Address, 2*streamReadBytes)
	defer account.Release()
	buf := make([]byte, streamReadBytes)
	ahead := aheadReader{Reader: answer.Body, abort: abort}
	defer ahead.stop()
	for {
		n, err := ahead.Read(buf)
		splitter.Add(buf[:n])
		if splitter.Buffered() > maxEventBytes+streamReadBytes {
			return r.handleTruncated(ctx, a, fault.New(fault.TooLarge, "stream event exceeds %d bytes", maxEventBytes))
		}
		if !account.Hold(ident.Bytes(splitter.Size())) {
			return r.handleTruncated(ctx, a, fault.New(fault.TooLarge, "stream events that are kept exceed their budget"))
		}
		if events, id := splitter.Take(); events != nil {
			n, last, broken := r.following(&sequence, events, id)
			if n > 0 {
				r.lastEventID = last
				began := clock.Now()
				if err := r.relayEvents(a, answer, events[:n]); err != nil {
					r.sinkErr = err
					return false, r.callerError(err)
				}
				if clock.Now().Sub(began) >= slowWrite {
					r.readAhead(ctx, &ahead, a)
				}
			}
			if broken != nil {
				return r.handleTruncated(ctx, a, fault.Wrap(fault.TargetFailed, broken))
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return r.handleTruncated(ctx, a, err)
		}
	}
	if splitter.Buffered() > 0 {
		return r.handleTruncated(ctx, a, io.ErrUnexpectedEOF)
	}
	if !r.headerSent {
		return false, r.sendHeader(answer)
	}
	if objective := r.req.Rule.BetweenEvents.AsDuration(); r.hasEngines && objective > 0 && !ahead.started() {
		a.ReportPause(r.longestPause > objective)
	}
	return false, nil
}

// streamSequence is the sequence of a stream's events.
type streamSequence struct {
	sse.Sequence
	strict bool // the caller has events of another answer, which these must follow
}

// following returns the length of the events that may be sent, the id of the last event that the caller then has, and
// an error if others come after them. Events whose last id is the given one are sent as they come if they
// begin the stream; if they do not follow each other, no other target can go on with them.
func (r *forwardRun) following(s *streamSequence, events []byte, id string) (n int, last string, broken error) {
	n, broken = s.Follow(events)
	switch {
	case broken != nil && s.strict:
		return n, s.Last(), broken
	case broken != nil:
		r.unordered = true
	}
	if id == "" {
		id = r.lastEventID
	}
	return len(events), id, nil
}

// relayEvents sends events of the answer to the sink, preceded by the headers if they have not been
// sent.
func (r *forwardRun) relayEvents(a *Assignment, answer Answered, events []byte) error {
	now := clock.Now()
	if !r.eventSent {
		r.eventSent = true
		r.bind(a)
		r.recordFirstByte(now)
	} else {
		pause := now.Sub(r.lastByteAt)
		r.longestPause = max(r.longestPause, pause)
		r.d.cfg.Metrics.InterTokenLatency("", ident.ClassID(r.req.Rule.Name), pause)
	}
	if !a.gotFirstToken {
		r.d.recordBegun(a, r.parts)
		r.countBegun(now)
	}
	a.FirstToken()
	r.lastByteAt = now
	if !r.headerSent {
		if err := r.sendHeader(answer); err != nil {
			return err
		}
	}
	return r.sink.Write(events)
}
