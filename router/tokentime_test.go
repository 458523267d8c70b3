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

// sendPrompts sends n prompts, one after the other, to each of the given engines, which take the
// given seconds per token.
func sendPrompts(r *Router, at *clock.Time, n int, tokenTime map[ident.TargetID]float64) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range n {
		for id, perToken := range tokenTime {
			req := Request{Service: "s", Stage: StagePrefill, Prompt: ident.Tokens(300 + rng.IntN(9000))}
			c, _ := r.ChooseOnly(req, id)
			c = r.Sent(*at, c, req)
			done := at.Add(seconds(float64(req.Prompt) * perToken * (0.8 + 0.4*rng.Float64())))
			r.FirstToken(done, c, req)
			r.Ended(done, c, req, true)
		}
		*at = at.Add(200 * time.Millisecond)
	}
	r.Expire(*at, 1)
}

// TestTokenTimeIsLearned checks that the learned time to first token is within 20% after 30
// outcomes per engine, for fleets of very different speeds, and that it adapts when all engines
// become slower.
func TestTokenTimeIsLearned(t *testing.T) {
	tests := map[string]struct {
		rate float64 // tokens per second
	}{
		"as assumed":        {60_000},
		"five times faster": {300_000},
		"five times slower": {12_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "r0", Links: Links{}, Seed: 1, SharedQueues: true, NoReservedEngine: true, LearnRates: true})
			tokenTime := map[ident.TargetID]float64{}
			for i := range 4 {
				id := ident.TargetID(fmt.Sprint("e", i))
				r.Put(Target{ID: id, Service: "s", Region: "r0", Role: desired.RolePrefill})
				r.Report(now, id, Report{PrefillRate: 60_000})
				tokenTime[id] = 1 / tt.rate
			}
			at := now
			sendPrompts(r, &at, 30, tokenTime)
			check := func(id ident.TargetID, prompt ident.Tokens) {
				t.Helper()
				want := float64(prompt) * tokenTime[id]
				c, _ := r.ChooseOnly(Request{Service: "s", Stage: StagePrefill, Prompt: prompt}, id)
				if got := c.TTFT.Seconds(); got < 0.8*want || got > 1.2*want {
					t.Errorf("%s: expected time to first token for %d tokens is %.0f ms, want within 20%% of %.0f ms", id, prompt, 1e3*got, 1e3*want)
				}
			}
			check("e0", 1500)
			check("e0", 8000)
			for id := range tokenTime {
				tokenTime[id] *= 3
			}
			sendPrompts(r, &at, 30, tokenTime)
			check("e0", 8000)
		})
	}
}
