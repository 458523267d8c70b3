package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// sweepReceipts turns open receipts of dead runs into unknown ones, and notes the
// old ones of living runs, whose owners are asked about them.
func (co *Coordinator) sweepReceipts(ctx context.Context) {
	open := co.cfg.Machine.OpenReceipts()
	co.noteClaims(open)
	seen := map[ident.InstanceID]bool{}
	for _, r := range open {
		if seen[r.Owner] {
			continue
		}
		co.mu.Lock()
		alive, known := co.leases.LiveBoot(clock.Now(), r.Owner)
		co.mu.Unlock()
		if !known || alive == r.Boot {
			continue
		}
		seen[r.Owner] = true
		co.cfg.Log.WithFields(logrus.Fields{"event": "receipts_abandoned", "owner": r.Owner, "alive": alive}).Warn("receipts of a dead run become unknown")
		co.propose(ctx, state.Command{Abandon: &state.AbandonReceipts{
			Owner: r.Owner, LiveBoot: alive, OpenedUntil: state.UnixMillisOf(time.Now()),
		}})
	}
}

// claimAge is the age from which an open receipt's owner is asked about it.
const claimAge = 5 * time.Second

func (co *Coordinator) noteClaims(open []state.Receipt) {
	claims := map[ident.BootID][]state.Claim{}
	old := state.UnixMillisOf(time.Now().Add(-claimAge))
	for _, r := range open {
		if r.Opened < old {
			claims[r.Boot] = append(claims[r.Boot], state.Claim{ID: r.ID, Attempt: r.Attempt})
		}
	}
	co.mu.Lock()
	co.claims = claims
	co.mu.Unlock()
}
