// Package feed hands short-lived hints from each instance to all others.
//
// The model. One collector keeps the newest items in the order of their arrival. Every instance
// asks for what has come since its cursor. A cursor of another run of the collector, or one that
// is too old, gets all that is kept. Items are hints: one that is lost makes a
// decision worse, never wrong.
package feed

import "slices"

// Cursor is a position in the items of one run of a collector.
type Cursor struct {
	Run  uint64 `msgpack:"run"` // 0 is none
	Next uint64 `msgpack:"next"`
}

// Log keeps the newest items. It is not safe for concurrent use.
type Log[T any] struct {
	run   uint64
	limit int
	items []T
	first uint64 // number of items[0]
}

// New returns an empty log of the given run, which is not 0, that keeps up to limit items.
func New[T any](run uint64, limit int) *Log[T] { return &Log[T]{run: run, limit: limit} }

// Append adds items.
func (l *Log[T]) Append(items ...T) {
	l.items = append(l.items, items...)
	if extra := len(l.items) - 2*l.limit; extra > 0 {
		drop := len(l.items) - l.limit
		l.items = slices.Clone(l.items[drop:])
		l.first += uint64(drop)
	}
}

// Since returns the items after a cursor and the cursor after them.
func (l *Log[T]) Since(c Cursor) ([]T, Cursor) {
	next := Cursor{Run: l.run, Next: l.first + uint64(len(l.items))}
	from := uint64(0)
	if c.Run == l.run && c.Next > l.first {
		from = min(c.Next-l.first, uint64(len(l.items)))
	}
	return l.items[from:len(l.items):len(l.items)], next
}
