package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases[12] = upgradedInPlace }

// upgradedInPlace replaces the software of replicas one after the other: a replica crashes, starts again under its id as
// the other version, and crashes once more a moment later. No answer may hold events of both versions.
func upgradedInPlace(r *run) ([]string, error) {
	const (
		replicas = 9
		fronts   = 6
		pieces   = 20
		pause    = 60 * time.Millisecond
		perS     = 30.0 // streams a second, over all fronts
		down     = 150 * time.Millisecond
		again    = 900 * time.Millisecond // from the start of the new version to its crash
		rounds   = 16
		between  = 3500 * time.Millisecond
	)
	r.cluster = newCluster(r.folder, r.binary, r.rec, []zone{{"pos-a", "north-trinidad"}}, 3, fronts)
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.op = newOperator(r.rec, r.seeds)
	var all []*replica
	for i := range replicas {
		p := &replica{id: fmt.Sprintf("i-%04d", i+1), service: "advisor", zone: "pos-a", addr: freeAddress(), slots: 48, engine: true, controls: r.seeds, rec: r.rec}
		p.serve = p.streamEvents(pieces, pause)
		if err := p.start("v1"); err != nil {
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
	for round := 0; round < rounds && time.Now().Add(between).Before(r.end.Add(-8*time.Second)); round++ {
		p := all[round%replicas]
		version := []string{"v2", "v1"}[round/replicas%2]
		if r.trouble {
			p.crash()
			time.Sleep(down)
			if err := p.start(version); err != nil {
				return nil, err
			}
			time.Sleep(again)
			p.crash()
			time.Sleep(down)
		} else {
			p.leave(2500 * time.Millisecond)
		}
		if err := p.start(version); err != nil {
			return nil, err
		}
		time.Sleep(between)
	}
	return load.end(), nil
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
