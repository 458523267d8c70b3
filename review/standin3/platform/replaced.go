package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases[11] = seatReplacedTwice }

const (
	// catchUp is the catchUpS of the pages: from then on a successor has taken the place of the machine that was removed.
	catchUp = 4 * time.Second
	// contact and ack are the contactMs and ackMs of the pages.
	contact = 4 * time.Second
	ackTime = 5 * time.Second
)

// seatReplacedTwice removes one machine of the core for good and adds an empty one in its place. Once that one has had its
// time to catch up, it is removed for good too, and another one added. The other two machines run all the time. Manifests must
// still be acknowledged and read back, and requests be served.
func seatReplacedTwice(r *run) ([]string, error) {
	const (
		successorAfter = 1 * time.Second // from the removal of a machine to the start of its successor
		margin         = 2500 * time.Millisecond
		wait           = 45 * time.Second
	)
	zones := []zone{{"pos-a", "north-trinidad"}, {"sfdo-a", "south-trinidad"}, {"scar-a", "tobago"}}
	r.cluster = newCluster(r.folder, r.binary, r.rec, zones, 3, 2)
	live := func() []string {
		var all []string
		for _, v := range r.voters {
			all = append(all, v.control)
		}
		return all
	}
	r.op = newOperator(r.rec, live)
	if err := r.startAll(); err != nil {
		return nil, err
	}
	p := &replica{id: "i-0001", service: "desk", zone: "pos-a", addr: freeAddress(), slots: 6, controls: live, rec: r.rec}
	p.serve = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }
	if err := p.start("v1"); err != nil {
		return nil, err
	}
	version := uint64(3)
	put := func(limit time.Duration) error {
		m := manifest{
			Version:  version,
			Routes:   []route{{Name: "r-look", Host: "lab.example", PathPrefix: "/look/", Kind: "idempotent", TimeoutMs: 1200 + int(version), SloMs: 150, Priority: 2, Service: "desk", MaxAttempts: 2}},
			Services: []service{{Name: "desk", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}},
			Limits:   usualLimits,
		}
		version += 4
		return r.op.put(m, time.Now().Add(limit))
	}
	if err := put(10 * time.Second); err != nil {
		return nil, err
	}
	served := func(n int) int {
		ok := 0
		for i := range n {
			a := ask(r.fronts[i%2].callers, "GET", "/look/x", fmt.Sprintf("%016x", time.Now().UnixNano()), nil, "", 2500*time.Millisecond)
			if a.status == http.StatusOK {
				ok++
			}
			time.Sleep(50 * time.Millisecond)
		}
		return ok
	}
	if err := r.awaitServed("/look/x", 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	before := served(20)
	r.rec.line("before: %d of 20 requests served", before)
	replace := func(i int) error {
		old := r.voters[i]
		r.kill(old)
		r.gone = append(r.gone, old)
		if err := os.RemoveAll(old.folder); err != nil {
			return err
		}
		time.Sleep(successorAfter)
		name := fmt.Sprintf("core-%s-%d", old.zone, len(r.gone)+4)
		next := &node{name: name, region: old.region, zone: old.zone, voter: true, folder: filepath.Join(r.folder, name), started: true}
		next.control, next.peer, next.metrics = freeAddress(), freeAddress(), freeAddress()
		next.settings = filepath.Join(r.folder, next.name+".json")
		r.voters[i] = next
		if err := r.start(next); err != nil {
			return err
		}
		for _, n := range r.nodes() { // the settings name the machines that serve control now
			if n != next {
				if err := r.writeSettings(n); err != nil {
					return err
				}
				r.signal(n, syscall.SIGHUP)
			}
		}
		return nil
	}
	if r.trouble {
		if err := replace(2); err != nil {
			return nil, err
		}
		time.Sleep(catchUp + margin)
		if err := put(ackTime); err != nil {
			return nil, fmt.Errorf("after the first replacement: %w", err)
		}
		if err := replace(2); err != nil {
			return nil, err
		}
		time.Sleep(catchUp + margin)
	}
	time.Sleep(contact)
	var broken []string
	began := time.Now()
	if err := put(wait); err != nil {
		broken = append(broken, fmt.Sprintf("a proper manifest: %v, for %v", err, time.Since(began).Round(time.Second)))
	}
	read := 0
	for range 2 * len(r.voters) {
		status, text := r.op.call(http.MethodGet, nil)
		r.rec.line("read of the manifest: %d %.120s", status, text)
		if status == http.StatusOK {
			read++
		}
		time.Sleep(contact / 6)
	}
	if read == 0 {
		broken = append(broken, "the acknowledged manifest can't be read back at any node")
	}
	if after := served(20); after == 0 && before > 0 {
		broken = append(broken, fmt.Sprintf("no request is served any more, %d of 20 were before", before))
	}
	return broken, nil
}
