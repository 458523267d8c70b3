package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

const (
	placedEngines = 20
	placedSlots   = 6
)

// placedFleet returns a fleet that knows some engines for the rest of the test, by a clock of its own.
func placedFleet(at *clock.Time, seed uint64, engines int) *TargetPool {
	f := NewTargetPool(router.Config{Region: "r", Links: router.DefaultLinks(), Seed: seed, Noise: 0.1, SharedQueues: true, HomeEngines: true, NoReservedEngine: true}, NewGate(), 1)
	f.now = func() clock.Time { return *at }
	f.SetMaxLease(time.Hour)
	for i := range engines {
		a := announced(i, 1)
		a.Lease = desired.Duration(time.Hour)
		a.Load.Slots, a.Load.Prefill = placedSlots, 50_000
		f.Announce(*at, a)
	}
	return f
}

// TestPlacerKnowsTheLoad replays 150 instances that send short prompts to 20 engines of 6 places, which are two thirds in
// use. Where each chooses by what it has itself, many prompts come to full engines; where one chooses for all, none does.
func TestPlacerKnowsTheLoad(t *testing.T) {
	const (
		instances = 150
		lasts     = 100 * time.Millisecond
		rate      = 800 // a second
		requests  = 4000
	)
	at := start
	full := func(choose func(n int) (ident.TargetID, func())) int {
		rng := rand.New(rand.NewPCG(1, 2))
		busy := map[ident.TargetID]int{}
		type running struct {
			id   ident.TargetID
			ends clock.Time
			done func()
		}
		var open []running
		late := 0
		for range requests {
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
			kept := open[:0]
			for _, o := range open {
				if o.ends.After(at) {
					kept = append(kept, o)
					continue
				}
				busy[o.id]--
				o.done()
			}
			open = kept
			id, done := choose(rng.IntN(instances))
			if busy[id] >= placedSlots {
				late++
			}
			busy[id]++
			open = append(open, running{id, at.Add(lasts), done})
		}
		return late
	}
	req := router.Request{Service: "advisor", Stage: router.StagePrefill, Prompt: 300}
	fleets := make([]*TargetPool, instances)
	for i := range fleets {
		fleets[i] = placedFleet(&at, uint64(i), placedEngines)
	}
	alone := full(func(n int) (ident.TargetID, func()) {
		a, err := fleets[n].Choose(at, req)
		if err != nil {
			t.Fatal(err)
		}
		return a.Choice.ID, a.Finish
	})
	p := NewPlacer(placedFleet(&at, 1, placedEngines))
	placed := full(func(int) (ident.TargetID, func()) {
		got, err := p.Place(at, &peer.Place{Service: "advisor", Need: router.StagePrefill, Prompt: 300, Remaining: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return got.Target, func() {
			p.Notify([]peer.Note{{Ticket: got.Ticket, Event: peer.NoteFirstToken}, {Ticket: got.Ticket, Event: peer.NoteEnded}})
		}
	})
	if placed > 0 || alone < requests/20 {
		t.Errorf("%d of %d requests placed at full engines, %d where each instance chooses", placed, requests, alone)
	}
}

// TestPlacerAnswers checks whom a placer refuses, and that it forgets what nobody tells of.
func TestPlacerAnswers(t *testing.T) {
	at := start
	p := NewPlacer(placedFleet(&at, 1, 2))
	long := peer.Place{Service: "advisor", Need: router.StagePrefill, Prompt: 20_000, Remaining: 2 * time.Second, TTFTObjective: 300 * time.Millisecond, KnownEngines: 2}
	if _, err := p.Place(at, &peer.Place{Service: "advisor", KnownEngines: 3}); !fault.Is(err, fault.NoTarget) {
		t.Errorf("a placer that knows 2 of 3 engines: %v", err)
	}
	for name, bad := range map[string]peer.Place{
		"unknown need": {Service: "advisor", Need: 200}, "negative prompt": {Service: "advisor", Prompt: -1}, "negative time": {Service: "advisor", Remaining: -1},
	} {
		if _, err := p.Place(at, &bad); !fault.Is(err, fault.BadRequest) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// A prompt whose own processing takes longer than its objective is served while few wait.
	for n := range 2 {
		if got, err := p.Place(at, &long); err != nil || got.RetryAfter > 0 {
			t.Fatalf("prompt %d: %+v, %v", n, got, err)
		}
	}
	got, err := p.Place(at, &long)
	if err != nil || got.RetryAfter == 0 {
		t.Fatalf("a prompt that would wait 400 ms for one of 300: %+v, %v", got, err)
	}
	urgent := long
	urgent.Prompt, urgent.Urgency = 500, 0
	long.Urgency = 1
	// What is as urgent as the others waits for them; the others' time passes, told of or not.
	if got, err := p.Place(at, &urgent); err != nil || got.RetryAfter == 0 {
		t.Errorf("as urgent as those that wait: %+v, %v", got, err)
	}
	at = at.Add(long.Remaining + placedSlack + time.Millisecond)
	p.ExpirePlacements(at)
	if len(p.open) != 0 {
		t.Errorf("%d placements are kept beyond their time", len(p.open))
	}
	for range 2 {
		if got, err := p.Place(at, &long); err != nil || got.RetryAfter > 0 {
			t.Fatalf("after the others' time: %+v, %v", got, err)
		}
	}
	if got, err := p.Place(at, &urgent); err != nil || got.RetryAfter > 0 {
		t.Errorf("more urgent than those that wait: %+v, %v", got, err)
	}
	p.Notify([]peer.Note{{Ticket: 99, Event: peer.NoteEnded}, {Ticket: got.Ticket, Event: 250}}) // of another run; of a later version
}

// TestWithdrawnPlacement checks that a prompt that was placed and not sent leaves nothing behind.
func TestWithdrawnPlacement(t *testing.T) {
	at := start
	p := NewPlacer(placedFleet(&at, 1, 2))
	ask := peer.Place{
		Service: "advisor", Need: router.StagePrefill, Prompt: 9000, Remaining: time.Second,
		Parts: []router.Part{{ID: "a", Tokens: 8000}, {ID: "b", Tokens: 1000}},
	}
	got, err := p.Place(at, &ask)
	if err != nil {
		t.Fatal(err)
	}
	p.Notify([]peer.Note{{Ticket: got.Ticket, Event: peer.NoteWithdrawn}})
	again, err := p.Place(at, &ask)
	if err != nil || again.Cached > 0 || again.QueueWait > 0 {
		t.Errorf("after one that was withdrawn: %+v, %v", again, err)
	}
	p.Notify([]peer.Note{{Ticket: again.Ticket, Event: peer.NoteFirstToken}, {Ticket: again.Ticket, Event: peer.NoteEnded}})
	if third, err := p.Place(at, &ask); err != nil || third.Cached < 7000 {
		t.Errorf("after one that was processed: %+v, %v", third, err)
	}
}
