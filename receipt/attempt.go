// Package receipt runs requests at most once.
//
// A request claims its idempotency key in the replicated log before its first byte goes to the
// target. The log grants the key to one attempt only. The instance that owns the attempt sends the
// request once, provided that the attempt's lease has not expired, commits the answer to the log
// and then answers the caller. Only the owner reports that a request was not run, and only if it is
// certain that no byte was sent. If the owner crashes in between, the receipt stays open until the
// leader has established that the owner's process has ended. The leader then sets the receipt to
// "unknown". Nobody runs the request again.
//
// Attempt is the state machine of one attempt and does no I/O. Runner drives it.
package receipt

import (
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// AttemptLease is how long after its receipt was proposed an attempt may still start to send. It is
// shorter than the time without contact after which the leader abandons the receipts of an
// instance.
const AttemptLease = 4 * time.Second

// phase is the state of an attempt.
type phase uint8

const (
	phaseOpening phase = iota
	phaseOpened
	phaseSending // a byte may have been sent
	phaseEnded
)

// Attempt is one attempt to run a request at most once. It is not safe for concurrent use.
type Attempt struct {
	open     state.OpenReceipt
	leaseEnd clock.Time
	phase    phase
}

// NewAttempt starts an attempt at now, immediately before its receipt is proposed.
func NewAttempt(now clock.Time, open state.OpenReceipt) *Attempt {
	return &Attempt{open: open, leaseEnd: now.Add(AttemptLease)}
}

// OpenCommand returns the command that claims the key.
func (a *Attempt) OpenCommand() state.Command { return state.Command{Open: &a.open} }

// HandleOpened processes the result of the claim. It returns the stored response of an earlier
// attempt, or nil and no error if this attempt may send the request. After an error the attempt
// sends nothing; release then says whether the claim may have been committed and must be released.
func (a *Attempt) HandleOpened(result state.Result, err error) (stored *state.StoredResponse, release bool, _ error) {
	if a.phase != phaseOpening {
		return nil, false, fault.New(fault.Internal, "attempt %s: claim result was already processed", a.open.Attempt)
	}
	a.phase = phaseEnded
	if err != nil {
		return nil, fault.ResponseOf(err).Ran != fault.RanNo, fault.WithRan(err, fault.RanNo)
	}
	if err := result.Err(); err != nil {
		return nil, false, err
	}
	r := result.Receipt
	switch {
	case r.State == state.ReceiptDone && r.Response != nil:
		return r.Response, false, nil
	case r.State == state.ReceiptOpen && r.Attempt == a.open.Attempt:
		a.phase = phaseOpened
		return nil, false, nil
	default:
		return nil, false, fault.New(fault.OutcomeUnknown, "receipt of idempotency key %q is in state %q", a.open.ID.Key, r.State)
	}
}

// BeginSend must be called immediately before the first byte is sent. If it returns nil, the byte
// counts as sent.
func (a *Attempt) BeginSend(now clock.Time) error {
	if a.phase != phaseOpened {
		return fault.New(fault.Internal, "attempt %s may not send: key is not claimed or sending has started", a.open.Attempt)
	}
	if !now.Before(a.leaseEnd) {
		return fault.New(fault.Overloaded, "attempt %s: lease expired before the request was sent", a.open.Attempt)
	}
	a.phase = phaseSending
	return nil
}

// CloseCommand processes the outcome of sending, where a nil answer means that there is none, and
// returns the command that closes the receipt.
func (a *Attempt) CloseCommand(answer *state.StoredResponse) state.Command {
	outcome := state.OutcomeUnknown
	switch {
	case answer != nil:
		outcome = state.OutcomeDone
	case a.phase != phaseSending:
		outcome = state.OutcomeReleased
	}
	a.phase = phaseEnded
	return state.Command{Close: &state.CloseReceipt{
		ID: a.open.ID, Attempt: a.open.Attempt, Outcome: outcome, Response: answer,
	}}
}

// ReleaseCommand returns the command that releases the claim of an attempt that sent nothing.
func (a *Attempt) ReleaseCommand() state.Command {
	return state.Command{Close: &state.CloseReceipt{
		ID: a.open.ID, Attempt: a.open.Attempt, Outcome: state.OutcomeReleased,
	}}
}

// SentNothing reports whether it is certain that no byte was sent.
func (a *Attempt) SentNothing() bool { return a.phase != phaseSending }
