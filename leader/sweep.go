package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// sweepReceipts marks the open receipts of dead runs as unknown. It also collects the long-open
// receipts of live runs; their owners receive them with the next lease and reconcile them.
func (co *Coordinator) sweepReceipts(ctx context.Context) {
	open := co.cfg.Machine.OpenReceipts()
	co.collectClaims(open)
	seen := map[ident.InstanceID]bool{}
	for _, r := range open {
		if seen[r.Owner] {
			continue
		}
		co.mu.Lock()
		liveBoot, known := co.leases.LiveBoot(clock.Now(), r.Owner)
		co.mu.Unlock()
		if !known || liveBoot == r.Boot {
			continue
		}
		seen[r.Owner] = true
		co.cfg.Log.WithFields(logrus.Fields{"event": "receipts_abandoned", "owner": r.Owner, "alive": liveBoot}).Warn("instance run is dead; its open receipts become unknown")
		co.propose(ctx, state.Command{Abandon: &state.AbandonReceipts{
			Owner: r.Owner, LiveBoot: liveBoot, OpenedUntil: state.UnixMillisOf(time.Now()),
		}})
	}
}

// minClaimAge is the age from which an open receipt is sent to its owner for reconciliation.
const minClaimAge = 5 * time.Second

func (co *Coordinator) collectClaims(open []state.Receipt) {
	claims := map[ident.BootID][]state.Claim{}
	old := state.UnixMillisOf(time.Now().Add(-minClaimAge))
	for _, r := range open {
		if r.Opened < old {
			claims[r.Boot] = append(claims[r.Boot], state.Claim{ID: r.ID, Attempt: r.Attempt})
		}
	}
	co.mu.Lock()
	co.claims = claims
	co.mu.Unlock()
}
