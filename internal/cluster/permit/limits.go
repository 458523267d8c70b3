// Package permit keeps the requests that a target receives from all instances together within the
// rate limit that the target names in its answers.
//
// The package holds no lock and reads no clock: the caller serializes access and passes the time.
package permit

import (
	"cmp"
	"slices"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Limit is the rate limit of one incarnation of a target.
type Limit struct {
	Target      ident.TargetID          `msgpack:"target"`
	Incarnation ident.Incarnation       `msgpack:"incarnation"`
	Rate        ident.RequestsPerSecond `msgpack:"rate"`
}

// Change is what a statement of a target changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began            // the limit is new or has another rate
	Ended            // the target has no limit any more
)

// Limits holds the rate limits that one instance knows. Use NewLimits. It is not safe for concurrent
// use.
type Limits struct {
	byTarget map[ident.TargetID]*limit
}

// limit is a Limit with what this instance knows of it.
type limit struct {
	Limit
	learnedAt clock.Time // when this instance learned of the limit or of its rate
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits { return &Limits{byTarget: map[ident.TargetID]*limit{}} }

// Observe records the statement of an answer. The request was sent to the given incarnation of the
// target at sentAt. A request that was sent before the limit was known cannot end it, because the
// target may have answered before it named the limit.
func (l *Limits) Observe(now, sentAt clock.Time, id ident.TargetID, incarnation ident.Incarnation, s Statement) Change {
	known := l.byTarget[id]
	if known != nil && known.Incarnation > incarnation {
		return Unchanged
	}
	switch s := s.(type) {
	case Named:
		if known != nil && known.Incarnation == incarnation && known.Rate == s.Rate {
			return Unchanged
		}
		l.byTarget[id] = &limit{Limit: Limit{Target: id, Incarnation: incarnation, Rate: s.Rate}, learnedAt: now}
		return Began
	case NotNamed:
		if known == nil || !sentAt.After(known.learnedAt) {
			return Unchanged
		}
		delete(l.byTarget, id)
		return Ended
	default:
		return Unchanged
	}
}

// Forget removes the limits of the target's incarnations before the given one.
func (l *Limits) Forget(id ident.TargetID, incarnation ident.Incarnation) {
	if known := l.byTarget[id]; known != nil && known.Incarnation < incarnation {
		delete(l.byTarget, id)
	}
}

// Limited reports whether the target has a known limit.
func (l *Limits) Limited(id ident.TargetID) bool { return l.byTarget[id] != nil }

// List returns the known limits, sorted by target.
func (l *Limits) List() []Limit {
	list := make([]Limit, 0, len(l.byTarget))
	for _, known := range l.byTarget {
		list = append(list, known.Limit)
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
