// Package walltime estimates true time on an instance whose own wall clock may be wrong.
//
// Voters report their wall clocks in replies. Each reply is a sample of the offset between the instance's steady
// clock and that voter's wall clock; its error is at most half the round trip. The estimate is the median over the
// voters, so that a jump of the clocks of less than half of them changes it by no more than the spread of the others.
//
// An Estimator does no I/O, holds no lock and reads no clock: the caller serializes access and passes the time.
package walltime

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// maxSampleAge is the age at which a voter's last sample no longer counts.
const maxSampleAge = 15 * time.Second

// Estimator holds the newest sample of each voter. The zero value has none.
type Estimator struct {
	samples map[ident.InstanceID]sample
}

// sample is the offset of a voter's wall clock from the instance's steady clock.
type sample struct {
	offset int64 // in milliseconds
	at     clock.Time
}

// Observe records the wall clock that a voter had between the sending of a request and now. 0 means that the voter
// reported none.
func (e *Estimator) Observe(now, requestedAt clock.Time, voter ident.InstanceID, wall state.UnixMillis) {
	if wall <= 0 {
		return
	}
	if e.samples == nil {
		e.samples = map[ident.InstanceID]sample{}
	}
	middle := requestedAt.Add(now.Sub(requestedAt) / 2)
	e.samples[voter] = sample{offset: int64(wall) - milliseconds(middle), at: now}
}

// Now returns the estimate of true time, and false if there is no recent sample.
func (e *Estimator) Now(now clock.Time) (state.UnixMillis, bool) {
	offsets := make([]int64, 0, len(e.samples))
	for voter, s := range e.samples {
		if now.Sub(s.at) > maxSampleAge {
			delete(e.samples, voter)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	n := len(offsets)
	median := (offsets[(n-1)/2] + offsets[n/2]) / 2
	return state.UnixMillis(milliseconds(now) + median), true
}

func milliseconds(t clock.Time) int64 { return time.Duration(t).Milliseconds() }
