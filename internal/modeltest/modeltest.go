// Package modeltest runs models of many instances in simulated time, for tests.
package modeltest

import (
	"container/heap"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Start is the time at which a timeline begins.
const Start = clock.Time(time.Hour)

// Timeline runs functions in the order of their time. Use NewTimeline.
type Timeline struct {
	Now       clock.Time
	events    eventQueue
	scheduled int
}

// NewTimeline returns a timeline at Start.
func NewTimeline() *Timeline { return &Timeline{Now: Start} }

// After schedules f. Functions of the same time run in the order of their scheduling.
func (t *Timeline) After(d time.Duration, f func()) {
	t.scheduled++
	heap.Push(&t.events, event{t.Now.Add(d), t.scheduled, f})
}

// Run runs what is scheduled before the given time after Start.
func (t *Timeline) Run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at.Before(Start.Add(until)) {
		e := heap.Pop(&t.events).(event)
		t.Now = e.at
		e.run()
	}
}

type event struct {
	at  clock.Time
	seq int
	run func()
}

// eventQueue is a heap with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends x; it implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last element; it implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
