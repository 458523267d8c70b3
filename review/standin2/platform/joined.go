package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Figures of the case, from the start of the cut on.
const (
	cutAfter     = 5 * time.Second // from the start of traffic
	firstCrash   = 200 * time.Millisecond
	backAfter    = 700 * time.Millisecond // from a crash until the replica is back
	secondCrash  = 3200 * time.Millisecond
	cutLength    = 5 * time.Second // the default of srv_cut
	joinedLength = 16 * time.Second
	longEvents   = 12
	longInterval = 100 * time.Millisecond
	maxJoined    = 2 // streams with events of two versions
)

// rebornReplica checks that no stream holds events of two software versions, where a replica that is cut off from the core crashes
// and is back under its id as another version, and crashes once more.
func rebornReplica(r *run) (string, error) {
	serve := func(rep *replica, w http.ResponseWriter, req *http.Request) {
		version := rep.softwareVersion()
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // without the header, the stream starts at its first event
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Response-Signature", "s."+req.Header.Get("X-Request-Id"))
		control := http.NewResponseController(w)
		for n := after + 1; n <= longEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d by %s\n\n", n, n, version); err != nil {
				return
			}
			if err := control.Flush(); err != nil {
				return
			}
			time.Sleep(longInterval)
		}
	}
	if err := r.startAll(advisorDocument()); err != nil {
		return "", err
	}
	var replicas []*replica
	for i := range zoneOrder {
		rep, err := r.newReplica(replicaConfig{service: "advisor", zone: zoneOrder[i], engine: true, serve: serve})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, rep)
	}
	time.Sleep(settleTime)
	if r.trouble {
		time.AfterFunc(cutAfter, replicas[0].cutAndReborn)
	}
	q := &requesters{rec: r.record}
	every(25*time.Millisecond, joinedLength, func(n int) { q.send(r.entries[n%len(r.entries)], advice(n, false)) })
	q.pending.Wait()
	return judgeJoined(r, q)
}

// cutAndReborn cuts the replica off from the core, and lets it crash twice behind the cut. From its first restart on it has its id
// and another version.
func (rep *replica) cutAndReborn() {
	rep.awaitAcknowledged()
	rep.setCutOff(true)
	rep.rec.note("replica %s is cut off from the core", rep.currentID())
	time.AfterFunc(cutLength, func() {
		rep.setCutOff(false)
		rep.rec.note("replica %s reaches the core again", rep.currentID())
		rep.announce()
	})
	for _, at := range []time.Duration{firstCrash, secondCrash} {
		time.AfterFunc(at, func() {
			rep.crash("it crashes")
			time.AfterFunc(backAfter, func() { _ = rep.bootAs(rep.currentID(), "v2") }) // the requests show whether it serves
		})
	}
}

// judgeJoined applies the rule ORDER to each answer.
func judgeJoined(r *run, q *requesters) (string, error) {
	served, joined := 0, 0
	for _, res := range q.all() {
		if res.status == http.StatusOK && res.complete {
			served++
		}
		if strings.Contains(res.body, "by v1") && strings.Contains(res.body, "by v2") {
			joined++
			r.note("request %s, complete %v: %q", res.id, res.complete, res.body)
		}
	}
	r.note("%d requests sent, %d served, %d answers hold events of two versions", len(q.all()), served, joined)
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	if joined <= maxJoined {
		return "", nil
	}
	return fmt.Sprintf("ORDER: %d streams hold events from replicas of two software versions in one answer; allowed are %d", joined, maxJoined), nil
}
