package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases[12] = reportUnshared }

// reportUnshared has replicas of two versions. One of the last two of v1 crashes and starts again under its id as v2; the node
// that acknowledges its report is killed right after that. Then the other replica of v1 crashes. No answer may hold events of
// both versions.
func reportUnshared(r *run) ([]string, error) {
	const (
		fronts  = 6
		pieces  = 20
		pause   = 60 * time.Millisecond
		perS    = 14.0 // streams a second, over all fronts
		down    = 150 * time.Millisecond
		between = 250 * time.Millisecond // from the report of the first replica to the crash of the second
		nodeOff = 3 * time.Second        // of the killed node
		calm    = 4500 * time.Millisecond
		rounds  = 8
	)
	r.cluster = newCluster(r.folder, r.binary, r.rec, []zone{{"pos-a", "north-trinidad"}}, 3, fronts)
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.op = newOperator(r.rec, r.seeds)
	var all []*replica
	for i := range 6 {
		p := &replica{id: fmt.Sprintf("i-%04d", i+1), service: "advisor", zone: "pos-a", addr: freeAddress(), slots: 48, engine: true, controls: r.seeds, rec: r.rec, next: i}
		p.serve = p.streamEvents(pieces, pause)
		if err := p.start([]string{"v2", "v2", "v2", "v2", "v1", "v1"}[i]); err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	m := manifest{
		Version:  3,
		Routes:   []route{{Name: "r-sheet", Host: "lab.example", PathPrefix: "/sheet/", Kind: "stream", TimeoutMs: 5000, SloMs: 500, Priority: 1, Service: "advisor", MaxAttempts: 2, Affinity: true, Resumable: true, ItlSloMs: 200}},
		Services: []service{{Name: "advisor", HealthPath: "/healthz", MaxConns: 310, Protocol: "h1", Engine: engineOf()}},
		Limits:   usualLimits,
	}
	if err := r.op.put(m, time.Now().Add(10*time.Second)); err != nil {
		return nil, err
	}
	if err := r.awaitServed("/sheet/x", 15*time.Second); err != nil {
		return nil, err
	}
	load := r.startStreams("/sheet/x", perS, pieces)
	first, second := all[4], all[5]
	for round := 0; round < rounds && time.Now().Before(r.end.Add(-26*time.Second)); round++ {
		if r.trouble {
			for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && (first.running.Load() > 0 || second.running.Load() < 2); {
				time.Sleep(2 * time.Millisecond)
			}
			first.crash()
			time.Sleep(down)
			var once atomic.Bool
			killed := make(chan *node, 1)
			first.acked = func(control string) {
				if !once.CompareAndSwap(false, true) {
					return
				}
				for _, v := range r.voters {
					if v.control == control {
						r.signal(v, syscall.SIGKILL)
						killed <- v
					}
				}
			}
			if err := first.start("v2"); err != nil {
				return nil, err
			}
			v := <-killed
			time.Sleep(between)
			second.crash()
			time.Sleep(down)
			if err := second.start("v2"); err != nil {
				return nil, err
			}
			time.Sleep(nodeOff - between - down)
			<-v.exited
			if err := r.start(v); err != nil {
				return nil, err
			}
			time.Sleep(calm)
		}
		var wg sync.WaitGroup
		for _, p := range []*replica{first, second} { // v1 again, as planned work
			wg.Go(func() { p.leave(2500 * time.Millisecond) })
		}
		wg.Wait()
		for _, p := range []*replica{first, second} {
			if err := p.start("v1"); err != nil {
				return nil, err
			}
		}
		time.Sleep(2 * time.Second)
	}
	return load.end(), nil
}

// streams is a load of streams, and what became of it.
type streams struct {
	rec                *record
	done               chan struct{}
	wg                 sync.WaitGroup
	mu                 sync.Mutex
	sent, whole, mixed int
	broken             []string
}

// startStreams sends streams to all fronts, at random times, until its end.
func (r *run) startStreams(path string, perS float64, pieces int) *streams {
	s := &streams{rec: r.rec, done: make(chan struct{})}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-s.done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
			}
			front := r.fronts[rand.IntN(len(r.fronts))]
			s.wg.Go(func() { s.one(front, path, n, pieces) })
		}
	}()
	return s
}

// one sends a stream and records its answer.
func (s *streams) one(front *node, path string, n, pieces int) {
	id := fmt.Sprintf("%016x", 0xabc000000000+n)
	a := ask(front.callers, "POST", path, id, promptHeaders(n), "body", 5*time.Second)
	versions := versionsOf(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if len(a.events) == pieces && a.complete {
		s.whole++
	}
	s.rec.line("request %s at %s: status %d, %d events, complete %v, written by %s, %v", id, front.name, a.status, len(a.events), a.complete, strings.Join(versions, " then "), a.err)
	if len(versions) > 1 {
		s.mixed++
		s.broken = append(s.broken, fmt.Sprintf("the answer to %s holds events of %s", id, strings.Join(versions, " and ")))
	}
}

// end ends the load. It returns the streams with events of two versions if there are more than the rule allows.
func (s *streams) end() []string {
	close(s.done)
	s.wg.Wait()
	s.rec.line("%d streams, %d whole, %d with events of two versions", s.sent, s.whole, s.mixed)
	if s.mixed > 2 {
		return s.broken
	}
	return nil
}

// versionsOf returns the versions that wrote the events of an answer, in order.
func versionsOf(a answer) []string {
	var versions []string
	for _, e := range a.events {
		fields := strings.Fields(e.data)
		v := fields[len(fields)-1]
		if len(versions) == 0 || versions[len(versions)-1] != v {
			versions = append(versions, v)
		}
	}
	return versions
}

// awaitServed waits until each front has served some requests.
func (r *run) awaitServed(path string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i, f := range r.fronts {
		for served := 0; served < 2; {
			a := ask(f.callers, "POST", path, fmt.Sprintf("warm%d-%d", i, time.Now().UnixNano()), promptHeaders(i), "body", 3*time.Second)
			if a.status == 200 {
				served++
				continue
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("front %s does not serve: status %d %s %v", f.name, a.status, a.body, a.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
