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

// setVersion changes the advisor's version and applies the document.
func (c *cluster) setVersion(through int, version string) {
	c.document.Services = append([]desired.Service(nil), c.document.Services...)
	c.document.Services[0].Version = version
	c.apply(through)
}

func (c *cluster) awaitVersion(version string) {
	c.t.Helper()
	c.await("every engine to have "+version, func() bool {
		for _, e := range c.engines {
			if e.State().Version != version {
				return false
			}
		}
		return true
	})
}

// checkOrders fails the test if an engine got conflicting orders or cut requests.
func (c *cluster) checkOrders() {
	c.t.Helper()
	for i, e := range c.engines {
		var fence ident.FencingToken
		for _, o := range e.Orders() {
			if o.Conflict {
				c.t.Errorf("engine %d got order %s during another", i+1, o.Order.ID)
			}
			if o.Cut > 0 {
				c.t.Errorf("order %s cut %d requests at engine %d", o.Order.ID, o.Cut, i+1)
			}
			if o.Order.Fence < fence {
				c.t.Errorf("engine %d got fencing number %d after %d", i+1, o.Order.Fence, fence)
			}
			fence = o.Order.Fence
		}
	}
}

// load streams questions through the given entries until stop is called, which
// returns how many there were.
func (c *cluster) load(through ...int) (stop func() int) {
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
					c.t.Errorf("during the change: %v", err)
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

func fastChange() standin.Rates {
	r := standin.DefaultRates()
	r.ChangeTime = 2 * time.Second
	return r
}

// TestVersionChangeUnderLoad moves every engine to a new version while answers
// stream. Engines honour fencing numbers or ignore them.
func TestVersionChangeUnderLoad(t *testing.T) {
	for name, fencing := range map[string]bool{"fencing": true, "ignoring": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3, false)
			c.addTargets(3, 1, standin.EngineConfig{Speed: 4, Fencing: fencing, Rates: fastChange()})
			c.up()
			stop := c.load(0, 1, 2)
			c.setVersion(0, "v2")
			c.awaitVersion("v2")
			if sent := stop(); sent < 30 {
				t.Errorf("only %d questions during the change", sent)
			}
			c.checkOrders()
			for i, e := range c.engines {
				if got := len(e.Orders()); got != 1 {
					t.Errorf("engine %d got %d orders", i+1, got)
				}
			}
		})
	}
}

// TestLeaderLostDuringOrders kills or freezes the leader, twice, while orders are
// open. The successor finishes the open order under its id before another one.
func TestLeaderLostDuringOrders(t *testing.T) {
	for name, freeze := range map[string]bool{"killed": false, "frozen": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5, 5, false)
			c.addTargets(3, 1, standin.EngineConfig{Speed: 1, Fencing: false, Rates: fastChange()})
			c.up()
			c.setVersion(0, "v2")
			for range 2 {
				c.await("an open order", func() bool {
					for i := range c.nodes {
						if r, ok := c.report(i); ok {
							return len(r.Open) > 0 || allHave(c, "v2")
						}
					}
					return false
				})
				leader := c.leader(0)
				if freeze {
					c.signal(leader, syscall.SIGSTOP)
					through := c.other(leader)
					c.await("another leader", func() bool {
						r, ok := c.report(through)
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

func allHave(c *cluster, version string) bool {
	for _, e := range c.engines {
		if e.State().Version != version {
			return false
		}
	}
	return true
}

// TestEngineLostDuringOrder crashes an engine in the middle of a change. Its order
// ends as failed, and the others are changed all the same.
func TestEngineLostDuringOrder(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 1, Fencing: true, Rates: fastChange()})
	c.up()
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
	c.leave[lost]()
	other := c.engines[1-lost]
	c.await("the other engine to have v2", func() bool { return other.State().Version == "v2" })
	r, ok := c.report(0)
	failed := false
	for _, o := range r.Settled {
		failed = failed || o.Outcome == "failed"
	}
	if !ok || !failed {
		t.Errorf("settled orders: %+v", r.Settled)
	}
	c.checkOrders()
}
