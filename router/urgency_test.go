package router

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
)

// TestUrgentDoNotWaitForLess checks the expected wait at an engine with prompts of other urgencies,
// and that an urgent request goes where it delays no others as long as that costs less.
func TestUrgentDoNotWaitForLess(t *testing.T) {
	r := New(Config{Region: "r0", Links: Links{SameRegion: time.Millisecond}, Seed: 1, SharedQueues: true, NoReservedEngine: true})
	for _, id := range []Target{{ID: "near", Domain: "d"}, {ID: "far", Domain: "e"}} {
		id.Service, id.Region, id.Role = "s", "r0", desired.RoleMixed
		r.Put(id)
		r.Report(now, id.ID, Report{PrefillRate: 50_000})
	}
	long := Request{Service: "s", Stage: StagePrefill, Prompt: 20_000, Urgency: 1}
	for range 2 {
		c, _ := r.ChooseOnly(long, "near")
		r.Sent(now, c, long)
	}
	short := Request{Service: "s", Stage: StagePrefill, Prompt: 500}
	if c, _ := r.ChooseOnly(short, "near"); c.Wait > 0 {
		t.Errorf("an urgent request waits %v for less urgent ones, want 0", c.Wait)
	}
	if c, _ := r.ChooseOnly(long, "near"); c.Wait < 700*time.Millisecond {
		t.Errorf("a request waits %v for two prompts of 400 ms of the same urgency, want at least 700 ms", c.Wait)
	}
	if c, _ := r.Choose(short); c.ID != "far" {
		t.Errorf("an urgent request delays two others at %s", c.ID)
	}
	// The 30 ms of urgent work there cost more than a delay of 10 ms for each of two others.
	for range 3 {
		c, _ := r.ChooseOnly(short, "far")
		r.Sent(now, c, short)
	}
	if c, _ := r.Choose(short); c.ID != "near" {
		t.Errorf("an urgent request waits behind other urgent ones at %s", c.ID)
	}
}
