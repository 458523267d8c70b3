package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadlyID is the part of a prompt that crashes each replica which begins to write an answer on it.
const deadlyID = "dead0001"

// Figures of the cases.
const (
	engines       = 6
	downTime      = 2 * time.Second // until a crashed replica is back
	lateTime      = 2 * time.Second // that late liveness reports take to arrive
	deadlyLength  = 40 * time.Second
	streamEvents  = 6
	eventInterval = 20 * time.Millisecond
	deadCrash     = 5 // after this crash and contactMs, the rule counts
	maxAfterFifth = 3 // requests with the part that may reach replicas from then on
)

// deadlySetup says what a case with a deadly part does.
type deadlySetup struct {
	deadly bool          // the part crashes replicas
	events int           // events of the answer that are out when the replica crashes
	late   time.Duration // of liveness reports on their way
}

// deadlyPart checks that requests with a part of a prompt that crashes replicas stop reaching them. The replicas crash right after
// the first event of the answer.
func deadlyPart(r *run) (string, error) {
	return playDeadly(r, deadlySetup{deadly: r.trouble, events: 1})
}

// lateReports checks the same where the replicas crash before the first event, and their liveness reports arrive seconds late. Without
// the disruption the reports are in time, and the part is as deadly.
func lateReports(r *run) (string, error) {
	setup := deadlySetup{deadly: true}
	if r.trouble {
		setup.late = lateTime
	}
	return playDeadly(r, setup)
}

func advisorDocument() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-advice", "host": host, "pathPrefix": "/advice/", "kind": "stream", "timeoutMs": 5000, "sloMs": 500, "priority": 1,
				"service": "advisor", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "itlSloMs": 200,
			},
		},
		"services": []any{
			map[string]any{
				"name": "advisor", "healthPath": "/healthz", "maxConns": 310, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": replicaSlots, "kvCapacity": 656048, "kvTokenBytes": 18432, "linkMbps": 370000.0, "retentionS": 5.0, "swapS": 3.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	}
}

// advice returns a request with a prompt of three parts, of which the last is its own.
func advice(n int, deadly bool) request {
	middle := "50f70001:40"
	if deadly {
		middle = deadlyID + ":40"
	}
	return request{
		method: http.MethodPost, path: fmt.Sprintf("/advice/%d", n), body: fmt.Sprintf("question %d", n), budget: 5 * time.Second,
		header: map[string]string{"X-Model": "m", "X-Token-Counts": "340,6", "X-Prompt-Prefix": fmt.Sprintf("5c1e0001:100,%s,%08x:200", middle, 0x10000000+n)},
	}
}

// crashLog records the crashes of replicas. It is safe for concurrent use.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
}

func (l *crashLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, at)
}

func (l *crashLog) all() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.crashes)
}

// playDeadly sends sound requests and, twice a second, one with the deadly part.
func playDeadly(r *run, setup deadlySetup) (string, error) {
	var crashes crashLog
	serve := func(rep *replica, w http.ResponseWriter, req *http.Request) {
		stream(w, req, func(written int) bool {
			if !setup.deadly || written < setup.events || !strings.Contains(req.Header.Get("X-Prompt-Prefix"), deadlyID) {
				return true
			}
			time.Sleep(eventInterval / 4) // what is written is on its way
			if rep.crash("it began to write an answer on part " + deadlyID + ", request " + req.Header.Get("X-Request-Id")) {
				crashes.add(time.Now())
				time.AfterFunc(downTime, func() { _ = rep.boot() }) // the requests show whether it serves
			}
			return false
		})
	}
	if err := r.startAll(advisorDocument()); err != nil {
		return "", err
	}
	var replicas []*replica
	for i := range engines {
		rep, err := r.newReplica(replicaConfig{service: "advisor", zone: zoneOrder[i%len(zoneOrder)], engine: true, late: setup.late, serve: serve})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, rep)
	}
	time.Sleep(settleTime)
	q := &requesters{rec: r.record}
	sound := map[string]bool{}
	every(50*time.Millisecond, deadlyLength, func(n int) {
		sound[q.send(r.entries[n%len(r.entries)], advice(2*n, false))] = true
		if n%10 == 5 {
			q.send(r.entries[n/10%len(r.entries)], advice(2*n+1, true))
		}
	})
	q.pending.Wait()
	crashed := crashes.all()
	noteSound(r, q, sound, crashed)
	return judgeDeadly(r, q, replicas, crashed)
}

// stream writes the events of an answer after the one that Last-Event-Id names. It stops once more returns false, which it calls with the
// number of events written so far.
func stream(w http.ResponseWriter, req *http.Request, more func(written int) bool) {
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // without the header, the stream starts at its first event
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "s."+id)
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil || !more(0) {
		return
	}
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if err := control.Flush(); err != nil || !more(n-after) {
			return
		}
		time.Sleep(eventInterval)
	}
}

// noteSound records how many sound requests have begun to be answered before the first crash, and how many later than 2 x contactMs after
// the fifth.
func noteSound(r *run, q *requesters, sound map[string]bool, crashes []time.Time) {
	if len(crashes) < deadCrash {
		return
	}
	var sent, begun, sentAfter, begunAfter int
	for _, res := range q.all() {
		began := 0
		if res.status == http.StatusOK {
			began = 1
		}
		switch {
		case !sound[res.id]:
		case res.sent.Before(crashes[0]):
			sent, begun = sent+1, begun+began
		case res.sent.After(crashes[deadCrash-1].Add(2 * contactBound)):
			sentAfter, begunAfter = sentAfter+1, begunAfter+began
		}
	}
	r.note("sound requests that have begun: %d of %d before the first crash, %d of %d later than 2 x contactMs after the fifth", begun, sent, begunAfter, sentAfter)
}

// judgeDeadly applies the rule BUDGET, and counts what the crashes cost others.
func judgeDeadly(r *run, q *requesters, replicas []*replica, crashes []time.Time) (string, error) {
	served, cut := 0, 0
	sent := map[string]time.Time{}
	for _, res := range q.all() {
		sent[res.id] = res.sent
		switch {
		case res.status == http.StatusOK && res.complete:
			served++
		case res.status == http.StatusOK:
			cut++
		}
	}
	r.note("%d requests sent, %d served, %d streams cut off, %d crashes", len(sent), served, cut, len(crashes))
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	if len(crashes) < deadCrash {
		return "", nil
	}
	from := crashes[deadCrash-1].Add(contactBound)
	late := 0
	for _, rep := range replicas {
		for _, a := range rep.requests() {
			if strings.Contains(a.parts, deadlyID) && a.at.After(from) && sent[a.id].After(from) {
				late++
			}
		}
	}
	r.note("crash %d at %.3f; %d requests with the part, sent later than contactMs after it, reached replicas", deadCrash, r.since(crashes[deadCrash-1]), late)
	if late <= maxAfterFifth {
		return "", nil
	}
	return fmt.Sprintf("BUDGET: %d requests with a part that crashes replicas reached replicas, sent later than contactMs (%v) after the fifth crash; allowed are %d; %d crashes, %d streams cut off", late, contactBound, maxAfterFifth, len(crashes), cut), nil
}
