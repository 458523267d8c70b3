// Package task runs the long-lived goroutines of a process. A task receives a context and,
// when it returns, sends its result to the Group that owns it.
package task

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Result is the name of a task that has returned, and its error.
type Result struct {
	Name string
	Err  error
}

// Group is a set of goroutines that are stopped together. Use New to create one.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results chan Result

	mu       sync.Mutex
	running  int
	firstErr error
}

// New returns a group whose tasks are stopped when ctx ends.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, results: make(chan Result)}
}

// Context returns the context that is passed to the tasks.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine as a task. It is safe for concurrent use. The owner must call
// Wait, because a task blocks at its end until its result is received.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		err := f(g.ctx)
		g.results <- Result{Name: name, Err: err}
	}()
}

// Stop cancels the context of every task.
func (g *Group) Stop() { g.cancel() }

// Wait waits for every task to return. The first error stops the other tasks and is
// returned. context.Canceled is not treated as an error.
func (g *Group) Wait() error {
	for {
		g.mu.Lock()
		n := g.running
		g.mu.Unlock()
		if n == 0 {
			return g.firstErr
		}
		g.record(<-g.results)
	}
}

func (g *Group) record(end Result) {
	g.mu.Lock()
	g.running--
	g.mu.Unlock()
	if end.Err == nil || errors.Is(end.Err, context.Canceled) {
		return
	}
	if g.firstErr == nil {
		g.firstErr = fmt.Errorf("task %s: %w", end.Name, end.Err)
	}
	g.cancel()
}

// Every calls f at the given interval until ctx ends, and returns ctx.Err(). It skips calls
// that are due while f runs.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f(ctx)
		}
	}
}
