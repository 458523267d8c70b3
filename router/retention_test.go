package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestRetentionFollowsTheLoad replays long prompts at engines that evict the least recently used
// ones, with half of the memory occupied by running requests. The time for which an instance counts
// a prompt as cached must be close to the time for which engines keep it, for few busy engines and
// many idle ones, and for any number of instances that send the prompts.
func TestRetentionFollowsTheLoad(t *testing.T) {
	const (
		memory  = 600_000 // tokens
		prompt  = 15_000  // tokens
		longest = time.Minute
	)
	for name, test := range map[string]struct {
		engines, instances int
		perEngine          float64 // prompts per second for each engine
	}{
		"few busy engines":          {9, 9, 2},
		"many engines":              {48, 86, 1},
		"one instance":              {9, 1, 1.5},
		"many engines, hardly used": {48, 20, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, MaxRetention: longest})
			for i := range test.engines {
				r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", i)), Service: "s", Region: "r", Role: desired.RoleMixed})
			}
			r.SetKVCapacity("s", memory)
			at := clock.Time(time.Hour)
			rate := test.perEngine * float64(test.engines)
			for end := at.Add(2 * time.Minute); at.Before(end); {
				at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if rng.IntN(test.instances) > 0 {
					continue // sent by another instance
				}
				req := Request{Service: "s", Stage: StagePrefill, Prompt: prompt}
				c, _ := r.Choose(req)
				r.Sent(at, c, req)
				r.Ended(at, c, req, false)
			}
			want := min(longest.Seconds(), memory/2/(test.perEngine*prompt))
			got := r.turnovers["s"].retention(at, test.engines, test.instances, longest).Seconds()
			if got < want/2 || got > want*2 {
				t.Errorf("retention estimated as %.1f s, engines keep a prompt for %.1f s", got, want)
			}
		})
	}
}

// TestExpire checks that a prompt is dropped after the time for which engines keep it, and never
// while their memory size is unknown.
func TestExpire(t *testing.T) {
	for name, test := range map[string]struct {
		memory  ident.Tokens
		expired bool
	}{
		"memory known":   {30_000, true},
		"memory unknown": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, MaxRetention: time.Minute})
			r.Put(Target{ID: "e", Service: "s", Region: "r", Role: desired.RoleMixed})
			r.SetKVCapacity("s", test.memory)
			at := clock.Time(time.Hour)
			r.RecordCached(at, "e", []uint64{1})
			for range 10 {
				at = at.Add(time.Second)
				req := Request{Service: "s", Stage: StagePrefill, Prompt: 15_000}
				c, _ := r.Choose(req)
				r.Sent(at, c, req)
				r.Ended(at, c, req, false)
				r.Expire(at, 1)
			}
			c, _ := r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: 2000, Blocks: []uint64{1}})
			if expired := c.Cached == 0; expired != test.expired {
				t.Errorf("prefix expired: %v, want %v", expired, test.expired)
			}
		})
	}
}

// TestMemoryOfAServiceWithoutTargets sets the memory size of engines that have not been added yet.
func TestMemoryOfAServiceWithoutTargets(t *testing.T) {
	r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, MaxRetention: time.Minute})
	r.SetKVCapacity("s", 1000)
	if c, ok := r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: 100}); ok {
		t.Errorf("chose %+v without a target", c)
	}
}
