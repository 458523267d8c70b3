// Package limittest states, for tests, how many requests a target with a rate limit may get.
package limittest

import (
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
