package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestPausesKeepPromptsAway replays prompts of 2,000 tokens at one prefill engine and one engine
// that generates answers. While pauses in the answers exceed their objective, prompts wait at the
// prefill engine. Once they do not, the other engine receives prompts again.
func TestPausesKeepPromptsAway(t *testing.T) {
	const (
		prompt  = 2000
		rate    = 32     // prompts per second; only bursts exceed the prefill engine
		process = 30_000 // tokens per second at the engine that generates answers
		pauses  = 4_000  // prompt tokens per second there above which pauses exceed the objective
	)
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: 1, SharedQueues: true, NoReservedEngine: true, Handover: 20 * time.Millisecond})
	for id, e := range map[ident.TargetID]struct {
		role desired.Role
		rate ident.TokensPerSecond
	}{"prefill": {desired.RolePrefill, 70_000}, "answers": {desired.RoleMixed, process}} {
		r.Put(Target{ID: id, Service: "s", Region: "r0", Role: e.role})
		r.Report(now, id, Report{Slots: 48, PrefillRate: e.rate})
	}
	type running struct {
		c    Choice
		ends clock.Time
	}
	req := Request{Service: "s", Stage: StagePrefill, Prompt: prompt}
	rng := rand.New(rand.NewPCG(1, 3))
	free := map[ident.TargetID]clock.Time{}
	var open []running
	play := func(from, to clock.Time, count func(answers bool) (late bool)) (answers, all int) {
		for at := from; at.Before(to); at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate)) {
			kept := open[:0]
			for _, o := range open {
				if o.ends.After(at) {
					kept = append(kept, o)
					continue
				}
				r.FirstToken(at, o.c, req)
				r.Ended(at, o.c, req, true)
			}
			open = kept
			c, _ := r.Choose(req)
			r.Sent(at, c, req)
			took := time.Duration(prompt * r.slots[c.slot].tokenTime * float64(time.Second))
			free[c.ID] = max(free[c.ID], at).Add(took)
			open = append(open, running{c, free[c.ID]})
			all++
			if c.ID == "answers" {
				answers++
			}
			r.RecordPause("s", count(c.ID == "answers"))
		}
		return answers, all
	}
	recent := 0.0 // prompt tokens per second at the engine that generates answers
	late := func(answers bool) bool {
		recent -= recent / rate
		if answers {
			recent += prompt
		}
		return recent > pauses
	}
	middle, end := now.Add(60*time.Second), now.Add(120*time.Second)
	play(now, now.Add(10*time.Second), late)
	kept, all := play(now.Add(10*time.Second), middle, late)
	sound := func(bool) bool { return false }
	play(middle, middle.Add(10*time.Second), sound)
	taken, _ := play(middle.Add(10*time.Second), end, sound)
	if kept > taken/2 {
		t.Errorf("%d of %d prompts at the engine while its pauses exceed the objective, %d while they do not", kept, all, taken)
	}
	if taken < all/20 {
		t.Errorf("only %d of %d prompts at an engine without late pauses", taken, all)
	}
}
