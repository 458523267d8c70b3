// Package limittest states, for tests, how many requests a target with a rate limit may get.
package limittest

import (
	"fmt"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

const (
	// Settle is the time after a target first named a limit from which the limit binds.
	Settle = 4 * time.Second
	// Window is the length of the windows in which requests count.
	Window = 4 * time.Second
	// Told is the time after an instance saw an answer with the limit from which its requests count.
	Told = 500 * time.Millisecond
)

// Allowed returns the requests that a target with a limit may get in one window.
func Allowed(rate ident.RequestsPerSecond) int {
	return int(1.5*float64(rate)*Window.Seconds()) + 5
}

// Most returns the largest number of arrivals in any window. The arrivals are in order.
func Most(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// From returns the arrivals at or after a time.
func From(arrivals []time.Time, from time.Time) []time.Time {
	for i, at := range arrivals {
		if !at.Before(from) {
			return arrivals[i:]
		}
	}
	return nil
}

// Span is a time from which a target names a rate limit, or none if the rate is negative.
type Span struct {
	From time.Time
	Rate ident.RequestsPerSecond
}

// Arrival is the arrival of a request at a target.
type Arrival struct {
	At   time.Time
	Told bool // it counts: its sender had seen an answer with the limit for at least Told
}

// Check returns an error for the first window with more requests that count than the limits named
// around it allow. A window is judged by the highest limit, and only if the target named limits from
// Settle before it to its end. Spans and arrivals are in order.
func Check(spans []Span, arrivals []Arrival) error {
	first := 0
	for i, last := range arrivals {
		for last.At.Sub(arrivals[first].At) > Window {
			first++
		}
		rate, always := highestRate(spans, arrivals[first].At.Add(-Settle), last.At)
		if !always {
			continue
		}
		n := 0
		for _, a := range arrivals[first : i+1] {
			if a.Told {
				n++
			}
		}
		if n > Allowed(rate) {
			return fmt.Errorf("with a limit of %.1f/s got %d requests within %v until %v, at most %d allowed", rate, n, Window, last.At.Format("05.000"), Allowed(rate))
		}
	}
	return nil
}

// highestRate returns the highest rate that was named at any time between two times, and false if
// none was named for some of that time.
func highestRate(spans []Span, from, to time.Time) (highest ident.RequestsPerSecond, always bool) {
	always = len(spans) > 0 && !spans[0].From.After(from)
	for i, span := range spans {
		if span.From.After(to) || i+1 < len(spans) && !spans[i+1].From.After(from) {
			continue
		}
		highest = max(highest, span.Rate)
		always = always && span.Rate >= 0
	}
	return highest, always
}
