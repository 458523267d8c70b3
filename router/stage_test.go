package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// stages replays a region with one prefill engine and two decode engines, which process prompts as well, more
// slowly. Engines take prompts in the order of arrival.
type stages struct {
	rng  *rand.Rand
	r    *Router
	free map[ident.TargetID]clock.Time // when an engine has done what it has
}

const (
	stageLong   = 8000 // tokens, on average
	stageShort  = 300
	stageLongs  = 9.0 // a second
	stageShorts = 60.0
)

var stageRates = map[ident.TargetID]ident.TokensPerSecond{"p": 70000, "d0": 26000, "d1": 26000}

func newStages(seed uint64) *stages {
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: seed, SharedQueues: true, NoReservedEngine: true, Handover: 20 * time.Millisecond})
	for id, rate := range stageRates {
		role := desired.RoleMixed
		if id == "p" {
			role = desired.RolePrefill
		}
		r.Put(Target{ID: id, Service: "s", Region: "r0", Role: role})
		r.Report(now, id, Report{Slots: 48, PrefillRate: rate})
	}
	return &stages{rng: rand.New(rand.NewPCG(seed, 7)), r: r, free: map[ident.TargetID]clock.Time{}}
}

// run plays a minute and returns the mean time to the first token. A choice is the router's, or the
// engine that is done with the prompt first.
func (st *stages) run(choose bool) time.Duration {
	var sum time.Duration
	at, n := now, 0
	for ; at.Before(now.Add(time.Minute)); n++ {
		at = at.Add(time.Duration(st.rng.ExpFloat64() * float64(time.Second) / (stageLongs + stageShorts)))
		tokens := float64(stageShort)
		if st.rng.Float64() < stageLongs/(stageLongs+stageShorts) {
			tokens = stageLong * (0.3 + 0.7*st.rng.ExpFloat64())
		}
		sum += st.first(at, ident.Tokens(tokens), choose)
	}
	return sum / time.Duration(n)
}

// first places a prompt and returns the time to its first token.
func (st *stages) first(at clock.Time, tokens ident.Tokens, choose bool) time.Duration {
	st.tell(at)
	id := st.soonest(at, tokens, "p", "d0", "d1")
	if choose {
		c, _ := st.r.Choose(Request{Service: "s", Stage: StagePrefill, Prompt: tokens})
		id = c.ID
	}
	done := st.done(at, id, tokens)
	st.free[id] = done
	if id == "p" { // the answer begins behind what a decode engine has to do
		done = st.done(done, st.soonest(done, 0, "d0", "d1"), 0)
	}
	return done.Sub(at)
}

func (st *stages) tell(at clock.Time) {
	for id, rate := range stageRates {
		queue := max(0, st.free[id].Sub(at).Seconds())
		st.r.SetQueued(at, id, ident.Tokens(queue*float64(rate)), 0)
	}
}

func (st *stages) done(at clock.Time, id ident.TargetID, tokens ident.Tokens) clock.Time {
	return max(at, st.free[id]).Add(seconds(float64(tokens) / float64(stageRates[id])))
}

func (st *stages) soonest(at clock.Time, tokens ident.Tokens, ids ...ident.TargetID) ident.TargetID {
	best := ids[0]
	for _, id := range ids[1:] {
		if st.done(at, id, tokens).Before(st.done(at, best, tokens)) {
			best = id
		}
	}
	return best
}

// TestLongPromptsAtDecodeEngines replays long prompts among short ones. A long prompt that goes where it is done
// first holds up the short ones and the answers at decode engines.
func TestLongPromptsAtDecodeEngines(t *testing.T) {
	var got, greedy time.Duration
	for seed := range uint64(5) {
		got += newStages(seed).run(true) / 5
		greedy += newStages(seed).run(false) / 5
	}
	t.Logf("first tokens after %v, %v where each prompt goes where it is done first", got, greedy)
	if got > greedy*9/10 {
		t.Errorf("first tokens after %v, more than nine tenths of %v", got, greedy)
	}
}
