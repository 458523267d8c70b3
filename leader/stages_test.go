package leader

import (
	"fmt"
	"testing"

	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/target"
)

// TestEnginesChangeWhereTheyAreScarce checks that engines are taken from the regions with the smallest part of the role
// that they change to, and that no region loses its last one as long as another has more.
func TestEnginesChangeWhereTheyAreScarce(t *testing.T) {
	engines := func(name string, counts map[ident.RegionID]int) (rs []target.Record) {
		for region, n := range counts {
			for i := range n {
				r := target.Record{}
				r.Target, r.Region = ident.TargetID(fmt.Sprint(name, region, i)), region
				rs = append(rs, r)
			}
		}
		return rs
	}
	tests := map[string]struct {
		mixed, prefill map[ident.RegionID]int
		n              int
		want           map[ident.RegionID]int
	}{
		"one, where there is none": {map[ident.RegionID]int{"a": 3, "b": 2}, map[ident.RegionID]int{"b": 1}, 1, map[ident.RegionID]int{"a": 1}},
		"spread":                   {map[ident.RegionID]int{"a": 9, "b": 9, "c": 9}, nil, 6, map[ident.RegionID]int{"a": 2, "b": 2, "c": 2}},
		"not the last":             {map[ident.RegionID]int{"a": 1, "b": 3}, map[ident.RegionID]int{"b": 4}, 1, map[ident.RegionID]int{"b": 1}},
		"more than there are":      {map[ident.RegionID]int{"a": 2}, nil, 5, map[ident.RegionID]int{"a": 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[ident.RegionID]int{}
			for _, r := range pickByRegion(engines("m", tt.mixed), engines("p", tt.prefill), tt.n) {
				got[r.Region]++
			}
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("changed %v, want %v", got, tt.want)
			}
		})
	}
}

// TestWorksOfSilentPlacersLapse checks that the work is that of all placers which were heard lately.
func TestWorksOfSilentPlacersLapse(t *testing.T) {
	ws := newWorks()
	at := clock.Time(1 << 40)
	tell := func(id ident.InstanceID, at clock.Time, prompts float64) {
		ws.byPlacer[id] = heardWork{map[ident.ServiceID]fleet.Load{"s": {Prefill: prompts, Decode: 1}}, at}
	}
	tell("v1", at, 2)
	tell("v2", at, 3)
	if got := ws.total(at, "s"); got != (fleet.Load{Prefill: 5, Decode: 2}) {
		t.Errorf("of two placers: %+v", got)
	}
	tell("v2", at.Add(worksLast+1), 4)
	if got := ws.total(at.Add(worksLast+1), "s"); got != (fleet.Load{Prefill: 4, Decode: 1}) {
		t.Errorf("after the silence of one: %+v", got)
	}
}
