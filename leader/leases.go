// Package leader holds the duties of the instance that leads the quorum: it grants
// configuration leases, decides when a view is in force everywhere, carries orders
// to engines and gives up on receipts of dead runs.
//
// The model. Instances serve by a view of the replicated state, and only while
// they hold a lease on it. An instance counts its lease from the moment it asked;
// the leader counts from the moment it answered, which is later. So once a leader
// sees a lease lapse, the instance has stopped taking calls. A view is in force
// when every holder of a live lease has confirmed it. A new leader does not know
// the leases of the one before; it waits for a whole lease first.
package leader

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

// Intervals of configuration leases.
const (
	LeaseDuration = 2 * time.Second
	// LongPollBase is the longest time for which the leader holds back an answer that
	// brings no new view.
	LongPollBase = 300 * time.Millisecond
	// longPollPerInstance is what HoldTime grows by for each instance that holds a lease, up to
	// HoldMax, so that many instances do not ask more often than the leader can answer.
	longPollPerInstance = 2 * time.Millisecond
	// LongPollMax leaves time for the way of the answer before the instance gives the question up, and for another question
	// before its lease ends.
	LongPollMax = 500 * time.Millisecond
	// RenewInterval is the wait of an instance between the answer and the next question.
	RenewInterval = 20 * time.Millisecond
)

// InstanceTimeout is the silence after which a run of an instance counts as dead. It
// is longer than an attempt lease.
const InstanceTimeout = 10 * time.Second

// holder is what the leader knows of one instance.
type holder struct {
	boot    ident.BootID
	version state.Version
	expires clock.Time
	heard   clock.Time
	leaving bool
	busy    []ident.TargetID
}

// Leases is the decision core of configuration leases. It holds no lock and reads
// no clock.
type Leases struct {
	began   clock.Time
	first   bool // no leader before this one granted a lease
	holders map[ident.InstanceID]*holder
}

// NewLeases returns an empty table. Begin starts it.
func NewLeases() *Leases { return &Leases{holders: map[ident.InstanceID]*holder{}} }

// Begin starts a new term of leadership at now. First tells that no leader before can
// have granted a lease.
func (l *Leases) Begin(now clock.Time, first bool) {
	l.began = now
	l.first = first
	l.holders = map[ident.InstanceID]*holder{}
}

// Renew records a request for a lease. The view to answer with has to be read after
// this call, so that no lease can miss a view that was checked before.
func (l *Leases) Renew(now clock.Time, ask *peer.Lease) {
	h := l.holders[ask.Instance]
	if h == nil || h.boot != ask.Boot {
		h = &holder{boot: ask.Boot}
		l.holders[ask.Instance] = h
	}
	h.version = max(h.version, ask.Version)
	h.expires = now.Add(LeaseDuration)
	h.heard = now
	h.leaving = ask.Leaving
	h.busy = ask.BusyEngines
}

// InForce reports whether no instance takes calls by a view older than v. If not,
// it returns the instances that are waited for.
func (l *Leases) InForce(now clock.Time, v state.Version) (bool, []ident.InstanceID) {
	var waiting []ident.InstanceID
	for id, h := range l.holders {
		if now.Before(h.expires) && h.version < v {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	settled := l.first || now.Sub(l.began) >= LeaseDuration
	return settled && len(waiting) == 0, waiting
}

// Holders returns the number of instances that hold a lease.
func (l *Leases) Holders(now clock.Time) int {
	n := 0
	for _, h := range l.holders {
		if now.Before(h.expires) {
			n++
		}
	}
	return n
}

// Busy reports whether an instance with a live lease still has requests at an
// engine.
func (l *Leases) Busy(now clock.Time, engine ident.TargetID) bool {
	for _, h := range l.holders {
		if now.Before(h.expires) && slices.Contains(h.busy, engine) {
			return true
		}
	}
	return false
}

// LiveBoot returns the living run of an instance. known is false while this leader
// cannot tell yet.
func (l *Leases) LiveBoot(now clock.Time, id ident.InstanceID) (boot ident.BootID, known bool) {
	h := l.holders[id]
	if h != nil && now.Sub(h.heard) <= InstanceTimeout {
		return h.boot, true
	}
	return "", now.Sub(l.began) > InstanceTimeout
}

// Instance is the leader's view of one instance, for reports.
type Instance struct {
	Instance ident.InstanceID `json:"instance"`
	Version  state.Version    `json:"version"`
	Live     bool             `json:"live"`
	Leaving  bool             `json:"leaving,omitempty"`
}

// Instances returns the known instances in order.
func (l *Leases) Instances(now clock.Time) []Instance {
	var all []Instance
	for id, h := range l.holders {
		all = append(all, Instance{Instance: id, Version: h.version, Live: now.Before(h.expires), Leaving: h.leaving})
	}
	slices.SortFunc(all, func(a, b Instance) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return all
}
