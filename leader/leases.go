// Package leader implements the tasks of the instance that leads the quorum: it grants
// configuration leases, decides when a view of the configuration is in force on every instance,
// plans engine roles, delivers orders to engines, and abandons the receipts of dead runs.
//
// Each instance serves requests according to a view of the replicated state, and only while it
// holds a lease on that view. The instance measures the lease from the time it sends the request;
// the leader measures it from the time it records the request, which is later. So once a lease has
// expired at the leader, the instance has already stopped taking requests. A view is in force when
// every holder of an unexpired lease has confirmed it. A new leader has no record of the leases
// that its predecessor granted, so it waits for one full lease duration before it reports any view
// as in force.
package leader

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

// Durations of configuration leases.
const (
	LeaseDuration = 2 * time.Second
	// LongPollBase is the longest delay of a reply that carries no new view, before
	// longPollPerInstance is added for each lease holder.
	LongPollBase = 300 * time.Millisecond
	// longPollPerInstance is added to the delay for each lease holder, up to LongPollMax, so that
	// many instances do not send more requests than the leader can handle.
	longPollPerInstance = 2 * time.Millisecond
	// LongPollMax bounds the delay. It leaves time for the reply to arrive before the instance's
	// request times out, and for a second request before the lease expires.
	LongPollMax = 500 * time.Millisecond
	// RenewInterval is the pause of an instance between a reply and its next request.
	RenewInterval = 20 * time.Millisecond
)

// InstanceTimeout is the time without a renewal after which a run of an instance counts as dead.
// It is longer than receipt.AttemptLease, within which an attempt may still start to send.
const InstanceTimeout = 10 * time.Second

// holder is the leader's record of one instance.
type holder struct {
	boot        ident.BootID
	version     state.Version
	expires     clock.Time
	lastRenewal clock.Time
	leaving     bool
	busyEngines []ident.TargetID
}

// Leases records the configuration leases that a leader has granted and decides which views are in
// force. Callers pass the time in. It is not safe for concurrent use.
type Leases struct {
	leadingSince clock.Time
	firstLeader  bool // no earlier leader can have granted a lease
	holders      map[ident.InstanceID]*holder
}

// NewLeases returns an empty table. Begin must be called before any other method.
func NewLeases() *Leases { return &Leases{holders: map[ident.InstanceID]*holder{}} }

// Begin clears the table for a term of leadership that starts at now. first is set if no earlier
// leader can have granted a lease.
func (l *Leases) Begin(now clock.Time, first bool) {
	l.leadingSince = now
	l.firstLeader = first
	l.holders = map[ident.InstanceID]*holder{}
}

// Renew records a request for a lease. The view for the reply must be read after this call:
// otherwise a lease could be granted on an older view than one that InForce has just reported.
func (l *Leases) Renew(now clock.Time, req *peer.Lease) {
	h := l.holders[req.Instance]
	if h == nil || h.boot != req.Boot {
		h = &holder{boot: req.Boot}
		l.holders[req.Instance] = h
	}
	h.version = max(h.version, req.Version)
	h.expires = now.Add(LeaseDuration)
	h.lastRenewal = now
	h.leaving = req.Leaving
	h.busyEngines = req.BusyEngines
}

// InForce reports whether no instance takes requests under a view older than v. If some still
// may, it returns the lease holders that have not confirmed v. That list may be empty during the
// first LeaseDuration of a new leader, which has no record of earlier leases.
func (l *Leases) InForce(now clock.Time, v state.Version) (bool, []ident.InstanceID) {
	var waiting []ident.InstanceID
	for id, h := range l.holders {
		if now.Before(h.expires) && h.version < v {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	settled := l.firstLeader || now.Sub(l.leadingSince) >= LeaseDuration
	return settled && len(waiting) == 0, waiting
}

// Holders returns the number of unexpired leases.
func (l *Leases) Holders(now clock.Time) int {
	n := 0
	for _, h := range l.holders {
		if now.Before(h.expires) {
			n++
		}
	}
	return n
}

// Busy reports whether any instance with an unexpired lease still has requests in progress at an
// engine.
func (l *Leases) Busy(now clock.Time, engine ident.TargetID) bool {
	for _, h := range l.holders {
		if now.Before(h.expires) && slices.Contains(h.busyEngines, engine) {
			return true
		}
	}
	return false
}

// LiveBoot returns the boot ID of the live run of an instance, or "" if the instance is dead. known
// is false while this leader has led for too short a time to decide.
func (l *Leases) LiveBoot(now clock.Time, id ident.InstanceID) (boot ident.BootID, known bool) {
	h := l.holders[id]
	if h != nil && now.Sub(h.lastRenewal) <= InstanceTimeout {
		return h.boot, true
	}
	return "", now.Sub(l.leadingSince) > InstanceTimeout
}

// Instance is the state of one instance in a report.
type Instance struct {
	Instance ident.InstanceID `json:"instance"`
	Version  state.Version    `json:"version"`
	Live     bool             `json:"live"`
	Leaving  bool             `json:"leaving,omitempty"`
}

// Instances returns the recorded instances, sorted by ID.
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
