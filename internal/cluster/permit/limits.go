package permit

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// failurePause is the time after which an instance asks again whose request got no reply.
	failurePause = 250 * time.Millisecond
	// minUnusedPause and maxUnusedPause bound the time for which an instance that left a permit
	// unused leaves the permits to others. It doubles with each unused permit.
	minUnusedPause = 250 * time.Millisecond
	maxUnusedPause = 4 * time.Second
	// endRetention is the time for which the end of a limit is kept after the allocator has confirmed it,
	// which is longer than any reply may be delayed.
	endRetention = 5 * time.Second
)

// Limits holds the limits that one instance has received and the permits that it has. Use NewLimits. It is
// not safe for concurrent use.
type Limits struct {
	byTarget map[ident.TargetID]*limit
	ends     map[ident.TargetID]*end
	// kept is set while the leader grants permits. A leader of an earlier version sends no
	// snapshots and ends the connection on which it gets a Request, so limits are then only
	// observed.
	kept bool
}

// limit is a Limit with this instance's record of it.
type limit struct {
	Limit
	learnedAt clock.Time // when this instance learned of the limit or of its rate
	namedAt   clock.Time // when the target last named it to this instance; 0 if never
	// run is the allocator that has the limit, as of a request sent at knownAt; 0 if none is
	// known to.
	run     uint32
	knownAt clock.Time

	permits      []clock.Time // ends of the permits, ascending
	used         int          // permits used since the last request
	demand       int          // requests since the last request that might have used a permit
	starved      int          // of these, requests for which no other target was usable
	refusedUntil clock.Time   // as the allocator said, or because it did not reply
	askedAt      clock.Time   // last request
	pausedUntil  clock.Time   // because permits were not used
	pause        time.Duration
}

