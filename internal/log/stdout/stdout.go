// Package stdout writes log lines without ever holding up the work that they tell of.
//
// The model. Lines go into a bounded ring, and one duty writes them out. A reader that does not
// read fills the ring; then lines are dropped and counted, and the count is written when
// there is room again. Lines of requests that went well are dropped first, from half the ring on:
// those of failures and of changed beliefs are what someone will look for.
package stdout

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/queue"
)

const (
	// DefaultLines is the number of lines that wait to be written at most.
	DefaultLines = 4096
	// flushTimeout bounds the writing of the last lines at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// lowPriority marks the lines that are dropped first.
var lowPriority = [][]byte{[]byte("event=placed "), []byte("event=forwarded ")}

// Writer is an io.Writer that never blocks. Use New.
type Writer struct {
	out        io.Writer
	lines      *queue.Queue[[]byte]
	capacity   int
	unreported atomic.Uint64 // since the last line that told of it
	total      atomic.Uint64
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that keeps up to n lines for out. Its owner runs Run.
func New(out io.Writer, n int) *Writer {
	return &Writer{out: out, lines: queue.New[[]byte]("log", n), capacity: n}
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Len() >= w.capacity/2 && isLowPriority(line) || w.lines.Push(bytes.Clone(line)) != nil {
		w.unreported.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

func isLowPriority(line []byte) bool {
	for _, m := range lowPriority {
		if bytes.Contains(line, m) {
			return true
		}
	}
	return false
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run is the duty that writes lines until ctx ends, and then those that still wait, within a
// bound. Nobody reads the errors of a broken output.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case line := <-w.lines.C():
			w.write(line)
		}
	}
}

// write writes a line and what waits behind it in one call.
func (w *Writer) write(line []byte) {
	w.lines.Drain(w.capacity, func(next []byte) { line = append(line, next...) })
	if n := w.unreported.Swap(0); n > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=\"log lines were dropped\" event=log_dropped lines=%d\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line) // see Run
}

// flush writes what still waits. A blocked output keeps it, and its goroutine ends with the
// process.
func (w *Writer) flush() {
	done := make(chan struct{})
	go func() {
		w.lines.Drain(w.capacity, w.write)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
