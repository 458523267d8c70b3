package instance

import (
	"context"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/peer"
)

const (
	// refreshTimeout bounds the wait for announcements that a request needs: two round trips between regions.
	refreshTimeout = 100 * time.Millisecond
	// confirmTimeout bounds the question whether there is a newer configuration.
	confirmTimeout = 500 * time.Millisecond
	// confirmInterval is the least time between two such questions, which scaledInterval stretches. Callers with
	// unknown keys cause one each.
	confirmInterval = 20 * time.Millisecond
)

// rounds runs a function on behalf of many requests: those that come while a round is in progress share the next
// one, since that round may have begun before what they wait for. It is safe for concurrent use.
type rounds struct {
	round  func(ctx context.Context) error
	pause  func() time.Duration // after each round
	wanted chan struct{}        // signals that a round is wanted

	mu   sync.Mutex
	next *round // nil if none is wanted
}

// round is one run of the function of rounds.
type round struct {
	ended chan struct{}
	err   error // valid once ended is closed
}

func newRounds(f func(ctx context.Context) error, pause func() time.Duration) *rounds {
	return &rounds{round: f, pause: pause, wanted: make(chan struct{}, 1)}
}

// join waits for a round that begins after the call, and returns its error.
func (r *rounds) join(ctx context.Context) error {
	next := r.want()
	select {
	case <-next.ended:
		return next.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// want returns the next round.
func (r *rounds) want() *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &round{ended: make(chan struct{})}
		r.wanted <- struct{}{} // has room, as run takes each signal before it takes the round
	}
	return r.next
}

// run is the background task that runs the rounds.
func (r *rounds) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wanted:
		}
		r.mu.Lock()
		current := r.next
		r.next = nil
		r.mu.Unlock()
		current.err = r.round(ctx)
		close(current.ended)
		if pause := r.pause(); pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// targetRefresher reads newer announcements out of turn.
type targetRefresher struct{ *rounds }

var _ dispatch.TargetRefresher = targetRefresher{}

func newTargetRefresher(in *Instance) targetRefresher {
	return targetRefresher{newRounds(in.refreshTargets, func() time.Duration { return 0 })}
}

// Refresh waits for a round, and for the one that may be in progress. See dispatch.TargetRefresher.
func (r targetRefresher) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*refreshTimeout)
	defer cancel()
	_ = r.join(ctx) // the request is placed by what is known then
}

// refreshTargets pulls the targets from all other instances at once, for refreshTimeout at most. A listing that
// another pull displaced is requested again.
func (in *Instance) refreshTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range in.network.Peers() {
		wg.Go(func() {
			for ctx.Err() == nil && !in.pullTargetsFrom(ctx, id) {
				select {
				case <-ctx.Done():
				case <-time.After(refreshTimeout / 10):
				}
			}
		})
	}
	wg.Wait()
	return nil
}

// configConfirmer makes sure that the configuration is the newest one.
type configConfirmer struct{ *rounds }

var _ dispatch.ConfigConfirmer = configConfirmer{}

func newConfigConfirmer(in *Instance) configConfirmer {
	return configConfirmer{newRounds(in.confirmConfig, func() time.Duration { return in.scaledInterval(confirmInterval) })}
}

// Confirm waits for a round. See dispatch.ConfigConfirmer.
func (c configConfirmer) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*confirmTimeout)
	defer cancel()
	return c.join(ctx)
}

// confirmConfig requests a lease out of turn. Every document that was acknowledged before is applied at the leader, so
// its view holds it.
func (in *Instance) confirmConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	grant, err := requestAs[*peer.Grant](ctx, in.leader, in.leaseRequest(in.gate.Version()))
	if err != nil {
		return err
	}
	if grant.View == nil {
		return nil // the lease itself is renewed by its own task
	}
	// Without the lease: that counts from a question of the task that renews it.
	if err := in.gate.ApplyView(*grant.View); err != nil {
		return fault.Wrap(fault.ConfigLapsed, err)
	}
	return nil
}
