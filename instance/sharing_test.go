package instance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/router"
)

// promptReplay simulates long prompts that arrive through nine instances at three engines, at 90 %
// of the engines' capacity. Engines process prompts in order of arrival and do not report their
// queues; the instances exchange their loads at intervals.
type promptReplay struct {
	rng     *rand.Rand
	now     clock.Time
	routers []*router.Router
	sums    *inflight.Sums
	free    map[ident.TargetID]clock.Time // when an engine's queue is empty
	open    []openPrompt
	waited  time.Duration // total queueing time of all prompts
}

type openPrompt struct {
	at   *router.Router
	c    router.Choice
	req  router.Request
	ends clock.Time
}

const (
	replayEngines = 3
	replayRate    = 70000 // prompt tokens per second
	replayLoad    = 0.9
	replayPrompt  = 8000 // tokens, on average
	replayLink    = 12 * time.Millisecond
	replayStep    = time.Millisecond
)

func newPromptReplay(seed uint64) *promptReplay {
	p := &promptReplay{
		rng: rand.New(rand.NewPCG(seed, 5)), now: clock.Time(time.Hour), sums: inflight.New(), free: map[ident.TargetID]clock.Time{},
	}
	for i := range 9 {
		r := router.New(router.Config{Region: "r", Links: router.DefaultLinks(), Seed: seed + uint64(i), Noise: routeNoise, SharedQueues: true, NoReservedEngine: true})
		for e := range replayEngines {
			id := ident.TargetID(fmt.Sprint("e", e))
			r.Put(router.Target{ID: id, Service: "s", Region: "r", Role: desired.RolePrefill})
			r.Report(p.now, id, router.Report{Slots: 48, PrefillRate: replayRate})
		}
		p.routers = append(p.routers, r)
	}
	return p
}

// run simulates a minute with the given interval between two exchanges of an instance. It returns
// the mean queueing time of a prompt, and the least possible mean for the same prompts, where each
// goes to the engine that is free first.
func (p *promptReplay) run(every time.Duration) (mean, least time.Duration) {
	best := make([]clock.Time, replayEngines)
	var leastSum time.Duration
	n := 0
	for step := range int(time.Minute / replayStep) {
		p.now = p.now.Add(replayStep)
		p.finish()
		p.share(step, int(every/replayStep))
		if p.rng.Float64() >= replayLoad*replayEngines*replayRate/replayPrompt*replayStep.Seconds() {
			continue
		}
		n++
		tokens := ident.Tokens(replayPrompt * (0.2 + p.rng.ExpFloat64()*0.8))
		p.place(tokens)
		leastSum += queueAtEarliest(best, p.now, tokens)
	}
	return p.waited / time.Duration(n), leastSum / time.Duration(n)
}

func prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(tokens) / replayRate * float64(time.Second))
}

func queueAtEarliest(free []clock.Time, now clock.Time, tokens ident.Tokens) time.Duration {
	soonest := 0
	for i := range free {
		if free[i].Before(free[soonest]) {
			soonest = i
		}
	}
	start := max(now, free[soonest])
	free[soonest] = start.Add(prefillTime(tokens))
	return start.Sub(now)
}

func (p *promptReplay) place(tokens ident.Tokens) {
	r := p.routers[p.rng.IntN(len(p.routers))]
	req := router.Request{Service: "s", Stage: router.StagePrefill, Prompt: tokens}
	c, _ := r.Choose(req)
	r.Sent(p.now, c, req)
	start := max(p.now, p.free[c.ID])
	p.waited += start.Sub(p.now)
	ends := start.Add(prefillTime(tokens))
	p.free[c.ID] = ends
	p.open = append(p.open, openPrompt{r, c, req, ends})
}

// finish reports processed prompts to their instances.
func (p *promptReplay) finish() {
	kept := p.open[:0]
	for _, o := range p.open {
		if p.now.Before(o.ends) {
			kept = append(kept, o)
			continue
		}
		o.at.Ended(p.now, o.c, o.req, false)
	}
	p.open = kept
}

// share exchanges the loads of the instances whose turn it is. The totals that they receive are as
// old as the round trip to the leader.
func (p *promptReplay) share(step, every int) {
	for i, r := range p.routers {
		if (step+i*every/len(p.routers))%every != 0 {
			continue
		}
		loads := inflight.Loads{}
		for _, o := range r.OwnLoads(p.now) {
			loads[o.Target] = inflight.Load{Waiting: o.Waiting}
		}
		p.sums.Put(p.now, ident.InstanceID(fmt.Sprint("i", i)), loads)
		total := p.sums.Total(p.now, 1)
		for e := range replayEngines {
			id := ident.TargetID(fmt.Sprint("e", e))
			r.SetQueued(p.now, id, total[id].Waiting, replayLink+time.Duration(every)*replayStep/2)
		}
	}
}

// TestLoadsAreFresh checks that the exchange interval keeps loads recent enough. A long prompt
// takes an engine a tenth of a second, so with loads that are some tenths of a second old, several
// instances send prompts to the same engine while another one is idle.
func TestLoadsAreFresh(t *testing.T) {
	var mean, least time.Duration
	for seed := range uint64(5) {
		m, l := newPromptReplay(seed).run(shareInterval + 9*intervalPerInstance)
		mean, least = mean+m/5, least+l/5
	}
	t.Logf("mean wait %v, least possible %v", mean, least)
	if mean > 3*least/2 {
		t.Errorf("mean queueing time %v, want at most 1.5 times the least possible %v", mean, least)
	}
}
