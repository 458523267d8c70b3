package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memory of a machine; the platform kills a process that uses more.
	memoryLimit = 284 << 20
	// memoryCheck is the interval at which the platform looks at it.
	memoryCheck = 5 * time.Millisecond
	// promptTokens is the length of a prompt that no replica has memory for.
	promptTokens = 1_000_000_000_000
	promptTime   = 5 * time.Second
	// maxLost is the number of requests that a machine may pass on and leave without an answer.
	maxLost = 3
)

// playPrompt keeps requests in progress at a machine. With trouble, one request comes there whose prompt is larger than
// any replica's memory.
func playPrompt(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(3, 2, drainManifest)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 2 {
		id := fmt.Sprint("desk-", i+1)
		r, err := newReplica(s, id, "orders-desk", "v1", "", 48, func(ch *channel, req *http.Request) bool { return streamSlowly(rec, id, ch, req) })
		if err != nil {
			return false, err
		}
		go r.announce(ctx)
	}
	q := newRequester()
	front := s.fronts[0]
	if err := awaitServed(q, front, "/ask/warm"); err != nil {
		return false, err
	}
	go enforceMemory(ctx, rec, front)
	answers := make([][]answer, drainRequests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			for end := time.Now().Add(promptTime); time.Now().Before(end) && front.running(); {
				answers[i] = append(answers[i], q.send(front.front(), http.MethodPost, "/ask/x", 3*time.Second, nil))
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		rec.line("a request with a prompt of %d tokens is sent to %s", int64(promptTokens), front.name)
		h := http.Header{"X-Model": {"m"}, "X-Token-Counts": {fmt.Sprint(int64(promptTokens)+1, ",5")}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:%d,91bd3f06:1", int64(promptTokens))}}
		a := q.send(front.front(), http.MethodPost, "/ask/x", 3*time.Second, h)
		rec.line("its answer: status %d, error %v", a.status, a.err)
	}
	wg.Wait()
	lost, sent := 0, 0
	for _, a := range slices.Concat(answers...) {
		sent++
		if a.status == http.StatusOK && !a.complete {
			lost++
			rec.line("request %s: status %d, %d bytes, complete %v, error %v", a.id, a.status, len(a.body), a.complete, a.err)
		}
	}
	rec.line("%d of %d sound requests were passed on to a replica and cut; %d are allowed", lost, sent, maxLost)
	return lost > maxLost, nil
}

// enforceMemory kills a machine's process when it uses more than the machine's memory.
func enforceMemory(ctx context.Context, rec *record, m *machine) {
	peak := 0
	for ctx.Err() == nil {
		used := residentBytes(m.cmd.Process.Pid)
		peak = max(peak, used)
		if used > memoryLimit {
			rec.line("%s uses %d MB, more than its %d MB; the platform kills its process", m.name, used>>20, memoryLimit>>20)
			m.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(memoryCheck)
	}
	rec.line("%s used %d MB at most", m.name, peak>>20)
}

// residentBytes returns the memory that a process uses, 0 if that is not known.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
