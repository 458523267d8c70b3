package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// drainManifest has a route for payments, which may run once, and one for streams.
const drainManifest = `{"version":7,"routes":[
{"name":"pay","host":"lab.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":2500,"sloMs":150,"priority":2,"service":"orders-desk","maxAttempts":1},
{"name":"ask","host":"lab.example","pathPrefix":"/ask/","kind":"stream","timeoutMs":3000,"sloMs":600,"priority":0,"service":"orders-desk","maxAttempts":1,"resumable":false,"itlSloMs":200}],
"services":[{"name":"orders-desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

const (
	drainRequests = 12
	// hangupDelay is the time from SIGTERM to SIGHUP.
	hangupDelay = 400 * time.Millisecond
	eventPause  = 150 * time.Millisecond
	drainEvents = 8
)

// playDrain stops a frontend with SIGTERM while it answers streams. With trouble, its settings file changes
// meanwhile, which the platform says with SIGHUP.
func playDrain(rec *record, trouble bool) (bool, error) {
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
	answers := make([]answer, drainRequests)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = q.send(front.front(), http.MethodPost, "/ask/x", 3*time.Second, nil)
			rec.line("request %s: status %d, %d bytes, complete %v, error %v", answers[i].id, answers[i].status, len(answers[i].body), answers[i].complete, answers[i].err)
		})
	}
	time.Sleep(300 * time.Millisecond)
	rec.line("%s gets SIGTERM", front.name)
	front.signal(syscall.SIGTERM)
	time.Sleep(hangupDelay)
	if trouble {
		front.seeds = []string{front.seeds[1], front.seeds[2], front.seeds[0]}
		if err := front.writeSettings(); err != nil {
			return false, err
		}
		rec.line("the settings of %s have changed (other seeds); it gets SIGHUP", front.name)
		front.signal(syscall.SIGHUP)
	}
	wg.Wait()
	cut := 0
	for _, a := range answers {
		if a.status != http.StatusOK || !a.complete {
			cut++
		}
	}
	rec.line("%d of %d requests that were sent before the SIGTERM and passed on to a replica have no complete answer", cut, drainRequests)
	return cut > 0, nil
}

// streamSlowly answers with a stream of drainEvents events.
func streamSlowly(rec *record, replica string, ch *channel, req *http.Request) bool {
	id := req.Header.Get("X-Request-Id")
	rec.line("%s runs request %s", replica, id)
	if err := ch.beginStream(req, http.Header{"X-Response-Signature": {"signed." + id}}); err != nil {
		return false
	}
	for n := 1; n <= drainEvents; n++ {
		if err := ch.event(n, "piece of "+id); err != nil {
			rec.line("%s: the channel of request %s is closed before event %d", replica, id, n)
			return false
		}
		time.Sleep(eventPause)
	}
	return ch.endStream() == nil
}

// awaitServed sends requests until one is served.
func awaitServed(q *requester, front *machine, path string) error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(200 * time.Millisecond) {
		a := q.send(front.front(), http.MethodPost, path, 3*time.Second, nil)
		if a.status == http.StatusOK && a.complete {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no request was served within %v; the last answer had status %d", startTimeout, a.status)
		}
	}
}
