// Package clock reads the boot-time clock, which measures leases. It advances also while
// the process is stopped and while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, as the duration since the machine's boot. Times of different
// machines are not comparable.
type Time time.Duration

// Now returns the current time. It is safe for concurrent use.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is before u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is after u.
func (t Time) After(u Time) bool { return t > u }
