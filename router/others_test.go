package router

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// TestOldReportsDoNotOverfill lets instances with the same old reports place long
// running requests. Six of seven stand in the first region, whose engines alone have
// not enough room; they may not be overfilled while there is room in the other.
func TestOldReportsDoNotOverfill(t *testing.T) {
	const (
		instances, engines, slots = 7, 8, 100
		each                      = 100 // requests of an instance, one a step
		step                      = 400 * time.Millisecond
		lag                       = 12 // steps
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
	var past []map[ident.TargetID]int // the loads at each step
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
	t.Logf("fullest engine %d of %d places, an even spread has %d", most, slots, instances*each/engines)
	// Within a step the instances know nothing of each other.
	if most > slots+instances {
		t.Errorf("fullest engine has %d requests and %d places", most, slots)
	}
}

func regionOf(i int) ident.RegionID { return ident.RegionID(fmt.Sprint("r", i)) }

func TestEstimate(t *testing.T) {
	for name, test := range map[string]struct {
		reported, then, own, alike, want float64
	}{
		"as reported":              {10, 2, 2, 3, 8},
		"what all have sent since": {10, 2, 4, 3, 14},
		"what all have ended":      {10, 2, 1, 3, 5},
		"never less than nothing":  {10, 2, 0, 6, 0},
		"a report without own":     {1, 2, 2, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := estimate{own: test.then}
			e.take(test.reported, test.then, 0)
			if got := e.now(test.own, test.alike); got != test.want {
				t.Errorf("others %v, want %v", got, test.want)
			}
		})
	}
}
