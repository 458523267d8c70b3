package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// setVersion changes the model version of the advisor service and applies the document.
func (c *cluster) setVersion(through int, version string) {
	c.document.Services = append([]desired.Service(nil), c.document.Services...)
	c.document.Services[0].Version = version
	c.apply(through)
}

// awaitVersion waits until every engine serves a version.
func (c *cluster) awaitVersion(version string) {
	c.t.Helper()
	c.await("every engine to serve "+version, func() bool {
		for _, e := range c.engines {
			if e.State().Version != version {
				return false
			}
		}
		return true
	})
}

// checkOrders fails the test if an engine received an order while it executed another, interrupted
// requests for an order, or received a fencing token lower than an earlier one.
func (c *cluster) checkOrders() {
	c.t.Helper()
	for i, e := range c.engines {
		var fence ident.FencingToken
		for _, o := range e.Orders() {
			if o.Conflict {
				c.t.Errorf("engine %d received order %s while it executed another", i+1, o.Order.ID)
			}
			if o.Cut > 0 {
				c.t.Errorf("order %s interrupted %d requests at engine %d", o.Order.ID, o.Cut, i+1)
			}
			if o.Order.Fence < fence {
				c.t.Errorf("engine %d received fencing token %d after %d", i+1, o.Order.Fence, fence)
			}
			fence = o.Order.Fence
		}
	}
}

// startLoad sends streamed chat requests through the given instances until the returned function is
// called, which returns the number of requests sent.
func (c *cluster) startLoad(through ...int) (stop func() int) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	for n := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				err := c.chat(through[(n+i)%len(through)], fmt.Sprint("question ", n, " ", i), 150)
				if err != nil {
					c.t.Errorf("request during the change: %v", err)
				}
				mu.Lock()
				sent++
				mu.Unlock()
			}
		})
	}
	return func() int {
		close(done)
		wg.Wait()
		return sent
	}
}

// fastChangeRates returns the default rates with a short time for a version or role change.
func fastChangeRates() standin.Rates {
	r := standin.DefaultRates()
	r.RoleChangeTime = 2 * time.Second
	return r
}

// TestVersionChangeUnderLoad moves every engine to a new version while responses stream, with
// engines that check fencing tokens and with engines that ignore them. Each engine must receive
// exactly one order, and no stream may be interrupted.
func TestVersionChangeUnderLoad(t *testing.T) {
	for name, fencing := range map[string]bool{"fencing": true, "ignoring": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3, false)
			c.addTargets(3, 1, standin.EngineConfig{Speed: 4, Fencing: fencing, Rates: fastChangeRates()})
			c.bootstrap()
			stop := c.startLoad(0, 1, 2)
			c.setVersion(0, "v2")
			c.awaitVersion("v2")
			if sent := stop(); sent < 30 {
				t.Errorf("only %d requests during the change", sent)
			}
			c.checkOrders()
			for i, e := range c.engines {
				if got := len(e.Orders()); got != 1 {
					t.Errorf("engine %d received %d orders", i+1, got)
				}
			}
		})
	}
}

// TestLeaderLostDuringOrders kills or suspends the leader, twice, while orders are open. Each new
// leader must complete the open order under its original ID before it sends another one.
func TestLeaderLostDuringOrders(t *testing.T) {
	for name, suspend := range map[string]bool{"killed": false, "suspended": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 5, false)
			c.addTargets(3, 1, standin.EngineConfig{Speed: 1, Fencing: false, Rates: fastChangeRates()})
			c.bootstrap()
			c.setVersion(0, "v2")
			for range 2 {
				c.await("an open order", func() bool {
					for i := range c.nodes {
						if r, ok := c.leaderReport(i); ok {
							return len(r.Open) > 0 || allEnginesAt(c, "v2")
						}
					}
					return false
				})
				leader := c.leader(0)
				if suspend {
					c.signal(leader, syscall.SIGSTOP)
					through := c.otherThan(leader)
					c.await("a new leader", func() bool {
						r, ok := c.leaderReport(through)
						return ok && r.Leader != c.nodes[leader].id
					})
					c.signal(leader, syscall.SIGCONT)
				} else {
					c.kill(leader)
					c.start(leader)
					c.awaitReady(leader)
				}
			}
			c.awaitVersion("v2")
			c.checkOrders()
		})
	}
}

// allEnginesAt reports whether every engine serves a version.
func allEnginesAt(c *cluster, version string) bool {
	for _, e := range c.engines {
		if e.State().Version != version {
			return false
		}
	}
	return true
}

// TestEngineLostDuringOrder crashes an engine while it executes an order. The order must be settled
// as failed, and the other engine must still be moved to the new version.
func TestEngineLostDuringOrder(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 1, Fencing: true, Rates: fastChangeRates()})
	c.bootstrap()
	c.setVersion(0, "v2")
	lost := -1
	c.await("an order in progress", func() bool {
		for i, e := range c.engines {
			if e.State().CurrentOrder != "" {
				lost = i
			}
		}
		return lost >= 0
	})
	c.engines[lost].Close()
	c.withdraw[lost]()
	other := c.engines[1-lost]
	c.await("the other engine to serve v2", func() bool { return other.State().Version == "v2" })
	r, ok := c.leaderReport(0)
	failed := false
	for _, o := range r.Settled {
		failed = failed || o.Outcome == "failed"
	}
	if !ok || !failed {
		t.Errorf("settled orders: %+v", r.Settled)
	}
	c.checkOrders()
}
