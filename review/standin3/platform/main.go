// Command standin3 runs the cases of the third review: it starts the project's own programs as separate processes, with
// stand-ins for requesters, replicas and the operator, and checks a rule from what these see.
//
//	standin3 -case N -binary target/hickoryridge -record review/N/record.txt
//
// Its exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With -trouble=false it does
// the same without the disruption; the scripts pass that on from TROUBLE=0.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds a run; a script may take 120 s.
const maxRun = 112 * time.Second

// run is what a case gets.
type run struct {
	*cluster
	trouble bool
	end     time.Time
	op      *operator
}

// cases are the cases by number. Each returns the breaks of its rule.
var cases = map[int]func(r *run) (broken []string, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	number := flag.Int("case", 0, "number of the case")
	binary := flag.String("binary", "target/hickoryridge", "the project's program")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	f, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitFailed
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if *keep {
		fmt.Println("logs in", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	r := &run{cluster: &cluster{folder: folder, binary: *binary, rec: rec}, trouble: *trouble, end: time.Now().Add(maxRun)}
	rec.line("case %d, trouble %v", *number, r.trouble)
	broken, err := f(r)
	r.stop()
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	for _, b := range broken {
		rec.line("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
