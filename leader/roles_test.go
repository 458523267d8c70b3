package leader

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// TestOutdatedAnnouncement guards against a second order to an engine that has just done its order: the leader had
// learned so from the engine, and planned from an announcement that was older than that.
func TestOutdatedAnnouncement(t *testing.T) {
	const lease = time.Second
	v1 := target.EngineReport{Model: "m", Version: "v1", Role: desired.RolePrefill}
	for name, test := range map[string]struct {
		spec        state.EngineSpec
		outcome     state.OrderOutcome
		report      target.EngineReport
		incarnation ident.Incarnation
		since       time.Duration // from the end of the order
		want        bool          // planned for
	}{
		"older announcement":                 {state.EngineSpec{Model: "m", Version: "v2"}, state.OrderDone, v1, 1, 95 * time.Millisecond, false},
		"older announcement of a role":       {state.EngineSpec{Role: desired.RoleDecode}, state.OrderDone, v1, 1, 0, false},
		"newer announcement":                 {state.EngineSpec{Model: "m", Version: "v1"}, state.OrderDone, v1, 1, 0, true},
		"no announcement is that old":        {state.EngineSpec{Model: "m", Version: "v2"}, state.OrderDone, v1, 1, lease, true},
		"the order failed":                   {state.EngineSpec{Model: "m", Version: "v2"}, state.OrderFailed, v1, 1, 0, true},
		"the engine has restarted meanwhile": {state.EngineSpec{Model: "m", Version: "v2"}, state.OrderDone, v1, 2, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			machine := state.NewMachine()
			for i, c := range []state.Command{
				{Order: &state.OpenOrder{ID: "o", Engine: "e", Incarnation: 1, Spec: test.spec}},
				{Settle: &state.SettleOrder{ID: "o", Engine: "e", Outcome: test.outcome}},
			} {
				data, err := c.Encode()
				if err != nil {
					t.Fatal(err)
				}
				machine.Apply(quorum.Index(i+1), data)
			}
			now := clock.Now()
			r := target.Record{Expires: now.Add(time.Hour), Announcement: target.Announcement{
				Target: "e", Service: "s", Incarnation: test.incarnation, Lease: desired.Duration(lease), Engine: &test.report,
			}}
			co := NewCoordinator(Config{Machine: machine, Targets: func() []target.Record { return []target.Record{r} }})
			co.settledAt["e"] = now.Add(-test.since)
			open, settled := machine.Orders()
			if engines, ok := co.idleEngines("s", open, settled); ok != test.want || ok && len(engines) != 1 {
				t.Errorf("planned for: %v, want %v", ok, test.want)
			}
		})
	}
}
