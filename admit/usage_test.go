package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// TestUsageIsTheDecayedSum compares the sums with decayed sums over every single use, also between
// sweeps.
func TestUsageIsTheDecayedSum(t *testing.T) {
	type use struct {
		at   time.Duration
		cost float64
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var u usage
	uses := map[ident.TenantID][]use{}
	for at := time.Duration(0); at < time.Minute; at += time.Duration(rng.IntN(300)) * time.Millisecond {
		now := start.Add(at)
		u.sweep(now)
		id := ident.TenantID(fmt.Sprint("t", rng.IntN(4)))
		u.add(now, id, 1)
		uses[id] = append(uses[id], use{at, 1})
		total := 0.0
		for id, list := range uses {
			want := 0.0
			for _, use := range list {
				want += use.cost * math.Exp(-(at-use.at).Seconds()/usageWindow.Seconds())
			}
			total += want
			if got := u.costs[id] / u.growth(now); math.Abs(got-want) > 1e-9 {
				t.Fatalf("%s at %s: %v, want %v", id, at, got, want)
			}
		}
		if got := u.total / u.growth(now); math.Abs(got-total) > 1e-9 {
			t.Fatalf("at %s: total %v, want %v", at, got, total)
		}
	}
	u.sweep(start.Add(time.Hour))
	if len(u.costs) != 0 {
		t.Errorf("%d tenants after an idle hour, want 0", len(u.costs))
	}
}

// TestHeavyGainsNothingByReturning offers returning requests of a tenant that exceeds an equal
// share, with and without a weight that entitles it to its usage.
func TestHeavyGainsNothingByReturning(t *testing.T) {
	for name, test := range map[string]struct {
		weight   float64
		entitled bool
	}{
		"exceeds its share":         {1, false},
		"within its weighted share": {8, true},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1000)
			q.SetLimit(start, "big", Limit{Weight: test.weight})
			request := func(id uint64, tenant ident.TenantID, returning bool) Request {
				return Request{ID: id, Tenant: tenant, Class: "c", Cost: 100 * time.Millisecond, Objective: time.Minute, Returning: returning}
			}
			q.Offer(start, request(1, "small", false))
			for id := range uint64(8) { // fits the window
				q.Offer(start, request(10+id, "big", false))
			}
			for id := range uint64(40) { // fills the window and the queue
				q.Offer(start, request(100+id, "big", false))
			}
			v, decided := q.Offer(start, request(2, "big", true))
			if got := decided && v.Err == nil && v.Entitled; got != test.entitled {
				t.Errorf("started as an entitled request: %v, want %v", got, test.entitled)
			}
		})
	}
}
