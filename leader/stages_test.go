package leader

import (
	"fmt"
	"testing"

	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/target"
)

// TestPickByRegionBalancesRoles checks that engines are taken from the regions where the new role
// has the smallest share, and that a region keeps its last engine while another has more.
func TestPickByRegionBalancesRoles(t *testing.T) {
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
		"region without the role": {map[ident.RegionID]int{"a": 3, "b": 2}, map[ident.RegionID]int{"b": 1}, 1, map[ident.RegionID]int{"a": 1}},
		"spread":                  {map[ident.RegionID]int{"a": 9, "b": 9, "c": 9}, nil, 6, map[ident.RegionID]int{"a": 2, "b": 2, "c": 2}},
		"last engine stays":       {map[ident.RegionID]int{"a": 1, "b": 3}, map[ident.RegionID]int{"b": 4}, 1, map[ident.RegionID]int{"b": 1}},
		"more than exist":         {map[ident.RegionID]int{"a": 2}, nil, 5, map[ident.RegionID]int{"a": 2}},
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

// TestWorkOfSilentPlacersExpires checks that the total covers all placers with a recent report and
// drops the others.
func TestWorkOfSilentPlacersExpires(t *testing.T) {
	ws := newEngineWork()
	at := clock.Time(1 << 40)
	report := func(id ident.InstanceID, at clock.Time, prompts float64) {
		ws.byPlacer[id] = placerWork{map[ident.ServiceID]fleet.Load{"s": {Prefill: prompts, Decode: 1}}, at}
	}
	report("v1", at, 2)
	report("v2", at, 3)
	if got := ws.total(at, "s"); got != (fleet.Load{Prefill: 5, Decode: 2}) {
		t.Errorf("total of two placers: %+v", got)
	}
	report("v2", at.Add(workLifetime+1), 4)
	if got := ws.total(at.Add(workLifetime+1), "s"); got != (fleet.Load{Prefill: 4, Decode: 1}) {
		t.Errorf("total after one report expired: %+v", got)
	}
}
