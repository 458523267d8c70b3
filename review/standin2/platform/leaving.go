package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Figures of the case.
const (
	deskReplicas  = 3
	deskWork      = 100 * time.Millisecond
	leaveAfter    = 6 * time.Second         // from the start of traffic
	exitAfter     = 3200 * time.Millisecond // from its first word that it leaves, without an acknowledgement
	leavingLength = 14 * time.Second
)

func deskDocument() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-pay", "host": host, "pathPrefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 1200, "sloMs": 150, "priority": 2,
				"service": "desk", "maxAttempts": 1, "sessionAffinity": false, "resumable": false,
			},
		},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	}
}

// leavingReplica checks that nothing is sent any more to a replica that has said in its answers, drainMs ago, that it leaves. The
// replica is cut off from the core, so that its announcements do not arrive.
func leavingReplica(r *run) (string, error) {
	serve := func(rep *replica, w http.ResponseWriter, req *http.Request) {
		if rep.leaves() {
			w.Header().Set("Server-Leaving", "1")
		}
		pay(rep, w, req)
	}
	if err := r.startAll(deskDocument()); err != nil {
		return "", err
	}
	var replicas []*replica
	for i := range deskReplicas {
		rep, err := r.newReplica(replicaConfig{service: "desk", zone: zoneOrder[i%len(zoneOrder)], serve: serve})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, rep)
	}
	time.Sleep(settleTime)
	gone := replicas[rand.IntN(len(replicas))]
	time.AfterFunc(leaveAfter, func() { gone.leave(r.trouble) })
	q := &requesters{rec: r.record}
	every(15*time.Millisecond, leavingLength, func(n int) {
		q.send(r.entries[n%len(r.entries)], payment(n))
	})
	q.pending.Wait()
	return judgeLeaving(r, q, gone)
}

// leaves reports whether the replica is leaving.
func (rep *replica) leaves() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state == "draining"
}

// leave takes the replica away, as planned. If it is cut off from the core, it gets no acknowledgement and ends some seconds later.
func (rep *replica) leave(cutOff bool) {
	rep.awaitAcknowledged()
	rep.mu.Lock()
	rep.cutOff, rep.state = cutOff, "draining"
	id := rep.id
	rep.mu.Unlock()
	rep.rec.note("replica %s leaves; cut off from the core: %v", id, cutOff)
	if cutOff {
		time.AfterFunc(exitAfter, func() { rep.crash("it leaves, some seconds after it said so; no acknowledgement came") })
		return
	}
	rep.announce()
	rep.rec.note("replica %s: its leaving is acknowledged", id)
	time.AfterFunc(drainBound+time.Second, func() {
		for _, m := range rep.c.voters {
			if status, _ := rep.c.control(m, http.MethodDelete, "/-/instances/"+id, nil); status == http.StatusOK {
				break
			}
		}
		rep.crash("it has left")
	})
}

// judgeLeaving applies the rule DRAIN for answers with Server-Leaving.
func judgeLeaving(r *run, q *requesters, gone *replica) (string, error) {
	told := map[string]time.Time{} // when each entry first passed on that the replica leaves
	sent := map[string]result{}
	served, lost := 0, 0
	arrived := map[string]bool{}
	for _, a := range gone.requests() {
		arrived[a.id] = true
	}
	for _, res := range q.all() {
		sent[res.id] = res
		if first, ok := told[res.entry.name]; res.leaving && (!ok || res.ended.Before(first)) {
			told[res.entry.name] = res.ended
		}
		switch {
		case res.status == http.StatusOK && res.complete:
			served++
		case arrived[res.id]:
			lost++
			r.note("request %s reached the leaving replica, and its requester has no answer of it: status %d, %v", res.id, res.status, res.err)
		}
	}
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	late := 0
	for _, a := range gone.requests() {
		first, ok := told[entryOf(a.id)]
		if ok && sent[a.id].sent.After(first.Add(drainBound)) {
			late++
		}
	}
	var when []string
	for name, at := range told {
		when = append(when, fmt.Sprintf("%s at %.3f", name, r.since(at)))
	}
	r.note("%d requests, %d served, %d payments lost at the replica that left; first answers with Server-Leaving: %s; %d requests sent later than drainMs after that reached it", len(sent), served, lost, strings.Join(when, ", "), late)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests that requesters sent later than drainMs (%v) after a machine had passed on an answer with Server-Leaving reached that replica from that machine; %d payments that it had got stay without an answer", late, drainBound, lost), nil
}
