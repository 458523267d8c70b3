package router

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
)

// TestTakeWork checks the load that requests add to the engines: prompts by the time of a prefill
// engine without shared tokens, answers by batch slots and memory, and nothing for a withdrawn
// request.
func TestTakeWork(t *testing.T) {
	r := New(Config{Region: "r0", Links: Links{}, Seed: 1, SharedQueues: true, NoReservedEngine: true})
	for id, role := range map[ident.TargetID]desired.Role{"p": desired.RolePrefill, "m": desired.RoleMixed} {
		r.Put(Target{ID: id, Service: "s", Region: "r0", Role: role})
		r.Report(now, id, Report{PrefillRate: 50_000, Slots: 10})
	}
	r.SetKVCapacity("s", 100_000)
	r.TakeWork(now)
	send := func(id ident.TargetID, req Request) Choice {
		c, _ := r.ChooseOnly(req, id)
		return r.Sent(now, c, req)
	}
	prompt := Request{Service: "s", Stage: StagePrefill, Prompt: 5*BlockTokens + 5000, Blocks: []uint64{1, 2, 3, 4, 5}}
	first := send("p", prompt) // 5,000 unshared tokens: 0.1 s
	answer := prompt
	answer.Stage = StageDecode
	second := send("m", answer)
	withdrawn := send("m", Request{Service: "s", Stage: StagePrefill, Prompt: 9000})
	r.Withdrawn(now, withdrawn, Request{Service: "s", Stage: StagePrefill, Prompt: 9000})
	w := r.TakeWork(now.Add(500 * time.Millisecond))["s"]
	if w.Prefill < 0.19 || w.Prefill > 0.21 || w.Decode != 0.1 || w.Memory < 0.1 || w.Memory > 0.102 {
		t.Errorf("load %+v, want 0.2 engines for prefill and 0.1 for decode", w)
	}
	r.FirstToken(now, first, prompt)
	r.Ended(now, first, prompt, true)
	r.Ended(now, second, answer, true)
	if w := r.TakeWork(now.Add(time.Second))["s"]; w.Prefill+w.Decode+w.Memory != 0 {
		t.Errorf("load %+v after all requests ended, want 0", w)
	}
}
