// Package startup records by which steps an instance came from its start to its first answer.
//
// Load pattern: all processes start at the same moment, and all callers come back at once. Which step takes the longest
// decides how long nobody is served, and differs with the number of instances, their disks and their links.
package startup

import (
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Step is a step from the start of an instance to its first answer.
type Step uint8

// The steps, in the usual order.
const (
	Voter     Step = iota // a voter is known
	Lease                 // the first configuration lease
	Target                // the first target
	Placer                // the first reply of a placer
	Answer                // the first complete answer to a caller
	stepCount             // number of steps
)

// String returns the name of the step for logs.
func (s Step) String() string {
	return [stepCount]string{"voter", "lease", "target", "placer", "answer"}[s]
}

// Record holds when the steps were reached. Use New. It is safe for concurrent use.
type Record struct {
	started clock.Time

	mu    sync.Mutex
	times [stepCount]time.Duration // since the start; 0 if the step has not been reached
}

// New returns the record of an instance that starts now.
func New(now clock.Time) *Record { return &Record{started: now} }

// Reach records that a step is reached. It returns whether that is the first time.
func (r *Record) Reach(now clock.Time, s Step) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.times[s] > 0 {
		return false
	}
	r.times[s] = max(1, now.Sub(r.started))
	return true
}

// Times returns how long after the start each step was reached, without those that have not been.
func (r *Record) Times() map[Step]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := map[Step]time.Duration{}
	for s, d := range r.times {
		if d > 0 {
			reached[Step(s)] = d
		}
	}
	return reached
}
