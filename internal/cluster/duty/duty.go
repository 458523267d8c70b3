// Package duty decides when the holder of the duties of one instance at a time makes which call.
//
// A duty is work towards an outside provider that one instance does for all: it reports usage, or orders
// targets. What a call says is decided before: the replicated log has its content (see state.Decide), and a
// holder sends it as it stands there until a clear answer comes. A Schedule is the part of the holder. It
// starts empty with each term of a holder, since all that must survive is in the log.
//
// A Schedule does no I/O, holds no lock and reads no clock: the caller serializes access, passes the time, makes
// the calls and reports their outcomes.
package duty

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

const (
	// CallTimeout bounds one call to the provider.
	CallTimeout = 2 * time.Second
	// ArrivalTime bounds the time that the last byte of a call takes to the provider. The holder sends it only if its
	// lease lasts longer than that.
	ArrivalTime = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a call without a clear answer, which doubles.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// maxCalls is the number of calls in progress at a time.
	maxCalls = 8
	// rateShare is the part of the provider's rate that the holder uses. The holder before may have used its own
	// part in the same second.
	rateShare = 0.4
)

// Outcome is what became of a call: Accepted, Rejected or Unanswered.
type Outcome interface{ outcome() }

// Accepted means that the provider took the call.
type Accepted struct{}

// Rejected means that the provider will not take the call, however often it is repeated.
type Rejected struct{ Reason string }

// Unanswered means that there was no clear answer, or one that asks for a later try. RetryAfter is the time until
// then, 0 if the provider named none.
type Unanswered struct {
	RetryAfter time.Duration
	Err        error
}

func (Accepted) outcome()   {}
func (Rejected) outcome()   {}
func (Unanswered) outcome() {}

// Provider makes calls in the provider's protocol. Implementations are safe for concurrent use.
type Provider interface {
	// Call sends a content under a generation, within CallTimeout. may reports whether the holder may still send; it is
	// called right before the last byte.
	Call(ctx context.Context, generation ident.FencingToken, c Content, may func() bool) Outcome
}

// Term is one term of a holder.
type Term struct {
	Began clock.Time // when the instance began to lead
	// Takeover means that another instance held the duties before, so that its last call may have been made
	// just before Began.
	Takeover bool
	// LeaseTime is the time within which the provider must not see two holders take turns.
	LeaseTime time.Duration
	// Rate is the calls a second that the provider takes from all instances together; 0 means no bound.
	Rate float64
}

// firstCall returns when the holder may make its first call.
func (t Term) firstCall() clock.Time {
	if !t.Takeover {
		return t.Began
	}
	return t.Began.Add(t.LeaseTime + ArrivalTime)
}

// call identifies a decision.
type call struct {
	subject state.Subject
	number  state.DecisionNumber
}

// progress is what the holder has done for a decision.
type progress struct {
	tries   int
	next    clock.Time // earliest time of the next try
	running bool
}

// Schedule holds the calls of one term. Use NewSchedule.
type Schedule struct {
	term    Term
	calls   map[call]*progress
	running int
	nextAt  clock.Time // earliest time of the next call, by the rate
}

// NewSchedule returns the schedule of a term.
func NewSchedule(t Term) *Schedule { return &Schedule{term: t, calls: map[call]*progress{}} }

// Due returns the decisions to call the provider for now, and counts them as in progress. open are all open decisions;
// those of a subject are sent in their order, one at a time.
func (s *Schedule) Due(now clock.Time, open []state.Decision) []state.Decision {
	s.forget(open)
	if now.Before(s.term.firstCall()) {
		return nil
	}
	var due []state.Decision
	busy := map[state.Subject]bool{}
	for _, d := range open {
		if busy[d.Subject] {
			continue
		}
		busy[d.Subject] = true
		p := s.progressOf(call{d.Subject, d.Number})
		if p.running || now.Before(p.next) || s.running >= maxCalls || now.Before(s.nextAt) {
			continue
		}
		p.running = true
		p.tries++
		s.running++
		s.nextAt = max(now, s.nextAt).Add(s.interval())
		due = append(due, d)
	}
	return due
}

// interval returns the least time between two calls.
func (s *Schedule) interval() time.Duration {
	if s.term.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (s.term.Rate * rateShare))
}

func (s *Schedule) progressOf(c call) *progress {
	p := s.calls[c]
	if p == nil {
		p = &progress{}
		s.calls[c] = p
	}
	return p
}

// Ended records that a call has ended. It reports whether the decision is to be closed, and with which outcome.
func (s *Schedule) Ended(now clock.Time, d state.Decision, o Outcome) (state.CloseDecision, bool) {
	p := s.progressOf(call{d.Subject, d.Number})
	p.running = false
	s.running--
	closing := state.CloseDecision{Subject: d.Subject, Number: d.Number}
	switch o := o.(type) {
	case Accepted:
		closing.Outcome = state.DecisionAccepted
	case Rejected:
		closing.Outcome, closing.Reason = state.DecisionRefused, o.Reason
	case Unanswered:
		p.next = now.Add(max(o.RetryAfter, retryPause(p.tries)))
		return closing, false
	}
	// Not again, should the decision still be open when the next calls are chosen.
	p.next = now.Add(maxRetryPause)
	return closing, true
}

// Tries returns how often the provider was called for a decision in this term.
func (s *Schedule) Tries(d state.Decision) int { return s.progressOf(call{d.Subject, d.Number}).tries }

// retryPause returns the pause after the given number of tries.
func retryPause(tries int) time.Duration {
	pause := minRetryPause
	for range min(tries-1, 8) {
		pause *= 2
	}
	return min(pause, maxRetryPause)
}

// forget drops the progress of decisions that are closed.
func (s *Schedule) forget(open []state.Decision) {
	if len(s.calls) <= len(open) {
		return
	}
	kept := map[call]bool{}
	for _, d := range open {
		kept[call{d.Subject, d.Number}] = true
	}
	for c, p := range s.calls {
		if !kept[c] && !p.running {
			delete(s.calls, c)
		}
	}
}

// MaySend reports whether a holder whose lease ends at leaseEnd may send the last byte of a call now.
func MaySend(now, leaseEnd clock.Time) bool { return now.Add(ArrivalTime).Before(leaseEnd) }
