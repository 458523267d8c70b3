package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// enginesOf returns n engines of a service. The first prefill of them have the prefill role, the
// others the decode role.
func enginesOf(service ident.ServiceID, n, prefill int, load target.Load) []target.Record {
	var list []target.Record
	for i := range n {
		role := desired.RoleDecode
		if i < prefill {
			role = desired.RolePrefill
		}
		list = append(list, target.Record{Announcement: target.Announcement{
			Target: ident.TargetID(fmt.Sprint(service, i)), Service: service, Load: load, Engine: &target.EngineReport{Role: role},
		}})
	}
	return list
}

// TestRolePlans checks that each service is planned by its own demand while two services have
// opposite demand.
func TestRolePlans(t *testing.T) {
	doc := &desired.Document{Services: []desired.Service{
		{Name: "reads", Kind: desired.KindModel}, {Name: "writes", Kind: desired.KindModel}, {Name: "desk", Kind: desired.KindPlain},
	}}
	doc.Roles.Managed = true
	doc.Roles.Goodput = 1
	usual := target.Load{Prefill: 9000, Decode: 2900}
	for name, test := range map[string]struct {
		service ident.ServiceID
		load    target.Load
		want    desired.Role // none: no change
	}{
		"prompts need prefill engines":                {"reads", usual, desired.RolePrefill},
		"answers need decode engines":                 {"writes", usual, desired.RoleDecode},
		"no rates reported":                           {"writes", target.Load{}, desired.RoleDecode},
		"slow decode engines keep their role":         {"reads", target.Load{Prefill: 9000, Decode: 1500}, ""},
		"a plain service has no roles":                {"desk", target.Load{}, ""},
		"a service that the document no longer names": {"gone", target.Load{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			plans := newRolePlans()
			at := clock.Time(time.Hour)
			for range 60 {
				plans.add(map[ident.ServiceID]peer.Demand{
					"reads":  {Prefill: 20_000, Decode: 2_000},
					"writes": {Prefill: 2_000, Decode: 9_000},
					"gone":   {Prefill: 20_000},
				})
				at = at.Add(planInterval)
				plans.observe(at, doc.Services)
			}
			engines := enginesOf(test.service, 4, 2, test.load)
			change, ok := plans.nextChange(at, doc, test.service, engines)
			if ok != (test.want != "") || change.Role != test.want {
				t.Errorf("change %+v, want %q", change, test.want)
			}
		})
	}
}
