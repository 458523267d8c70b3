// Package receipt runs requests that may not be repeated.
//
// The model. A request claims its idempotency key in the replicated log before
// the first byte goes to the target; the log gives the key to one attempt only.
// The attempt's owner sends once, on the condition that its attempt lease has not
// lapsed, commits the answer and then answers the caller. "Not run" is said only
// by the owner, and only while it knows that no byte has left. An owner that dies
// in between leaves an open receipt, which the leader turns into "unknown" after
// the owner's run is known to be dead; nobody runs the request again.
//
// Attempt is the decision core, without I/O. Runner drives it.
package receipt

import (
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// AttemptLease is how long after the proposal of its receipt an attempt may still
// begin to send. It is shorter than the silence after which others give up on the
// owner.
const AttemptLease = 4 * time.Second

// phase is the state of an attempt.
type phase uint8

const (
	phaseOpening phase = iota
	phaseOpened
	phaseSending // a byte may have left
	phaseEnded
)

// Attempt is one attempt to run a request at most once.
type Attempt struct {
	open  state.OpenReceipt
	until clock.Time
	phase phase
}

// NewAttempt begins an attempt at now, directly before its receipt is proposed.
func NewAttempt(now clock.Time, open state.OpenReceipt) *Attempt {
	return &Attempt{open: open, until: now.Add(AttemptLease)}
}

// OpenCommand returns the command that claims the key.
func (a *Attempt) OpenCommand() state.Command { return state.Command{Open: &a.open} }

// HandleOpened takes the outcome of the claim. It returns the stored answer of an
// earlier attempt, or nil and no error if this attempt may go on to send. After
// an error nothing is sent; release tells whether the claim may still have been
// committed and has to be taken back.
func (a *Attempt) HandleOpened(result state.Result, err error) (stored *state.StoredResponse, release bool, _ error) {
	if a.phase != phaseOpening {
		return nil, false, fault.New(fault.Internal, "attempt %s was opened twice", a.open.Attempt)
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
		return nil, false, fault.New(fault.OutcomeUnknown, "receipt of key %q is %s", a.open.ID.Key, r.State)
	}
}

// MaySend is asked directly before the first byte. If it returns nil, the byte
// counts as sent.
func (a *Attempt) MaySend(now clock.Time) error {
	if a.phase != phaseOpened {
		return fault.New(fault.Internal, "attempt %s may not send", a.open.Attempt)
	}
	if !now.Before(a.until) {
		return fault.New(fault.Overloaded, "attempt %s came too late to be sent", a.open.Attempt)
	}
	a.phase = phaseSending
	return nil
}

// CloseCommand takes the outcome of sending and returns the command that closes the
// receipt.
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

// ReleaseCommand returns the command that takes back a claim of which nothing was sent.
func (a *Attempt) ReleaseCommand() state.Command {
	return state.Command{Close: &state.CloseReceipt{
		ID: a.open.ID, Attempt: a.open.Attempt, Outcome: state.OutcomeReleased,
	}}
}

// SentNothing reports whether it is known that no byte has left.
func (a *Attempt) SentNothing() bool { return a.phase != phaseSending }
