package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

func init() { cases[13] = killedAtFirstStart }

// killedAtFirstStart starts the whole system for the first time, kills one process of the core in the first moments, and
// starts it again as the platform does. The operator's first manifest must be acknowledged, and requests be served.
func killedAtFirstStart(r *run) ([]string, error) {
	const (
		stagger = 70 * time.Millisecond // between the starts of the core's machines; all start within 0.3 s
		down    = 500 * time.Millisecond
		wait    = 60 * time.Second
	)
	r.cluster = newCluster(r.folder, r.binary, r.rec, []zone{{"pos-a", "north-trinidad"}, {"sfdo-a", "south-trinidad"}, {"scar-a", "tobago"}}, 5, 2)
	r.op = newOperator(r.rec, r.seeds)
	for i, at := range []int{0, 1, 3, 4, 2} { // the last of the three seeds starts last
		if i > 0 {
			time.Sleep(stagger)
		}
		if err := r.start(r.voters[at]); err != nil {
			return nil, err
		}
	}
	for _, f := range r.fronts {
		if err := r.start(f); err != nil {
			return nil, err
		}
	}
	if r.trouble {
		first := r.voters[0]
		r.signal(first, syscall.SIGKILL)
		<-first.exited
		time.Sleep(down)
		if err := r.start(first); err != nil { // bootstrap is false now
			return nil, err
		}
	}
	p := &replica{id: "i-0001", service: "desk", zone: "pos-a", addr: freeAddress(), slots: 6, controls: r.seeds, rec: r.rec}
	p.serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }
	if err := p.start("v1"); err != nil {
		return nil, err
	}
	m := manifest{
		Version:  3,
		Routes:   []route{{Name: "r-look", Host: "lab.example", PathPrefix: "/look/", Kind: "idempotent", TimeoutMs: 1200, SloMs: 150, Priority: 2, Service: "desk", MaxAttempts: 2}},
		Services: []service{{Name: "desk", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}},
		Limits:   usualLimits,
	}
	began := time.Now()
	served, sent := 0, 0
	acked := make(chan error, 1)
	go func() { acked <- r.op.put(m, began.Add(wait)) }()
	var ackErr error
	known := false
	for time.Since(began) < wait && served < 20 {
		a := ask(r.fronts[sent%2].callers, "GET", "/look/x", fmt.Sprintf("%016x", 0xdef000+sent), nil, "", 2500*time.Millisecond)
		sent++
		if a.status == http.StatusOK {
			served++
		} else {
			r.rec.line("request %d: status %d %s %v", sent, a.status, a.body, a.err)
		}
		select {
		case ackErr = <-acked:
			known = true
		default:
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !known {
		ackErr = <-acked
	}
	r.rec.line("%d of %d requests served within %v; the manifest: %v", served, sent, time.Since(began).Round(time.Second), ackErr)
	var broken []string
	if ackErr != nil {
		broken = append(broken, fmt.Sprintf("the first manifest had no ack for %v, of which all but the first seconds were calm", wait))
	}
	if served == 0 {
		broken = append(broken, fmt.Sprintf("none of %d requests was served within %v", sent, wait))
	}
	return broken, nil
}
