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

// outcomes sends prompts one after the other to the engines of a service, which take pace for each token.
func outcomes(r *Router, at *clock.Time, n int, pace map[ident.TargetID]float64) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range n {
		for id, p := range pace {
			req := Request{Service: "s", Stage: StagePrefill, Prompt: ident.Tokens(300 + rng.IntN(9000))}
			c, _ := r.ChooseOnly(req, id)
			c = r.Sent(*at, c, req)
			done := at.Add(seconds(float64(req.Prompt) * p * (0.8 + 0.4*rng.Float64())))
			r.FirstToken(done, c, req)
			r.Ended(done, c, req, true)
		}
		*at = at.Add(200 * time.Millisecond)
	}
	r.Expire(*at, 1)
}

// TestPaceIsLearnt checks that the time to the first token is learnt within 20% in 30 outcomes an engine, for fleets of
// very different speeds, and follows when all turn slow.
func TestPaceIsLearnt(t *testing.T) {
	tests := map[string]struct {
		rate float64 // tokens a second
	}{
		"as assumed":        {60_000},
		"five times faster": {300_000},
		"five times slower": {12_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "r0", Links: Links{}, Seed: 1, SharedQueues: true, NoReservedEngine: true, LearnRates: true})
			pace := map[ident.TargetID]float64{}
			for i := range 4 {
				id := ident.TargetID(fmt.Sprint("e", i))
				r.Put(Target{ID: id, Service: "s", Region: "r0", Role: desired.RolePrefill})
				r.Report(now, id, Report{PrefillRate: 60_000})
				pace[id] = 1 / tt.rate
			}
			at := now
			outcomes(r, &at, 30, pace)
			check := func(id ident.TargetID, prompt ident.Tokens) {
				t.Helper()
				want := float64(prompt) * pace[id]
				c, _ := r.ChooseOnly(Request{Service: "s", Stage: StagePrefill, Prompt: prompt}, id)
				if got := c.TTFT.Seconds(); got < 0.8*want || got > 1.2*want {
					t.Errorf("%s: %d tokens are expected after %.0f ms, take %.0f", id, prompt, 1e3*got, 1e3*want)
				}
			}
			check("e0", 1500)
			check("e0", 8000)
			for id := range pace {
				pace[id] *= 3
			}
			outcomes(r, &at, 30, pace)
			check("e0", 8000)
		})
	}
}
