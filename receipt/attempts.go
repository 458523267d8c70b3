package receipt

import (
	"sync"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// LiveAttempts is the set of a run's attempts whose receipts are not closed yet. It is
// safe for concurrent use.
//
// A claim may be appended twice, and the second time so late that the attempt was
// given up and the key taken and freed by another one in between. It then claims the
// key again for an attempt that is long over. Only an attempt that was released
// before, and so never sent anything, can come to that; its owner may release it
// again.
type LiveAttempts struct {
	mu  sync.Mutex
	set map[ident.AttemptID]struct{}
}

// NewLiveAttempts returns an empty set.
func NewLiveAttempts() *LiveAttempts { return &LiveAttempts{set: map[ident.AttemptID]struct{}{}} }

// Add adds an attempt, before its claim is proposed.
func (l *LiveAttempts) Add(id ident.AttemptID) {
	l.mu.Lock()
	l.set[id] = struct{}{}
	l.mu.Unlock()
}

// Remove removes an attempt, after the closing of its receipt was committed or
// when nothing was ever claimed.
func (l *LiveAttempts) Remove(id ident.AttemptID) {
	l.mu.Lock()
	delete(l.set, id)
	l.mu.Unlock()
}

// Orphans returns the commands that release those claims of this run that belong
// to no live attempt.
func (l *LiveAttempts) Orphans(claims []state.Claim) []state.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []state.Command
	for _, c := range claims {
		if _, live := l.set[c.Attempt]; live {
			continue
		}
		out = append(out, state.Command{Close: &state.CloseReceipt{
			ID: c.ID, Attempt: c.Attempt, Outcome: state.OutcomeReleased,
		}})
	}
	return out
}
