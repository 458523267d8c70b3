// Package queue provides the bounded queue that joins two duties. A full ring
// sheds the newest value with a typed error; it never blocks the sender.
package queue

import "github.com/hickoryridge/hickoryridge/fault"

// Queue is a bounded queue of values of type T. It is safe for concurrent use.
type Queue[T any] struct {
	name string
	c    chan T
}

// New returns a ring that holds up to n values. The name appears in errors.
func New[T any](name string, n int) *Queue[T] {
	return &Queue[T]{name: name, c: make(chan T, n)}
}

// Push adds v, or returns a fault.Overloaded error if the ring is full.
func (r *Queue[T]) Push(v T) error {
	select {
	case r.c <- v:
		return nil
	default:
		return fault.New(fault.Overloaded, "ring %s is full at %d entries", r.name, cap(r.c))
	}
}

// C returns the channel to receive values from.
func (r *Queue[T]) C() <-chan T { return r.c }

// Len returns the number of queued values.
func (r *Queue[T]) Len() int { return len(r.c) }

// Drain calls f for queued values until none is left or n were taken.
func (r *Queue[T]) Drain(n int, f func(T)) {
	for range n {
		select {
		case v := <-r.c:
			f(v)
		default:
			return
		}
	}
}
