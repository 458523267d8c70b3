package router

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// TestAccess checks which targets are chosen while some have rate limits, and that limits change
// neither what counts as usable nor, with a permit, what may be chosen.
func TestAccess(t *testing.T) {
	for name, test := range map[string]struct {
		access  map[ident.TargetID]Access
		allowed []ident.TargetID // one of these is chosen; none if empty
	}{
		"no limit":               {nil, []ident.TargetID{"t0", "t1", "t2"}},
		"exhausted":              {map[ident.TargetID]Access{"t0": Exhausted}, []ident.TargetID{"t1", "t2"}},
		"one permit":             {map[ident.TargetID]Access{"t0": Exhausted, "t1": Permitted, "t2": Exhausted}, []ident.TargetID{"t1"}},
		"all exhausted":          {map[ident.TargetID]Access{"t0": Exhausted, "t1": Exhausted, "t2": Exhausted}, nil},
		"reserved for short":     {map[ident.TargetID]Access{"t0": Permitted}, []ident.TargetID{"t0", "t1", "t2"}},
		"reserved and exhausted": {map[ident.TargetID]Access{"t0": Exhausted, "t1": Exhausted}, []ident.TargetID{"t2"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, HomeEngines: true})
			for i := range 3 {
				r.Put(Target{ID: ident.TargetID(fmt.Sprint("t", i)), Service: "s", Region: "r", Domain: "d", Role: desired.RolePrefill})
			}
			for id, a := range test.access {
				r.SetAccess(id, a)
			}
			for n := range uint64(50) {
				c, ok := r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: 2048, Blocks: []uint64{n, n + 1000}})
				if ok != (len(test.allowed) > 0) || ok && !slices.Contains(test.allowed, c.ID) {
					t.Fatalf("chose %q (%v), want one of %v", c.ID, ok, test.allowed)
				}
			}
			if n := r.UsableEngines("s"); n != 3 {
				t.Errorf("%d usable engines, want 3", n)
			}
			for id := range test.access {
				if !r.Accepts(id, StagePrefill) || r.Accepts(id, StageDecode) {
					t.Errorf("%s accepts the wrong stages", id)
				}
			}
		})
	}
}

// TestLimitedEngineIsNoHome checks that a prompt whose home gets a rate limit finds another home, and
// comes back when the limit ends.
func TestLimitedEngineIsNoHome(t *testing.T) {
	r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, HomeEngines: true, NoReservedEngine: true})
	for i := range 3 {
		r.Put(Target{ID: ident.TargetID(fmt.Sprint("t", i)), Service: "s", Region: "r", Domain: "d", Role: desired.RoleMixed})
	}
	blocks := []uint64{7, 8}
	home := func() ident.TargetID {
		r.updateReserved()
		q := r.newQuery(Request{Service: "s", Stage: StagePrefill, Prompt: 2048, Blocks: blocks})
		r.findHome(blocks, &q)
		return r.details[q.home].target.ID
	}
	first := home()
	r.SetAccess(first, Permitted)
	if second := home(); second == first {
		t.Errorf("%s is a home with a rate limit", first)
	}
	r.SetAccess(first, Unlimited)
	if again := home(); again != first {
		t.Errorf("home %s after the limit ended, want %s", again, first)
	}
}
