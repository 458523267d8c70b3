// Command standins plays the cases of the review: it starts the system's processes with the commands of the
// deploy file and stands in for requesters, replicas, the operator and the platform.
//
//	standins CASE FOLDER TROUBLE
//
// It writes record.txt in the folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. If TROUBLE is 0, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// record is the record of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on it
}

// play is a case. It returns whether the rule was broken.
type play func(rec *record, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"drain":   playDrain,
	"forged":  playForged,
	"leave":   playLeave,
	"restart": playRestart,
	"prompt":  playPrompt,
	"refusal": playRefusal,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER TROUBLE")
		return exitFailed
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec := &record{file: file, start: time.Now()}
	// Processes start with the default action of SIGHUP, as on the platform, also if this one was started with SIGHUP
	// ignored, which they would inherit.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	trouble := os.Args[3] != "0"
	rec.line("disruption: %v", trouble)
	broken, err := plays[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.line("the rule was broken")
		return exitBroken
	default:
		rec.line("the rule held")
		return exitHeld
	}
}
