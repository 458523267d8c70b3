package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestSplitRoles serves long prompts with disaggregated prefill and decode engines, which transfer
// the KV cache. Requests must still succeed after an engine of each role crashes.
func TestSplitRoles(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 10, Role: desired.RolePrefill})
	c.addTargets(2, 0, standin.EngineConfig{Speed: 10, Role: desired.RoleDecode})
	c.bootstrap()
	long := strings.Repeat("roll 17, pushed two stops; ", 600)
	sendAll := func(what string) {
		t.Helper()
		for i := range 6 {
			if err := c.chat(i%3, fmt.Sprint(long, what, i), 20); err != nil {
				t.Errorf("%s %d: %v", what, i, err)
			}
		}
	}
	sendAll("question ")
	if c.engines[0].Served()+c.engines[1].Served() == 0 || c.engines[2].Served()+c.engines[3].Served() == 0 {
		t.Error("the engines of one role received no requests")
	}
	c.engines[0].Close()
	c.engines[2].Close()
	sendAll("question after the crash ")
}

// TestPlannedRoles sends more concurrent requests than the decode engine has batch slots, until the
// planner changes a prefill engine to the decode role. The change must not interrupt any stream.
func TestPlannedRoles(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	rates := fastChangeRates()
	c.addTargets(3, 1, standin.EngineConfig{Speed: 2, Role: desired.RolePrefill, Rates: rates})
	c.addTargets(1, 0, standin.EngineConfig{Speed: 2, Role: desired.RoleDecode, Rates: rates})
	c.bootstrap()
	c.document.Roles = desired.RolePolicy{Managed: true, Goodput: 1}
	c.apply(0)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 2 * rates.MaxBatch {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				err := c.chat(n%3, fmt.Sprint("question ", n, " ", i), 100)
				if err != nil && !strings.Contains(err.Error(), `"ran":"no"`) {
					t.Errorf("request during the role change: %v", err)
				}
			}
		})
	}
	c.await("an engine to change its role", func() bool {
		decode := 0
		for _, e := range c.engines {
			if e.State().Role == desired.RoleDecode {
				decode++
			}
		}
		return decode >= 2
	})
	close(stop)
	wg.Wait()
	c.checkOrders()
}
