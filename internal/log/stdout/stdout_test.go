package stdout

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *lockedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestBlockedReader fills a pipe that is not read. Write must not block, and lines about
// failures must be kept when lines about successful requests are dropped.
func TestBlockedReader(t *testing.T) {
	r, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	w := New(out, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		long := strings.Repeat("x", 1<<10)
		for i := range 2000 {
			_, _ = fmt.Fprintf(w, "event=placed n=%d %s\n", i, long)
		}
		for i := range 30 {
			_, _ = fmt.Fprintf(w, "event=forward_failed n=%d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the reader")
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	text := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(r)
		text <- string(data)
	}()
	time.Sleep(50 * time.Millisecond) // lets the reader empty the pipe
	_, _ = fmt.Fprintf(w, "event=last x\n")
	time.Sleep(50 * time.Millisecond)
	cancel()
	<-ended
	_ = out.Close()
	got := <-text
	if n := strings.Count(got, "event=forward_failed"); n != 30 {
		t.Errorf("%d lines about failures, want 30", n)
	}
	if !strings.Contains(got, "event=log_dropped") || !strings.Contains(got, "event=last") {
		t.Error("the log_dropped line or the last line is missing")
	}
}

// TestOrderAndFlush checks that lines are written in order, and that queued lines are
// written when Run ends.
func TestOrderAndFlush(t *testing.T) {
	var out lockedBuffer
	w := New(&out, 1000)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	want := ""
	for i := range 300 {
		line := fmt.Sprintf("event=x n=%d\n", i)
		want += line
		_, _ = io.WriteString(w, line)
	}
	cancel()
	<-ended
	if out.String() != want {
		t.Errorf("wrote %q, want every line in order", out.String())
	}
}
