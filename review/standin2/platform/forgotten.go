package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Figures of the case.
const (
	startAfter      = 4 * time.Second        // from the start of traffic until the replica starts
	firstReport     = 3 * time.Second        // that its first liveness report takes to arrive
	takenAway       = 600 * time.Millisecond // from its start until it leaves
	servesOn        = 5 * time.Second        // from the acknowledgement that it leaves until it ends
	forgottenLength = 14 * time.Second
)

// forgottenLeave checks that nothing is sent any more to a replica whose leaving was acknowledged drainMs ago. The replica leaves
// soon after its start, and its first liveness report arrives late.
func forgottenLeave(r *run) (string, error) {
	if err := r.startAll(deskDocument()); err != nil {
		return "", err
	}
	for i := range deskReplicas - 1 {
		if _, err := r.newReplica(replicaConfig{service: "desk", zone: zoneOrder[i], serve: pay}); err != nil {
			return "", err
		}
	}
	time.Sleep(settleTime)
	type outcome struct {
		rep   *replica
		acked time.Time
		err   error
	}
	left := make(chan outcome, 1)
	time.AfterFunc(startAfter, func() {
		cfg := replicaConfig{service: "desk", zone: zoneOrder[deskReplicas-1], serve: pay}
		if r.trouble {
			cfg.late = firstReport
		}
		rep, err := r.newReplica(cfg)
		if err != nil {
			left <- outcome{err: err}
			return
		}
		time.Sleep(takenAway)
		acked, err := rep.deregister()
		left <- outcome{rep, acked, err}
	})
	q := &requesters{rec: r.record}
	every(15*time.Millisecond, forgottenLength, func(n int) { q.send(r.entries[n%len(r.entries)], payment(n)) })
	q.pending.Wait()
	o := <-left
	if o.err != nil {
		return "", o.err
	}
	return judgeForgotten(r, q, o.rep, o.acked)
}

// pay answers a payment.
func pay(_ *replica, w http.ResponseWriter, req *http.Request) {
	time.Sleep(deskWork)
	w.Header().Set("X-Response-Signature", "s."+req.Header.Get("X-Request-Id"))
	_, _ = fmt.Fprintf(w, "paid: %s", req.Header.Get("X-Request-Id")) // the requester sees what is missing
}

// payment returns a request that may run once.
func payment(n int) request {
	return request{method: http.MethodPost, path: fmt.Sprintf("/pay/%d", n), body: fmt.Sprintf("payment %d", n), budget: 2500 * time.Millisecond}
}

// deregister says that the replica leaves, until a machine of the core acknowledges that. The replica reports nothing more, serves on
// for some time and ends.
func (rep *replica) deregister() (acked time.Time, err error) {
	rep.setCutOff(true) // it reports no more; what is under way arrives
	for _, m := range rep.c.voters {
		if status, _ := rep.c.control(m, http.MethodDelete, "/-/instances/"+rep.currentID(), nil); status == http.StatusOK {
			rep.rec.note("replica %s: %s has acknowledged that it leaves", rep.currentID(), m.name)
			time.AfterFunc(servesOn, func() { rep.crash("it has left") })
			return time.Now(), nil
		}
	}
	return time.Time{}, errors.New("no machine of the core acknowledged that the replica leaves")
}

// judgeForgotten applies the rule DRAIN.
func judgeForgotten(r *run, q *requesters, gone *replica, acked time.Time) (string, error) {
	sent := map[string]result{}
	served := 0
	for _, res := range q.all() {
		sent[res.id] = res
		if res.status == http.StatusOK && res.complete {
			served++
		}
	}
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	late, lost := 0, 0
	for _, a := range gone.requests() {
		res := sent[a.id]
		if res.sent.After(acked.Add(drainBound)) {
			late++
		}
		if res.status != http.StatusOK || !res.complete {
			lost++
			r.note("payment %s reached the replica that had left, and its requester has no answer of it: status %d, %v", res.id, res.status, res.err)
		}
	}
	r.note("%d requests sent, %d served; %d sent later than drainMs after the acknowledgement reached the replica; %d payments lost there", len(sent), served, late, lost)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d requests reached a replica later than drainMs (%v) after a machine had acknowledged that it leaves; %d payments that it had got stay without an answer", late, drainBound, lost), nil
}
