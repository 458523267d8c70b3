// Package queue provides a bounded queue between goroutines. A full queue rejects the
// newest value with a typed error; it never blocks the sender.
package queue

import "github.com/hickoryridge/hickoryridge/fault"

// Queue is a bounded queue of values of type T. It is safe for concurrent use.
type Queue[T any] struct {
	name string
	c    chan T
}

// New returns a queue that holds up to n values. The name appears in errors.
func New[T any](name string, n int) *Queue[T] {
	return &Queue[T]{name: name, c: make(chan T, n)}
}

// Push adds v, or returns a fault.Overloaded error if the queue is full.
func (q *Queue[T]) Push(v T) error {
	select {
	case q.c <- v:
		return nil
	default:
		return fault.New(fault.Overloaded, "queue %s is full at its capacity of %d entries", q.name, cap(q.c))
	}
}

// C returns the channel on which values are received.
func (q *Queue[T]) C() <-chan T { return q.c }

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.c) }

// Drain removes up to n queued values and calls f for each of them. It does not block.
func (q *Queue[T]) Drain(n int, f func(T)) {
	for range n {
		select {
		case v := <-q.c:
			f(v)
		default:
			return
		}
	}
}