// end is the end of a limit as this instance saw it.
type end struct {
	Limit
	sentAt clock.Time // when the request was sent whose answer named no limit
	// knownAt is when the request was sent by which the allocator received it; 0 if none was yet.
	knownAt clock.Time
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits {
	return &Limits{byTarget: map[ident.TargetID]*limit{}, ends: map[ident.TargetID]*end{}}
}

// Observe records the statement of an answer. The request was sent to the given incarnation of the
// target at sentAt. A request that was sent before the limit was known cannot end it, because the
// target may have answered before it named the limit. It returns what changed.
func (l *Limits) Observe(now, sentAt clock.Time, id ident.TargetID, incarnation ident.Incarnation, s Statement) ChangedLimit {
	known := l.byTarget[id]
	if known != nil && known.Incarnation > incarnation {
		return ChangedLimit{}
	}
	switch s := s.(type) {
	case Named:
		change := Began
		if known == nil || known.Incarnation < incarnation {
			known = l.add(now, Limit{Target: id, Incarnation: incarnation, Rate: s.Rate})
		} else {
			change = known.setRate(now, s.Rate)
		}
		known.namedAt = now
		return ChangedLimit{known.Limit, change}
	case NotNamed:
		if known == nil || known.Incarnation < incarnation || !sentAt.After(known.learnedAt) {
			return ChangedLimit{}
		}
		delete(l.byTarget, id)
		l.ends[id] = &end{Limit: known.Limit, sentAt: sentAt}
		return ChangedLimit{known.Limit, Ended}
	default:
		return ChangedLimit{}
	}
}

func (l *Limits) add(now clock.Time, known Limit) *limit {
	added := &limit{Limit: known, learnedAt: now}
	l.byTarget[known.Target] = added
	delete(l.ends, known.Target)
	return added
}

func (k *limit) setRate(now clock.Time, rate ident.RequestsPerSecond) Change {
	if k.Rate == rate {
		return Unchanged
	}
	k.Rate, k.learnedAt, k.run = rate, now, 0
	return Began
}

// Kept reports whether limits are kept: whether the leader grants permits.
func (l *Limits) Kept() bool { return l.kept }

// Limited reports whether the target has a known limit.
func (l *Limits) Limited(id ident.TargetID) bool { return l.byTarget[id] != nil }

// Rate returns the rate limit of a target, and false if it has none.
func (l *Limits) Rate(id ident.TargetID) (ident.RequestsPerSecond, bool) {
	known := l.byTarget[id]
	if known == nil {
		return 0, false
	}
	return known.Rate, true
}

// Unreported reports whether there is a limit or an end that the allocator has not confirmed.
func (l *Limits) Unreported() bool {
	if !l.kept {
		return false
	}
	for _, known := range l.byTarget {
		if known.run == 0 {
			return true
		}
	}
	for _, e := range l.ends {
		if e.knownAt == 0 {
			return true
		}
	}
	return false
}

// Merge applies a snapshot from a reply to a request that was sent at requestedAt. current returns
// the incarnation of a target, or 0 if the target is unknown. It returns what changed.
func (l *Limits) Merge(now, requestedAt clock.Time, s Snapshot, current func(ident.TargetID) ident.Incarnation) []ChangedLimit {
	l.kept = s.Run != 0
	if !l.kept {
		return nil
	}
	var changed []ChangedLimit
	listed := map[ident.TargetID]bool{}
	for _, listedLimit := range s.Limits {
		listed[listedLimit.Target] = true
		if c := l.mergeLimit(now, requestedAt, s.Run, listedLimit, current); c != Unchanged {
			changed = append(changed, ChangedLimit{listedLimit, c})
		}
	}
	for id, known := range l.byTarget {
		if listed[id] {
			continue
		}
		switch {
		case known.run != s.Run || known.namedAt.After(requestedAt):
			known.run = 0 // to be reported
		case !requestedAt.Before(known.knownAt):
			delete(l.byTarget, id)
			changed = append(changed, ChangedLimit{known.Limit, Ended})
		}
	}
	return changed
}

// mergeLimit applies one limit of a snapshot.
func (l *Limits) mergeLimit(now, requestedAt clock.Time, run uint32, listed Limit, current func(ident.TargetID) ident.Incarnation) Change {
	if listed.Incarnation < current(listed.Target) {
		return Unchanged
	}
	if e := l.ends[listed.Target]; e != nil && e.Incarnation >= listed.Incarnation && (e.knownAt == 0 || requestedAt.Before(e.knownAt)) {
		return Unchanged // the allocator had not received the end yet
	}
	known := l.byTarget[listed.Target]
	change := Unchanged
	switch {
	case known != nil && known.Incarnation > listed.Incarnation:
		return Unchanged
	case known == nil || known.Incarnation < listed.Incarnation:
		known = l.add(now, listed)
		change = Began
	case known.Rate != listed.Rate && known.namedAt.After(requestedAt):
		return Unchanged // this instance has newer evidence, and reports it
	default:
		change = known.setRate(now, listed.Rate)
	}
	known.run, known.knownAt = run, max(known.knownAt, requestedAt)
	return change
}

// Forget removes the limits of the target's incarnations before the given one.
func (l *Limits) Forget(id ident.TargetID, incarnation ident.Incarnation) {
	if known := l.byTarget[id]; known != nil && known.Incarnation < incarnation {
		delete(l.byTarget, id)
	}
	if e := l.ends[id]; e != nil && e.Incarnation < incarnation {
		delete(l.ends, id)
	}
}

// Targets returns the targets with a known limit, in no particular order.
func (l *Limits) Targets() []ident.TargetID {
	targets := make([]ident.TargetID, 0, len(l.byTarget))
	for id := range l.byTarget {
		targets = append(targets, id)
	}
	return targets
}

// List returns the known limits, sorted by target.
func (l *Limits) List() []Limit {
	list := make([]Limit, 0, len(l.byTarget))
	for _, known := range l.byTarget {
		list = append(list, known.Limit)
	}
	slices.SortFunc(list, compareLimits)
	return list
}
