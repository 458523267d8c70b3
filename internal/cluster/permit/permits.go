package permit

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// keptLimit returns the limit that is kept at a target, or nil if there is none.
func (l *Limits) keptLimit(id ident.TargetID) *limit {
	if !l.kept {
		return nil
	}
	return l.byTarget[id]
}

// Available reports whether the target may get a request now: no limit is kept there, or there is a
// permit.
func (l *Limits) Available(now clock.Time, id ident.TargetID) bool {
	known := l.keptLimit(id)
	if known == nil {
		return true
	}
	known.dropExpired(now)
	return len(known.permits) > 0
}

// dropExpired drops the permits that are no longer valid.
func (k *limit) dropExpired(now clock.Time) {
	for len(k.permits) > 0 && !now.Before(k.permits[0]) {
		k.pause = min(max(2*k.pause, minUnusedPause), maxUnusedPause)
		k.pausedUntil = k.permits[0].Add(k.pause)
		k.permits = k.permits[1:]
	}
}

// Permit is a permit that was taken, for Return.
type Permit struct {
	target      ident.TargetID
	incarnation ident.Incarnation
	ends        clock.Time // 0 if none was needed
}

// Take takes a permit for one request. It returns false if the target has a limit and there is no
// permit.
func (l *Limits) Take(now clock.Time, id ident.TargetID) (Permit, bool) {
	known := l.keptLimit(id)
	if known == nil {
		return Permit{}, true
	}
	known.dropExpired(now)
	if len(known.permits) == 0 {
		return Permit{}, false
	}
	taken := Permit{id, known.Incarnation, known.permits[0]}
	known.permits = known.permits[1:]
	known.used++
	known.pause, known.pausedUntil = 0, 0
	return taken, true
}

// Return gives back a permit whose request was not sent. It returns the target, and false if the
// permit is of no more use.
func (l *Limits) Return(now clock.Time, p Permit) (ident.TargetID, bool) {
	known := l.byTarget[p.target]
	if known == nil || known.Incarnation != p.incarnation || !now.Before(p.ends) {
		return "", false
	}
	i, _ := slices.BinarySearch(known.permits, p.ends)
	known.permits = slices.Insert(known.permits, i, p.ends)
	known.used = max(0, known.used-1)
	return p.target, true
}

// Demand records a request that might have used a permit for the target, and whether no other
// target was usable for it. It reports whether a request for permits is due.
func (l *Limits) Demand(now clock.Time, id ident.TargetID, starved bool) bool {
	known := l.keptLimit(id)
	if known == nil {
		return false
	}
	known.demand++
	if starved {
		known.starved++
	}
	return known.wanted(now) > 0
}

// wanted returns the permits to ask for now.
func (k *limit) wanted(now clock.Time) int {
	k.dropExpired(now)
	if len(k.permits) > 0 || now.Before(k.refusedUntil) {
		return 0
	}
	usable := min(k.demand, 2*k.used+1) // as far as permits have been of use
	if now.Before(k.pausedUntil) || now.Sub(k.askedAt) < askInterval {
		usable = 0
	}
	return min(max(k.starved, usable), maxWanted)
}

// RetryAfter returns the time after which a permit for the target may be had, and false if it has
// no known limit.
func (l *Limits) RetryAfter(now clock.Time, id ident.TargetID) (time.Duration, bool) {
	known := l.byTarget[id]
	if known == nil {
		return 0, false
	}
	return max(0, known.refusedUntil.Sub(now)), true
}

// Request returns the request for permits that is due now, and false if none is.
func (l *Limits) Request(now clock.Time) (Request, bool) {
	var r Request
	if !l.kept {
		return r, false
	}
	for _, known := range l.byTarget {
		wanted := known.wanted(now)
		if known.run != 0 && wanted == 0 {
			continue
		}
		at := known.learnedAt
		if known.namedAt != 0 {
			at = known.namedAt
		}
		r.Observations = append(r.Observations, Observation{Limit: known.Limit, Age: now.Sub(at), Wanted: wanted})
		if wanted > 0 {
			known.demand, known.starved, known.used, known.askedAt = 0, 0, 0, now
		}
	}
	for id, e := range l.ends {
		switch {
		case e.knownAt == 0:
			r.Observations = append(r.Observations, Observation{Limit: e.Limit, Age: now.Sub(e.sentAt), Ended: true})
		case now.Sub(e.knownAt) > endRetention:
			delete(l.ends, id)
		}
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return compareLimits(a.Limit, b.Limit) })
	return r, len(r.Observations) > 0
}

// Apply applies the reply to a request that was sent at requestedAt. current returns the incarnation
// of a target, or 0 if the target is unknown. It returns what changed.
func (l *Limits) Apply(now, requestedAt clock.Time, r Request, reply Reply, current func(ident.TargetID) ident.Incarnation) []ChangedLimit {
	for _, o := range r.Observations {
		if e := l.ends[o.Limit.Target]; o.Ended && e != nil && e.Incarnation == o.Limit.Incarnation {
			e.knownAt = requestedAt
		}
		if known := l.byTarget[o.Limit.Target]; !o.Ended && known != nil && known.Limit == o.Limit {
			known.run, known.knownAt = reply.Known.Run, requestedAt
		}
	}
	for _, g := range reply.Grants {
		l.addGrant(now, requestedAt, g)
	}
	return l.Merge(now, requestedAt, reply.Known, current)
}

func (l *Limits) addGrant(now, requestedAt clock.Time, g Grant) {
	known := l.byTarget[g.Target]
	if known == nil || known.Incarnation != g.Incarnation {
		return
	}
	known.refusedUntil = now.Add(min(max(g.RetryAfter, 0), maxRetryAfter))
	ends := requestedAt.Add(PermitTime)
	for range min(g.Count, maxWanted) {
		known.permits = append(known.permits, ends)
	}
	slices.Sort(known.permits)
}

// Failed records that a request got no reply.
func (l *Limits) Failed(now clock.Time, r Request) {
	for _, o := range r.Observations {
		if known := l.byTarget[o.Limit.Target]; known != nil && o.Wanted > 0 {
			known.refusedUntil = now.Add(failurePause)
		}
	}
}
