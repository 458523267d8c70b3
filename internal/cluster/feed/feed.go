// Package feed distributes short-lived hints from each instance to all others.
//
// One collector keeps the newest items in the order of arrival. Every instance requests the items
// after its cursor. A cursor that belongs to another run of the collector, or that is too old,
// receives all items that are kept. Items are hints: the loss of one makes a decision less good but
// never incorrect.
package feed

import "slices"

// Cursor is a position in the items of one run of a collector.
type Cursor struct {
	Run  uint64 `msgpack:"run"`  // 0 means none
	Next uint64 `msgpack:"next"` // index of the first item after the cursor
}

// Log keeps the newest items. It is not safe for concurrent use.
type Log[T any] struct {
	run   uint64
	limit int
	items []T
	first uint64 // index of items[0]
}

// New returns an empty log that keeps at least the newest limit items. run identifies the run and
// must not be 0.
func New[T any](run uint64, limit int) *Log[T] { return &Log[T]{run: run, limit: limit} }

// Append adds items. Once the log holds more than twice the limit, it drops all but the newest
// limit items.
func (l *Log[T]) Append(items ...T) {
	l.items = append(l.items, items...)
	if extra := len(l.items) - 2*l.limit; extra > 0 {
		drop := len(l.items) - l.limit
		l.items = slices.Clone(l.items[drop:])
		l.first += uint64(drop)
	}
}

// Since returns the items after a cursor, and the cursor after the newest item.
func (l *Log[T]) Since(c Cursor) ([]T, Cursor) {
	next := Cursor{Run: l.run, Next: l.first + uint64(len(l.items))}
	from := uint64(0)
	if c.Run == l.run && c.Next > l.first {
		from = min(c.Next-l.first, uint64(len(l.items)))
	}
	return l.items[from:len(l.items):len(l.items)], next
}
