// Package cli contains what the commands share: the logger, exit codes and the context
// that is cancelled by signals.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// Version is the version that the commands report.
const Version = "0.1.0"

// Exit codes of the commands.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitInvalid = 2 // invalid usage, settings or document
)

// Logger returns a logger that writes one line of key=value pairs per event. If the level
// is not valid, it logs at level info.
func Logger(w io.Writer, level string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return l
}

// SignalContext returns a context that is cancelled by the first SIGINT or SIGTERM. Later
// signals are ignored, because a planned stop lets requests in progress complete.
func SignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		cancel()
	}()
	return ctx
}

// PrintFaults writes one line for each fault in a file.
func PrintFaults(w io.Writer, file string, faults strictjson.Faults) {
	for _, f := range faults {
		_, _ = fmt.Fprintf(w, "%s: %s\n", file, f.Error()) // a broken stderr cannot be reported
	}
}
