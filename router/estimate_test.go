package router

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// TestOldReportsDoNotOverfill checks that instances which act on the same old reports do not
// overfill engines. Six of seven instances are in the first region, whose engines alone have too
// little capacity for the long running requests, while the other region has capacity left.
func TestOldReportsDoNotOverfill(t *testing.T) {
	const (
		instances, engines, slots = 7, 8, 100
		each                      = 100 // requests of an instance, one per step
		step                      = 400 * time.Millisecond
		lag                       = 12 // age of reports in steps
	)
	var routers []*Router
	for i := range instances {
		r := New(Config{Region: regionOf(i / 6), Links: DefaultLinks(), Seed: uint64(i), Noise: 0.1})
		for e := range engines {
			r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", e)), Service: "s", Region: regionOf(e % 2), Role: desired.RoleDecode})
		}
		routers = append(routers, r)
	}
	running := map[ident.TargetID]int{}
	var past []map[ident.TargetID]int // loads at each step
	req := Request{Service: "s", Stage: StageDecode, Prompt: 1000}
	for n := range each {
		at := now.Add(time.Duration(n) * step)
		past = append(past, maps.Clone(running))
		for _, r := range routers {
			for id, load := range past[max(0, n-lag)] {
				r.Report(at, id, Report{Age: lag * step, Running: load, Slots: slots})
			}
			c, _ := r.Choose(req)
			r.Sent(at, c, req)
			running[c.ID]++
		}
	}
	most := 0
	for _, n := range running {
		most = max(most, n)
	}
	t.Logf("most loaded engine %d requests, batch size %d, even spread %d", most, slots, instances*each/engines)
	// Within a step, the instances have no information about each other's requests.
	if most > slots+instances {
		t.Errorf("most loaded engine has %d requests, batch size is %d", most, slots)
	}
}

func regionOf(i int) ident.RegionID { return ident.RegionID(fmt.Sprint("r", i)) }

func TestEstimate(t *testing.T) {
	for name, test := range map[string]struct {
		reported, then, own, herdFactor, want float64
	}{
		"as reported":                      {10, 2, 2, 3, 8},
		"sent by all since the report":     {10, 2, 4, 3, 14},
		"ended at all since the report":    {10, 2, 1, 3, 5},
		"never negative":                   {10, 2, 0, 6, 0},
		"report smaller than the own load": {1, 2, 2, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := estimate{own: test.then}
			e.observe(test.reported, test.then, 0)
			if got := e.current(test.own, test.herdFactor); got != test.want {
				t.Errorf("load of others %v, want %v", got, test.want)
			}
		})
	}
}
