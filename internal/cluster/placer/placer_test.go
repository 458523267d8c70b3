package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const now = clock.Time(time.Hour)

// TestPick checks that the instances of a region select the same voter there, skip an unresponsive
// one and return to it later.
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
				t.Fatalf("service %s: picked %s, another instance picked %s", service, got, first)
			}
		}
		p := pickers[1]
		at := now.Add(time.Duration(n) * time.Minute)
		p.MarkUnresponsive(at, first)
		if got := p.Pick(at, voters, service); got == first || got == "" || got == "v4" {
			t.Errorf("service %s: picked %q while %s is unresponsive", service, got, first)
		}
		if got := p.Pick(at.Add(UnresponsiveTime), voters, service); got != first {
			t.Errorf("service %s: picked %s after %s became available again", service, got, first)
		}
	}
	if len(used) != 3 {
		t.Errorf("services placed at %v, want all three voters of the region", used)
	}
	if got := NewPicker("west").Pick(now, voters, "s"); got != "" {
		t.Errorf("picked %s in a region without voters", got)
	}
	if got := NewPicker("north").UnknownRegion(voters); len(got) != len(voters) {
		t.Errorf("voters of unknown region %v, want all", got)
	}
}
