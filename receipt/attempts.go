package receipt

import (
	"sync"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// LiveAttempts is the set of attempts of this process whose receipts are not closed yet. It is safe
// for concurrent use.
//
// A claim may be appended to the log twice. The second copy may be applied after the attempt was
// released and another attempt claimed and released the key. The second copy then claims the key
// again for an attempt that has ended. This can only happen to an attempt that was released
// earlier, and thus never sent anything, so its owner may release it again.
type LiveAttempts struct {
	mu       sync.Mutex
	attempts map[ident.AttemptID]struct{}
}

// NewLiveAttempts returns an empty set.
func NewLiveAttempts() *LiveAttempts { return &LiveAttempts{attempts: map[ident.AttemptID]struct{}{}} }

// Add adds an attempt. It must be called before the attempt's claim is proposed.
func (l *LiveAttempts) Add(id ident.AttemptID) {
	l.mu.Lock()
	l.attempts[id] = struct{}{}
	l.mu.Unlock()
}

// Remove removes an attempt after its receipt's closing was committed, or if it never claimed its
// key.
func (l *LiveAttempts) Remove(id ident.AttemptID) {
	l.mu.Lock()
	delete(l.attempts, id)
	l.mu.Unlock()
}

// Orphans returns commands that release those of the given claims of this process that belong to no
// live attempt.
func (l *LiveAttempts) Orphans(claims []state.Claim) []state.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []state.Command
	for _, c := range claims {
		if _, live := l.attempts[c.Attempt]; live {
			continue
		}
		out = append(out, state.Command{Close: &state.CloseReceipt{
			ID: c.ID, Attempt: c.Attempt, Outcome: state.OutcomeReleased,
		}})
	}
	return out
}
