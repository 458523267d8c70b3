package dispatch

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/net/readahead"
)

// aheadReader is the rest of a stream, which is read ahead once its caller has read slowly.
type aheadReader struct {
	io.Reader
	abort   context.CancelFunc // ends the call to the target
	reader  *readahead.Reader  // nil before
	account budget.Account     // what reader may hold
}

// started reports whether the stream is read ahead.
func (s *aheadReader) started() bool { return s.reader != nil }

// stop ends the background task, which makes the call to the target fail if its answer has not ended.
func (s *aheadReader) stop() {
	if s.reader == nil {
		return
	}
	s.abort()
	s.reader.Stop()
	s.account.Release()
}

// readAhead reads the rest of a stream ahead, if the settings and the memory for answers allow it, so that the target
// has its place back when it has sent the answer and not when the caller has read it.
func (r *forwardRun) readAhead(ctx context.Context, s *aheadReader, a *Assignment) {
	limit := r.d.cfg.Unread
	if s.started() || limit == 0 {
		return
	}
	account := r.d.cfg.Answers.Account(a.Address, 0)
	if !account.Hold(limit) {
		r.d.cfg.Metrics.Count("slow_caller_no_memory")
		return
	}
	r.d.cfg.Metrics.Count("slow_caller")
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "slow_caller", "request": r.req.ID, "rule": r.req.Rule.Name, "target": a.Choice.ID, "after": r.lastEventID,
	}).Info("the caller reads slowly; the rest of its answer is read ahead")
	s.account = account
	s.reader = readahead.New(ctx, s.Reader, limit, a.Finish)
	s.Reader = s.reader
}

// callerError returns the error of a write to the caller, with its cause if the caller has read too slowly.
func (r *forwardRun) callerError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	r.d.cfg.Metrics.Count("cut_as_unread")
	return fault.New(fault.TargetFailed, "the caller did not read its answer in the time of its rule (%v) and a margin: %v", r.req.Rule.Timeout.AsDuration(), err)
}
