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
	openTimeout        = 2 * time.Second // bound on claiming a key, and on one commit of a closing
	closeTimeout       = 2 * time.Second // bound on a caller's wait for the commit of its answer
	closeQueueSize     = 16384           // capacity of the queue of receipts to be closed
	closeRetryInterval = 200 * time.Millisecond
	closers            = 8                  // goroutines that run RunCloser
	maxPendingClosings = closeQueueSize / 2 // above this queue length, no new attempt starts
)

// Log commits commands to the replicated log.
type Log interface {
	// Propose returns the result of a committed command. For errors, see quorum.Node.Propose.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Send sends the request to a target. It must call beforeSend immediately before the first byte and
// return any error of it. It returns an error with fault.RanNo only if no byte was sent.
type Send func(ctx context.Context, beforeSend func() error) (*state.StoredResponse, error)

// Reply is the answer to a request that ran, now or earlier.
type Reply struct {
	Answer   state.StoredResponse
	Replayed bool // an earlier attempt ran the request
	Pending  bool // the answer has not been committed yet
}

// closing is a receipt that waits to be closed.
type closing struct {
	command state.Command
	done    chan struct{}
}

// Runner runs requests at most once. It is safe for concurrent use. Create it with NewRunner.
type Runner struct {
	log     Log
	logger  *logrus.Entry
	closing *queue.Queue[closing]
	live    *LiveAttempts
}

// NewRunner returns a runner. Its owner must run CloserCount goroutines of RunCloser.
func NewRunner(log Log, logger *logrus.Entry) *Runner {
	return &Runner{log: log, logger: logger, closing: queue.New[closing]("receipts to close", closeQueueSize), live: NewLiveAttempts()}
}

// CloserCount returns the number of goroutines that should run RunCloser.
func CloserCount() int { return closers }

// Pending returns the number of receipts that wait to be closed.
func (r *Runner) Pending() int { return r.closing.Len() }

// RunCloser commits the closing of receipts until ctx ends. It retries failed commits, which is
// safe because a closing names its attempt.
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
		try, cancel := context.WithTimeout(ctx, openTimeout)
		result, err := r.log.Propose(try, c.command)
		cancel()
		if err == nil {
			if result.Refused {
				r.logger.WithFields(logrus.Fields{"event": "receipt_close_refused", "attempt": c.command.Close.Attempt, "cause": result.Detail}).Warn("closing of receipt was refused; its state is unchanged")
			}
			r.live.Remove(c.command.Close.Attempt)
			close(c.done)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(closeRetryInterval):
		}
	}
}

// Run claims the key, sends the request and returns its answer. For an error, fault.ResponseOf says
// whether the request ran.
func (r *Runner) Run(ctx context.Context, open state.OpenReceipt, send Send) (Reply, error) {
	if r.closing.Len() > maxPendingClosings {
		return Reply{}, fault.New(fault.Overloaded, "too many receipts wait to be closed: %d", r.closing.Len())
	}
	a := NewAttempt(clock.Now(), open)
	r.live.Add(open.Attempt)
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
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
	answer, err := send(ctx, func() error { return a.BeginSend(clock.Now()) })
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
	done := r.enqueue(a.CloseCommand(truncate(answer)))
	if err != nil && !sent {
		return Reply{}, err // the caller may send the request again immediately
	}
	// A later request under the same key must get the same result as this caller, so the commit
	// comes before the answer. The caller gets its answer even if the commit takes too long.
	pending := !waitClosed(done)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Answer: *answer, Pending: pending}, nil
}

// waitClosed waits for a commit and reports whether it completed within closeTimeout.
func waitClosed(done <-chan struct{}) bool {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// truncate limits the body to the size that a receipt stores.
func truncate(a *state.StoredResponse) *state.StoredResponse {
	if a == nil || len(a.Body) <= state.MaxStoredBody {
		return a
	}
	truncated := *a
	truncated.Body = a.Body[:state.MaxStoredBody]
	truncated.Truncated = true
	return &truncated
}

// Reconcile releases old open receipts of this process, as reported by the leader, that belong to
// no live attempt.
func (r *Runner) Reconcile(claims []state.Claim) {
	for _, c := range r.live.Orphans(claims) {
		r.logger.WithFields(logrus.Fields{"event": "claim_released", "attempt": c.Close.Attempt}).Warn("releasing a late claim that belongs to no live attempt")
		r.enqueue(c)
	}
}

func (r *Runner) enqueue(c state.Command) chan struct{} {
	pending := closing{command: c, done: make(chan struct{})}
	if err := r.closing.Push(pending); err != nil {
		r.logger.WithFields(logrus.Fields{"event": "receipt_close_dropped", "attempt": c.Close.Attempt}).Error("queue is full; the receipt stays open until this process ends")
	}
	return pending.done
}
