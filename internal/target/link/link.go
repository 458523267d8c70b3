// Package link distinguishes an instance that is cut off from all targets from targets that are down.
//
// An instance that cannot open connections sees the same in both cases. So once several targets have
// failed and none could be connected to since, the instance checks: it opens connections to a few
// targets by itself, and asks another instance to open some. It is cut off if only the other one can.
// Targets that are down for everybody are no partition, and neither is a target or two that only
// this instance cannot reach: there are others for its requests.
//
// While an instance is cut off, it checks again and again, and is not as soon as one target can be
// connected to. A check decides by what it finds, not by what was found before, so the answer does
// not oscillate while the link stays the same.
//
// Monitor does no I/O, holds no lock and reads no clock.
package link

import (
	"maps"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// failureSpan is the time for which a failure counts.
	failureSpan = 3 * time.Second
	// minFailed is the number of targets whose failure makes a check due at once.
	minFailed = 2
	// loneFailureWait is the time after which one is enough, if no connection has been opened since: an
	// instance with few requests would need too long to see another.
	loneFailureWait = 500 * time.Millisecond
	// checkPause is the shortest time between two checks.
	checkPause = 200 * time.Millisecond
	// SampleSize is the number of targets to which a check opens connections.
	SampleSize = 3
)

// Result is the outcome of a check: of SampleSize targets or fewer, how many could be connected to by
// this instance, and how many by another one. The latter are not counted if this instance reached one.
type Result struct {
	Direct, Relayed int
}

// Monitor records what happens when connections to targets are opened. The zero value is ready to use.
// It is not safe for concurrent use.
type Monitor struct {
	failed  map[string]clock.Time // first failure since a connection was opened, by address
	checked clock.Time            // end of the last check
	cutOff  bool
}

// CutOff reports whether this instance is cut off from all targets.
func (m *Monitor) CutOff() bool { return m.cutOff }

// Failed records that no connection to an address could be opened, or that one received no reply until
// its timeout.
func (m *Monitor) Failed(now clock.Time, addr string) {
	if m.failed == nil {
		m.failed = map[string]clock.Time{}
	}
	if _, known := m.failed[addr]; !known {
		m.failed[addr] = now
	}
}

// Opened records that a connection was opened.
func (m *Monitor) Opened() { clear(m.failed) }

// Doubtful reports whether the failures of targets may be those of the link. Then they are no evidence
// against the targets.
func (m *Monitor) Doubtful(now clock.Time) bool {
	m.forget(now)
	return m.cutOff || len(m.failed) >= minFailed
}

// Due reports whether it is time for a check.
func (m *Monitor) Due(now clock.Time) bool {
	if now.Sub(m.checked) < checkPause {
		return false
	}
	if m.Doubtful(now) {
		return true
	}
	for _, at := range m.failed {
		if now.Sub(at) >= loneFailureWait {
			return true
		}
	}
	return false
}

// forget removes failures that are too old to count.
func (m *Monitor) forget(now clock.Time) {
	maps.DeleteFunc(m.failed, func(_ string, at clock.Time) bool { return now.Sub(at) > failureSpan })
}

// Checked records the result of a check that ended now, and reports whether CutOff has changed.
func (m *Monitor) Checked(now clock.Time, r Result) bool {
	before := m.cutOff
	m.checked = now
	switch {
	case r.Direct > 0:
		m.cutOff = false
		m.Opened()
	case r.Relayed > 0:
		m.cutOff = true
	}
	return m.cutOff != before
}
