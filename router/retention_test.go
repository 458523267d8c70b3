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

// TestRetentionFollowsTheLoad replays long prompts, read by engines whose memory the least
// recently used ones leave, half of it being taken by running requests. The time for which an
// instance counts a prompt as cached is near the one for which engines have it, whether few
// engines are busy or many are not, and through how many instances the prompts come.
func TestRetentionFollowsTheLoad(t *testing.T) {
	const (
		memory  = 600_000 // tokens
		prompt  = 15_000  // tokens
		longest = time.Minute
	)
	for name, test := range map[string]struct {
		engines, instances int
		each               float64 // prompts that an engine reads in a second
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
			r.SetMemory("s", memory)
			at := clock.Time(time.Hour)
			rate := test.each * float64(test.engines)
			for end := at.Add(2 * time.Minute); at.Before(end); {
				at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if rng.IntN(test.instances) > 0 {
					continue // through another instance
				}
				req := Request{Service: "s", Stage: StagePrefill, Prompt: prompt}
				c, _ := r.Choose(req)
				r.Sent(at, c, req)
				r.Ended(at, c, req, false)
			}
			has := min(longest.Seconds(), memory/2/(test.each*prompt))
			got := r.turnovers["s"].retention(at, test.engines, test.instances, longest).Seconds()
			if got < has/2 || got > has*2 {
				t.Errorf("counted as cached for %.1f s, engines have a prompt for %.1f s", got, has)
			}
		})
	}
}

// TestForget drops a prompt after the time for which engines have it, and never while
// nothing is known of their memory.
func TestForget(t *testing.T) {
	for name, test := range map[string]struct {
		memory ident.Tokens
		forgot bool
	}{
		"memory known":   {30_000, true},
		"memory unknown": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, MaxRetention: time.Minute})
			r.Put(Target{ID: "e", Service: "s", Region: "r", Role: desired.RoleMixed})
			r.SetMemory("s", test.memory)
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
			if forgot := c.Cached == 0; forgot != test.forgot {
				t.Errorf("forgot: %v, want %v", forgot, test.forgot)
			}
		})
	}
}

// TestMemoryOfAServiceWithoutTargets tells of the memory of engines that are not there yet.
func TestMemoryOfAServiceWithoutTargets(t *testing.T) {
	r := New(Config{Region: "r", Links: DefaultLinks(), Seed: 1, MaxRetention: time.Minute})
	r.SetMemory("s", 1000)
	if c, ok := r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: 100}); ok {
		t.Errorf("chosen: %+v", c)
	}
}
