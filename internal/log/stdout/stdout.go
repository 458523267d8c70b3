// Package stdout writes log lines without blocking the code that logs them.
//
// Lines are added to a bounded queue, and one goroutine writes them. If the reader of the
// output stalls, the queue fills up. Lines are then dropped and counted, and the count is
// logged when the output accepts lines again. Lines about successful requests are dropped
// first, as soon as the queue is half full, because failures and state changes matter more
// in diagnosis.
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
	// DefaultLines is the default capacity of the queue, in lines.
	DefaultLines = 4096
	// flushTimeout bounds the time for writing the queued lines when the process ends.
	flushTimeout = 500 * time.Millisecond
)

// lowPriority identifies the lines that are dropped first.
var lowPriority = [][]byte{[]byte("event=placed "), []byte("event=forwarded ")}

// Writer is an io.Writer that never blocks. Use New to create one. Write and Dropped are
// safe for concurrent use.
type Writer struct {
	out        io.Writer
	lines      *queue.Queue[[]byte]
	capacity   int
	unreported atomic.Uint64 // lines dropped since the last log_dropped line
	total      atomic.Uint64 // lines dropped since the start
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that queues up to n lines for out. The caller must call Run.
func New(out io.Writer, n int) *Writer {
	return &Writer{out: out, lines: queue.New[[]byte]("log", n), capacity: n}
}

// Write queues a copy of one line, or drops it if the queue is too full. It never fails.
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

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run writes lines until ctx ends, and then the lines still queued, for at most
// flushTimeout. Errors of the output are ignored, because there is nowhere to report them.
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

// write writes a line, together with the lines queued after it, in one call.
func (w *Writer) write(line []byte) {
	w.lines.Drain(w.capacity, func(next []byte) { line = append(line, next...) })
	if n := w.unreported.Swap(0); n > 0 {
		line = fmt.Appendf(line, "time=%q level=warning msg=\"log lines were dropped\" event=log_dropped lines=%d\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line) // see Run
}

// flush writes the queued lines. If the output blocks, they are lost, and the goroutine
// ends with the process.
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
