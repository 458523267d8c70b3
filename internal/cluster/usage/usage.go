// Package usage counts the requests of each workspace that began at targets, by windows of true time.
//
// A Counter is the part of an instance: it counts, and hands its totals so far to the leader. A total replaces the one
// before, so that repeated, late and lost messages change nothing. Totals is the part of the leader: it sums what the
// instances have handed over, also the earlier runs of an instance, and says when a window is complete.
//
// Neither type does I/O, holds a lock or reads a clock: the caller serializes access, and passes the time to a Counter.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// Window numbers the windows of a fixed length since the beginning of 1970, in true time.
type Window uint64

// WindowOf returns the window that a time lies in.
func WindowOf(at state.UnixMillis, length time.Duration) Window {
	return Window(max(0, int64(at)) / length.Milliseconds())
}

// End returns the end of a window.
func (w Window) End(length time.Duration) state.UnixMillis {
	return state.UnixMillis(int64(w+1) * length.Milliseconds())
}

// Counts are the requests of each workspace.
type Counts map[ident.TenantID]uint64

// WindowCounts are the requests that began in a window.
type WindowCounts struct {
	Window Window `msgpack:"window"`
	Counts Counts `msgpack:"counts"`
}

// Report is what an instance hands over: totals so far of the windows that have changed.
type Report struct {
	// Complete is the newest window in which the instance counts no more, and neither in any before.
	Complete Window         `msgpack:"complete"`
	Windows  []WindowCounts `msgpack:"windows"`
}

// Receipt is the leader's reply to a Report.
type Receipt struct {
	Run uint64 `msgpack:"run"` // identifies what the leader remembers; another leader remembers nothing
	// Closed is the newest window of which nothing is needed any more.
	Closed Window `msgpack:"closed"`
}

// maxOpenWindows bounds the windows that a Counter keeps while no leader replies.
const maxOpenWindows = 32

// Counter counts the requests that began at one instance. Use NewCounter.
type Counter struct {
	length  time.Duration
	open    map[Window]*openWindow
	closed  Window
	run     uint64 // of the leader that has replied last
	dropped uint64 // requests that came too late for their window
}

// openWindow is a window that has not been closed.
type openWindow struct {
	counts       Counts
	changes      uint64
	taken, acked uint64 // changes that the last report held, and that the leader has
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, open: map[Window]*openWindow{}}
}

// Began counts a request of a workspace that began at a time.
func (c *Counter) Began(at state.UnixMillis, workspace ident.TenantID) {
	w := WindowOf(at, c.length)
	if w <= c.closed {
		c.dropped++
		return
	}
	o := c.open[w]
	if o == nil {
		o = &openWindow{counts: Counts{}}
		c.open[w] = o
		c.dropOldest()
	}
	o.counts[workspace]++
	o.changes++
}

// dropOldest drops the oldest window if there are too many.
func (c *Counter) dropOldest() {
	if len(c.open) <= maxOpenWindows {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(c.open)))
	for _, n := range c.open[oldest].counts {
		c.dropped += n
	}
	delete(c.open, oldest)
}

// Take returns what the leader lacks. Requests are counted within lag of their beginning.
func (c *Counter) Take(now state.UnixMillis, lag time.Duration) Report {
	r := Report{}
	if w := WindowOf(now-state.UnixMillis(lag.Milliseconds()), c.length); w > 0 {
		r.Complete = w - 1
	}
	for w, o := range c.open {
		o.taken = o.changes
		if o.acked != o.changes {
			r.Windows = append(r.Windows, WindowCounts{w, maps.Clone(o.counts)})
		}
	}
	slices.SortFunc(r.Windows, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })
	return r
}

// Acked records the reply to the report that was taken last. Another leader gets everything with the next report.
func (c *Counter) Acked(receipt Receipt) {
	for w, o := range c.open {
		switch {
		case w <= receipt.Closed:
			delete(c.open, w)
		case receipt.Run == c.run:
			o.acked = o.taken
		default:
			o.acked = 0
		}
	}
	c.run = receipt.Run
	c.closed = max(c.closed, receipt.Closed)
}

// Dropped returns the number of requests that were not counted, since they came too late for their window.
func (c *Counter) Dropped() uint64 { return c.dropped }

// Totals holds what the instances have handed over to a leader. Use NewTotals.
type Totals struct {
	run       uint64
	instances map[ident.InstanceID]*instanceTotals
	closed    Window
}

// instanceTotals is what one instance has handed over.
type instanceTotals struct {
	boot     ident.BootID
	complete Window
	current  map[Window]Counts // of this run
	earlier  map[Window]Counts // of all earlier runs together
}

// NewTotals returns the totals of a leader that has none. run must not be 0 and must differ from those of earlier
// leaders. Windows up to closed are not needed.
func NewTotals(run uint64, closed Window) *Totals {
	return &Totals{run: run, instances: map[ident.InstanceID]*instanceTotals{}, closed: closed}
}

// Record records a report.
func (t *Totals) Record(from ident.InstanceID, boot ident.BootID, r Report) Receipt {
	in := t.instances[from]
	if in == nil {
		in = &instanceTotals{boot: boot, current: map[Window]Counts{}, earlier: map[Window]Counts{}}
		t.instances[from] = in
	}
	if in.boot != boot {
		for w, counts := range in.current {
			in.earlier[w] = add(in.earlier[w], counts)
		}
		in.boot, in.current = boot, map[Window]Counts{}
	}
	in.complete = r.Complete
	for _, w := range r.Windows {
		if w.Window > t.closed {
			in.current[w.Window] = w.Counts
		}
	}
	return Receipt{Run: t.run, Closed: t.closed}
}

// Complete reports whether all the given instances have completed a window.
func (t *Totals) Complete(w Window, instances []ident.InstanceID) bool {
	return len(instances) > 0 && !slices.ContainsFunc(instances, func(id ident.InstanceID) bool {
		in := t.instances[id]
		return in == nil || in.complete < w
	})
}

// Counts returns the requests that began in a window at all instances.
func (t *Totals) Counts(w Window) Counts {
	sum := Counts{}
	for _, in := range t.instances {
		sum = add(sum, in.current[w])
		sum = add(sum, in.earlier[w])
	}
	return sum
}

// Close drops a window and all before it.
func (t *Totals) Close(w Window) {
	t.closed = max(t.closed, w)
	for _, in := range t.instances {
		for _, windows := range []map[Window]Counts{in.current, in.earlier} {
			maps.DeleteFunc(windows, func(at Window, _ Counts) bool { return at <= t.closed })
		}
	}
}

// Closed returns the newest window that was closed.
func (t *Totals) Closed() Window { return t.closed }

func add(sum, counts Counts) Counts {
	if sum == nil {
		sum = make(Counts, len(counts))
	}
	for workspace, n := range counts {
		sum[workspace] += n
	}
	return sum
}
