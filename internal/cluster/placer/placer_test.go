package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const now = clock.Time(time.Hour)

// TestPick checks that the instances of a region agree on a voter there, pass over one that is silent, and come back to it.
func TestPick(t *testing.T) {
	voters := []ident.InstanceID{"v1", "v2", "v3", "v4"}
	var pickers []*Picker
	for range 3 {
		p := NewPicker("north")
		for i, id := range voters {
			p.SetRegion(id, []ident.RegionID{"north", "north", "north", "south"}[i])
		}
		pickers = append(pickers, p)
	}
	used := map[ident.InstanceID]bool{}
	for n := range 40 {
		service := ident.ServiceID(fmt.Sprint("s", n))
		first := pickers[0].Pick(now, voters, service)
		used[first] = true
		for _, p := range pickers {
			if got := p.Pick(now.Add(time.Duration(n)*time.Minute), voters, service); got != first || got == "v4" {
				t.Fatalf("%s: picked %s, another instance %s", service, got, first)
			}
		}
		p := pickers[1]
		at := now.Add(time.Duration(n) * time.Minute)
		p.MarkUnresponsive(at, first)
		if got := p.Pick(at, voters, service); got == first || got == "" || got == "v4" {
			t.Errorf("%s: picked %q while %s is silent", service, got, first)
		}
		if got := p.Pick(at.Add(UnresponsiveTime), voters, service); got != first {
			t.Errorf("%s: picked %s after the silence of %s", service, got, first)
		}
	}
	if len(used) != 3 {
		t.Errorf("all services at %v", used)
	}
	if got := NewPicker("west").Pick(now, voters, "s"); got != "" {
		t.Errorf("picked %s in a region without voters", got)
	}
	if got := NewPicker("north").UnknownRegion(voters); len(got) != len(voters) {
		t.Errorf("unlocated %v", got)
	}
}
