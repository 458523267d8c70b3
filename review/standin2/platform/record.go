package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time

	mu sync.Mutex
	f  *os.File
	w  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// since returns the time since the start of the run, in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", r.since(time.Now()), fmt.Sprintf(format, args...)) // close reports errors
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.f.Close() // was flushed
}
