package receipt

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/state"
)

// Bounds of the runner.
const (
	openTime    = 2 * time.Second // for the claim of a key
	closeTime   = 2 * time.Second // for which a caller waits for the commit of its answer
	closeRing   = 16384           // receipts that wait to be closed
	closeRetry  = 200 * time.Millisecond
	closers     = 8
	closeBudget = closeRing / 2 // above it no new attempt begins
)

// Log commits commands to the replicated log.
type Log interface {
	// Propose returns the result of a committed command. See quorum.Node.Propose
	// for the errors.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Send sends the request to a target. It calls may directly before the first byte
// and returns its error. It returns an error that fault.AnswerOf says RanNo of
// only if no byte has left.
type Send func(ctx context.Context, may func() error) (*state.StoredResponse, error)

// Reply is the answer to a request that ran, now or earlier.
type Reply struct {
	Answer   state.StoredResponse
	Replayed bool // an earlier attempt ran it
	Pending  bool // the receipt is not committed yet
}

// closing is a receipt that waits to be closed.
type closing struct {
	command state.Command
	done    chan struct{}
}

// Runner runs requests at most once. Use NewRunner.
type Runner struct {
	log     Log
	logger  *logrus.Entry
	closing *queue.Queue[closing]
	live    *LiveAttempts
}

// NewRunner returns a runner. The owner runs Close as duties.
func NewRunner(log Log, logger *logrus.Entry) *Runner {
	return &Runner{log: log, logger: logger, closing: queue.New[closing]("receipts to close", closeRing), live: NewLiveAttempts()}
}

// CloserCount returns the number of duties that should run Close.
func CloserCount() int { return closers }

// Pending returns the number of receipts that wait to be closed.
func (r *Runner) Pending() int { return r.closing.Len() }

// RunCloser is a duty: it commits the closing of receipts until ctx ends. A failed
// commit is repeated; an attempt is closed by its id, so that repeating is safe.
func (r *Runner) RunCloser(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-r.closing.C():
			r.commit(ctx, c)
		}
	}
}

func (r *Runner) commit(ctx context.Context, c closing) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, openTime)
		result, err := r.log.Propose(try, c.command)
		cancel()
		if err == nil {
			if result.Refused {
				r.logger.WithFields(logrus.Fields{"event": "receipt_close_refused", "attempt": c.command.Close.Attempt, "cause": result.Detail}).Warn("close refused")
			}
			r.live.Remove(c.command.Close.Attempt)
			close(c.done)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(closeRetry):
		}
	}
}

// Run claims the key, sends the request and returns its answer. The error says
// with fault.AnswerOf whether the request ran.
func (r *Runner) Run(ctx context.Context, open state.OpenReceipt, send Send) (Reply, error) {
	if r.closing.Len() > closeBudget {
		return Reply{}, fault.New(fault.Overloaded, "%d receipts wait to be closed", r.closing.Len())
	}
	a := NewAttempt(clock.Now(), open)
	r.live.Add(open.Attempt)
	openCtx, cancel := context.WithTimeout(ctx, openTime)
	result, err := r.log.Propose(openCtx, a.OpenCommand())
	cancel()
	stored, release, err := a.HandleOpened(result, err)
	if release {
		r.enqueue(a.ReleaseCommand())
	} else if err != nil || stored != nil {
		r.live.Remove(open.Attempt)
	}
	if err != nil {
		return Reply{}, err
	}
	if stored != nil {
		return Reply{Answer: *stored, Replayed: true}, nil
	}
	return r.send(ctx, a, send)
}

func (r *Runner) send(ctx context.Context, a *Attempt, send Send) (Reply, error) {
	answer, err := send(ctx, func() error { return a.MaySend(clock.Now()) })
	sent := !a.SentNothing()
	switch {
	case err == nil:
	case sent:
		err = fault.WithRan(fault.Wrap(fault.OutcomeUnknown, err), fault.RanUnknown)
		answer = nil
	default:
		err = fault.WithRan(err, fault.RanNo)
		answer = nil
	}
	done := r.enqueue(a.CloseCommand(bound(answer)))
	if err != nil && !sent {
		return Reply{}, err // it may be sent again at once
	}
	// Who asks after the answer was given is told the same, so the commit comes
	// first. The caller gets its answer also if the commit takes long.
	pending := !closed(done)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Answer: *answer, Pending: pending}, nil
}

// closed waits for a commit and reports whether it came within closeTime.
func closed(done <-chan struct{}) bool {
	timer := time.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// bound cuts the body that a receipt stores.
func bound(a *state.StoredResponse) *state.StoredResponse {
	if a == nil || len(a.Body) <= state.MaxStoredBody {
		return a
	}
	cut := *a
	cut.Body = a.Body[:state.MaxStoredBody]
	cut.Truncated = true
	return &cut
}

// Reconcile takes the old open receipts of this run, as the leader sees them, and
// releases those that belong to no attempt any more.
func (r *Runner) Reconcile(claims []state.Claim) {
	for _, c := range r.live.Orphans(claims) {
		r.logger.WithFields(logrus.Fields{"event": "claim_released", "attempt": c.Close.Attempt}).Warn("late claim released")
		r.enqueue(c)
	}
}

func (r *Runner) enqueue(c state.Command) chan struct{} {
	cl := closing{command: c, done: make(chan struct{})}
	if err := r.closing.Push(cl); err != nil {
		r.logger.WithFields(logrus.Fields{"event": "receipt_close_dropped", "attempt": c.Close.Attempt}).Error("receipt stays open until this run ends")
	}
	return cl.done
}
