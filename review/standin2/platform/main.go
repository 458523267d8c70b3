// Command standin2 runs one case of the second review: it starts the project's daemon as separate processes, stands
// in for requesters, replicas and the operator, and checks one rule by what these see.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run. With TROUBLE=0 in
// the environment, it does the same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the time after which a case has failed to run.
const caseTimeout = 110 * time.Second

// testCase is one case. It returns what broke the rule, or an empty string if the rule held.
type testCase func(*run) (broken string, err error)

var cases = map[string]testCase{
	"deadly":    deadlyPart,
	"forgotten": forgottenLeave,
	"late":      lateReports,
	"leaving":   leavingReplica,
	"limit":     namedLimit,
	"reborn":    rebornReplica,
}

// run is one run of a case.
type run struct {
	*cluster
	*record
	trouble bool
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *path))
}

// play runs a case and returns the exit code.
func play(name, path string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return exitFailed
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover in the temporary folder harms nobody
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", cluster: newCluster(folder, rec)}
	defer r.stopAll()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer func() { _ = os.CopyFS(filepath.Join(keep, name), os.DirFS(folder)) }() // for a reader of logs only
	}
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := f(r)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var res result
	select {
	case res = <-done:
	case s := <-stop:
		res.err = fmt.Errorf("stopped by %v", s)
	case <-time.After(caseTimeout):
		res.err = errors.New("the case took too long")
	}
	switch {
	case res.err != nil:
		rec.note("cannot run: %v", res.err)
		return exitFailed
	case res.broken != "":
		rec.note("BROKEN: %s", res.broken)
		return exitBroken
	default:
		rec.note("held")
		return exitHeld
	}
}
