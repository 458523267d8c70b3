// Package signals receives the signals that a service manager sends to a serving process.
//
// A signal without a handler has its default action, which ends the process together with all that it
// serves. So the handlers belong to the process, and to no task of it: they are installed while the
// packages are initialized, as early as Go code runs, and are never removed. A signal that comes before
// anybody reads it is kept; one that comes while the process stops is received like any other.
//
// A service manager sends SIGTERM, or a terminal SIGINT, for a planned stop, which begins once, and SIGHUP
// when the settings may have changed. Two signals of one kind that come before the first is read count as one.
//
// Only a command that serves may import this package.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	stops   = notify(syscall.SIGINT, syscall.SIGTERM)
	reloads = notify(syscall.SIGHUP)
	// SIGPIPE comes with a write to a standard output without a reader. Nobody receives it, as the write
	// fails, too.
	_ = notify(syscall.SIGPIPE)
)

// notify returns a channel that keeps one of the given signals until it is read.
func notify(kinds ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, kinds...)
	return c
}

// AwaitStop waits for a signal to stop. It returns the error of ctx if that ends first.
func AwaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stops:
		return nil
	}
}

// Reloads returns a channel that receives a signal when the settings may have changed.
func Reloads() <-chan os.Signal { return reloads }

// Default restores the default action of all signals, for a command that serves nobody.
func Default() { signal.Reset(syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE) }
