package router

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// scan returns the least-cost target by a scan of all targets, without the tree.
func scan(r *Router, req Request) candidate {
	r.updateReserved()
	q := r.newQuery(req)
	r.markCachedBlocks(req.Blocks)
	defer r.clearCachedBlocks()
	best := candidate{-1, math.Inf(1)}
	for i := range r.slots {
		r.consider(int32(i), &q, &best)
	}
	return best
}

// randomChange makes a random change to a random target.
func randomChange(r *Router, rng *rand.Rand, prompt []uint64) {
	id := ident.TargetID(fmt.Sprint("e", rng.IntN(150)))
	switch rng.IntN(8) {
	case 0, 1, 2:
		r.Put(Target{
			ID: id, Service: ident.ServiceID(fmt.Sprint("s", rng.IntN(2))),
			Region: ident.RegionID(fmt.Sprint("r", rng.IntN(3))), Domain: "d0",
			Role:    []desired.Role{desired.RoleMixed, desired.RolePrefill, desired.RoleDecode}[rng.IntN(3)],
			Version: fmt.Sprint("v", rng.IntN(2)),
		})
	case 3, 4:
		r.Report(now, id, Report{
			Waiting: ident.Tokens(rng.IntN(20_000)), Running: rng.IntN(80), Slots: 64,
			PrefillRate: ident.TokensPerSecond(6000 + rng.IntN(6000)),
		})
	case 5:
		r.SetUsable(id, rng.IntN(2) == 0)
	case 6:
		r.CacheEvent(id, uint64(rng.IntN(100)), prompt[:rng.IntN(len(prompt))], nil)
	case 7:
		r.Remove(id)
	}
}

func randomRequest(rng *rand.Rand, prompt []uint64) Request {
	req := Request{
		Service: ident.ServiceID(fmt.Sprint("s", rng.IntN(2))),
		Stage:   Stage(rng.IntN(int(stageCount))),
		Prompt:  ident.Tokens(rng.IntN(20_000)),
		Blocks:  prompt,
		Avoid:   ident.TargetID(fmt.Sprint("e", rng.IntN(150))),
	}
	if rng.IntN(2) == 0 {
		req.Version = fmt.Sprint("v", rng.IntN(2))
	}
	if rng.IntN(2) == 0 {
		req.KVRegion = ident.RegionID(fmt.Sprint("r", rng.IntN(3)))
	}
	return req
}

// TestSearchFindsWhatAScanFinds compares the tree search with a linear scan, through random changes
// of a fleet whose groups are smaller than maxVisits.
func TestSearchFindsWhatAScanFinds(t *testing.T) {
	chosen := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		r := New(Config{Region: "r0", Domain: "d0", Links: DefaultLinks(), Seed: seed})
		prompt := testBlocks(12, seed)
		for step := range 300 {
			randomChange(r, rng, prompt)
			req := randomRequest(rng, prompt)
			want := scan(r, req)
			c, ok := r.Choose(req)
			if ok != (want.slot >= 0) {
				t.Fatalf("seed %d step %d: search found a target: %v, linear scan: %v", seed, step, ok, want.slot >= 0)
			}
			if !ok {
				continue
			}
			chosen++
			q := r.newQuery(req)
			got := candidate{-1, math.Inf(1)}
			r.markCachedBlocks(req.Blocks)
			r.consider(c.slot, &q, &got)
			r.clearCachedBlocks()
			if got.cost != want.cost {
				t.Fatalf("seed %d step %d: search cost %v, linear scan %v", seed, step, got.cost, want.cost)
			}
		}
	}
	if chosen < 10_000 {
		t.Errorf("only %d choices compared, want at least 10000", chosen)
	}
}

// TestWorkOfAChoice bounds the nodes that a choice examines among 5,300 engines: at most maxVisits
// paths down the tree, whatever the load.
func TestWorkOfAChoice(t *testing.T) {
	const engines, height = 5300, 13
	busy, req := busyFleet(engines)
	noisyBusy, _ := busyFleet(engines)
	noisyBusy.cfg.Noise = 0.1
	noisyIdle := fleetOf(engines)
	noisyIdle.cfg.Noise = 0.1
	for name, r := range map[string]*Router{"busy": busy, "noisy and busy": noisyBusy, "noisy and idle": noisyIdle} {
		for range 100 {
			before := r.visitedNodes
			r.Choose(req)
			if n := r.visitedNodes - before; n > 2*height*maxVisits {
				t.Fatalf("%s: %d nodes examined for one choice", name, n)
			}
		}
		t.Logf("%s: %d nodes per choice", name, r.visitedNodes/100)
	}
}

// TestRareVersionIsFound requests a version that only one of 1,000 engines has.
func TestRareVersionIsFound(t *testing.T) {
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: 1, Noise: 0.1})
	for i := range 1000 {
		version := "old"
		if i == 700 {
			version = "new"
		}
		r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", i)), Service: "s", Region: "r0", Role: desired.RoleMixed, Version: version})
	}
	c, ok := r.Choose(Request{Service: "s", Version: "new", Stage: StagePrefill, Prompt: 100})
	if !ok || c.ID != "e700" {
		t.Errorf("chose %q, want e700", c.ID)
	}
}

// TestEqualChoicesSpread checks that instances with the same reports do not send their requests to
// the same few of many equal engines.
func TestEqualChoicesSpread(t *testing.T) {
	const engines, choices = 1000, 200
	hit := map[ident.TargetID]int{}
	for instance := range uint64(20) {
		r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: instance, Noise: 0.1})
		for i := range engines {
			r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", i)), Service: "s", Region: "r0", Role: desired.RoleMixed})
		}
		req := Request{Service: "s", Stage: StagePrefill, Prompt: 100}
		for range choices {
			c, _ := r.Choose(req)
			r.Sent(now, c, req)
			hit[c.ID]++
		}
	}
	most := 0
	for _, n := range hit {
		most = max(most, n)
	}
	// 20 × 200 requests on 1,000 engines are 4 per engine.
	if most > 16 || len(hit) < 900 {
		t.Errorf("%d engines used, the most loaded %d times", len(hit), most)
	}
}
