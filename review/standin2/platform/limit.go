package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	// largestLimit is what the replica names: a decimal number of requests a second. The pages set no largest one.
	largestLimit = "18446744073709551615"
	limitAfter   = 5 * time.Second // from the start of traffic
	limitLength  = 40 * time.Second
	maxOwnEnds   = 2 // processes of a machine may end by themselves so often in a day
)

// namedLimit checks that processes go on when a replica names a Server-Limit.
func namedLimit(r *run) (string, error) {
	var naming atomic.Pointer[replica]
	advise := func(rep *replica, w http.ResponseWriter, req *http.Request) {
		if naming.Load() == rep {
			w.Header().Set("Server-Limit", largestLimit)
		}
		stream(w, req, func(int) bool { return true })
	}
	if err := r.startAll(bothDocuments()); err != nil {
		return "", err
	}
	var desk, advisor []*replica
	for i := range deskReplicas {
		rep, err := r.newReplica(replicaConfig{service: "desk", zone: zoneOrder[i%len(zoneOrder)], serve: pay})
		if err != nil {
			return "", err
		}
		desk = append(desk, rep)
	}
	for i := range engines {
		rep, err := r.newReplica(replicaConfig{service: "advisor", zone: zoneOrder[i%len(zoneOrder)], engine: true, serve: advise})
		if err != nil {
			return "", err
		}
		advisor = append(advisor, rep)
	}
	time.Sleep(settleTime)
	if r.trouble {
		time.AfterFunc(limitAfter, func() {
			rep := advisor[rand.IntN(len(advisor))]
			naming.Store(rep)
			r.note("replica %s names Server-Limit: %s from now on", rep.currentID(), largestLimit)
		})
	}
	q := &requesters{rec: r.record}
	every(15*time.Millisecond, limitLength, func(n int) {
		q.send(r.entries[n%len(r.entries)], payment(n))
		if n%2 == 0 {
			q.send(r.entries[n/2%len(r.entries)], advice(n, false))
		}
	})
	q.pending.Wait()
	return judgeEnds(r, q, append(desk, advisor...))
}

// judgeEnds applies the rule Fault, and counts the requests that replicas have got and that stay without an answer.
func judgeEnds(r *run, q *requesters, replicas []*replica) (string, error) {
	arrived := map[string]bool{}
	for _, rep := range replicas {
		for _, a := range rep.requests() {
			arrived[a.id] = true
		}
	}
	served, lost := 0, 0
	for _, res := range q.all() {
		switch {
		case res.status == http.StatusOK && res.complete:
			served++
		case res.status == 0 && arrived[res.id]:
			lost++
		}
	}
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	over, core := 0, 0
	for _, m := range r.machines() {
		r.note("%s: its process ended by itself %d times", m.name, r.endsOf(m))
		if r.endsOf(m) <= maxOwnEnds {
			continue
		}
		over++
		if slices.Contains(r.voters, m) {
			core++
		}
	}
	r.note("%d requests sent, %d served; %d reached a replica, and their channel ended without an answer", len(q.all()), served, lost)
	if over < max(2, (len(r.machines())+9)/10) && 2*core < len(r.voters) {
		return "", nil
	}
	return fmt.Sprintf("Fault: on %d of %d machines in use, %d of them of the core, processes ended by themselves three times or more, with no impairment there; %d requests that replicas had got stay without an answer", over, len(r.machines()), core, lost), nil
}

// bothDocuments returns a document with both services.
func bothDocuments() map[string]any {
	doc, other := deskDocument(), advisorDocument()
	for _, list := range []string{"routes", "services"} {
		doc[list] = append(doc[list].([]any), other[list].([]any)...)
	}
	return doc
}
