package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestSameKeyThroughTwoEntries sends the same payment concurrently through every instance. It must
// be executed once, and every later request with its key must receive the recorded response.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 2, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for n := range 10 {
		key := fmt.Sprint("pay-", n)
		responses := make(chan response, 6)
		for i := range 6 {
			go func() { responses <- c.pay(i%3, key, `{"amount":1}`) }()
		}
		for range 6 {
			a := <-responses
			code, ran := a.code()
			if a.status != http.StatusCreated && (code != "in_progress" || ran == "no") {
				t.Errorf("%s: status %d: %s", key, a.status, a.body)
			}
		}
		if got := c.runs(key); got != 1 {
			t.Errorf("%s was executed %d times", key, got)
		}
		if a := c.pay(n%3, key, `{"amount":1}`); a.status != http.StatusCreated || a.header.Get("Idempotency-Replayed") != "true" {
			t.Errorf("repeat of %s: status %d: %s", key, a.status, a.body)
		}
	}
}

// TestConnectionLostAroundRun breaks the service's connection before or after it executes a
// payment. The instance cannot tell these cases apart, so every request with the key must report an
// unknown outcome.
func TestConnectionLostAroundRun(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for name, test := range map[string]struct {
		fault standin.ServiceFault
		runs  int
	}{
		"before": {standin.ServiceFault{Count: 1, Before: true}, 0},
		"after":  {standin.ServiceFault{Count: 1, After: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.services[0].SetFault(test.fault)
			for i := range c.nodes {
				a := c.pay(i, name, `{"amount":1}`)
				code, ran := a.code()
				if code != "outcome_unknown" || ran != "unknown" || a.status != http.StatusBadGateway {
					t.Errorf("through instance %d: status %d: %s", i, a.status, a.body)
				}
			}
			if got := c.runs(name); got != test.runs {
				t.Errorf("executed %d times, want %d", got, test.runs)
			}
			lookup := do(http.MethodGet, c.callersURL(0)+"/v1/receipts/desk/"+name, nil, nil)
			if lookup.status != http.StatusOK {
				t.Errorf("receipt lookup: status %d: %s", lookup.status, lookup.body)
			}
		})
	}
}

// TestEntryKilledWhileSending kills the instance that owns a payment after it sent the request and
// before it received the response. Requests with the key must report that it is in progress, then
// that its outcome is unknown, and must never execute it again.
func TestEntryKilledWhileSending(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	owner := c.otherThan(c.leader(0))
	other := c.otherThan(owner)
	c.services[0].SetFault(standin.ServiceFault{Count: 1, Delay: 700 * time.Millisecond})
	go c.pay(owner, "pay-1", `{"amount":1}`)
	c.await("the receipt to be open", func() bool {
		r, ok := c.leaderReport(other)
		return ok && r.Receipts.Open == 1
	})
	c.kill(owner)
	if code, ran := c.pay(other, "pay-1", `{"amount":1}`).code(); code != "in_progress" || ran != "unknown" {
		t.Errorf("while the receipt is open: code %q, ran %q", code, ran)
	}
	c.start(owner) // its new boot proves that the previous process has ended
	c.await("the outcome to be unknown", func() bool {
		code, _ := c.pay(other, "pay-1", `{"amount":1}`).code()
		return code == "outcome_unknown"
	})
	if got := c.runs("pay-1"); got > 1 {
		t.Errorf("executed %d times", got)
	}
}

// TestEntryFrozenWhileSending suspends the owner of a payment until the other instances report its
// outcome as unknown, then resumes it. The owner's caller must receive the actual response, and so
// must every later request with the key.
func TestEntryFrozenWhileSending(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	owner := c.otherThan(c.leader(0))
	other := c.otherThan(owner)
	c.services[0].SetFault(standin.ServiceFault{Count: 1, Delay: 300 * time.Millisecond})
	ownerResponse := make(chan response, 1)
	go func() { ownerResponse <- c.pay(owner, "pay-1", `{"amount":1}`) }()
	c.await("the payment to be executed", func() bool { return c.runs("pay-1") == 1 || freezeWhenReceiptOpen(c, owner) })
	c.await("the other instances to report an unknown outcome", func() bool {
		code, _ := c.pay(other, "pay-1", `{"amount":1}`).code()
		return code == "outcome_unknown"
	})
	c.signal(owner, syscall.SIGCONT)
	if a := <-ownerResponse; a.status != http.StatusCreated {
		t.Errorf("response to the owner's caller: status %d: %s", a.status, a.body)
	}
	c.await("the response to be recorded", func() bool {
		return c.pay(other, "pay-1", `{"amount":1}`).status == http.StatusCreated
	})
	if got := c.runs("pay-1"); got != 1 {
		t.Errorf("executed %d times", got)
	}
}

// freezeWhenReceiptOpen suspends the owner once its receipt is open. It always returns false.
func freezeWhenReceiptOpen(c *cluster, owner int) bool {
	if r, ok := c.leaderReport(c.otherThan(owner)); ok && r.Receipts.Open == 1 {
		c.signal(owner, syscall.SIGSTOP)
	}
	return false
}

// payment is the state of one payment as its client observes it.
type payment struct {
	key       string
	responses []string
	paid      bool
}

// send repeats the payment, through a random instance each time, until its result is final. It
// compares every response that reports "not run" with the executions that the services recorded.
func (p *payment) send(c *cluster, rng *rand.Rand, failed func(string, ...any)) {
	for range 40 {
		through := rng.IntN(len(c.nodes))
		before := c.runs(p.key)
		a := c.pay(through, p.key, `{"amount":1}`)
		code, ran := a.code()
		p.responses = append(p.responses, fmt.Sprintf("%d:%d:%s:%s", through, a.status, code, ran))
		switch {
		case a.err != nil:
		case a.status == http.StatusCreated:
			p.paid = true
			return
		case ran == "no" && before == 0 && c.runs(p.key) > 0:
			failed("%s: reported as not run but was executed: %v", p.key, p.responses)
			return
		case code == "outcome_unknown":
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// TestPaymentsUnderKillsAndFreezes sends payments while instances are killed and restarted or
// suspended, and repeats each payment whose response is lost. No payment may be executed twice, and
// every confirmed payment must have been executed.
func TestPaymentsUnderKillsAndFreezes(t *testing.T) {
	const seed, clients, each = 7, 6, 80
	c := newCluster(t, 5, 3, false)
	c.addTargets(1, 3, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	payments := make([]payment, clients*each)
	for client := range clients {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := range each {
				p := &payments[client*each+n]
				p.key = fmt.Sprintf("pay-%d-%d", client, n)
				p.send(c, rng, t.Errorf)
			}
		})
	}
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		rng := rand.New(rand.NewPCG(seed, 99))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
			}
			injectFault(c, rng)
		}
	}()
	wg.Wait()
	close(stop)
	<-faultsDone
	paid := 0
	for i := range payments {
		p := &payments[i]
		got := c.runs(p.key)
		if got > 1 || (p.paid && got != 1) {
			t.Errorf("%s was executed %d times, paid=%v: %v", p.key, got, p.paid, p.responses)
		}
		if p.paid {
			paid++
		}
	}
	t.Logf("%d of %d payments were confirmed, the outcome of the others is unknown", paid, len(payments))
	if paid < len(payments)/2 {
		t.Errorf("only %d of %d payments were confirmed, want at least half", paid, len(payments))
	}
}

// injectFault kills and restarts a random instance, or suspends it for a random time.
func injectFault(c *cluster, rng *rand.Rand) {
	i := rng.IntN(len(c.nodes))
	if rng.IntN(2) == 0 {
		c.kill(i)
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		c.start(i)
		return
	}
	c.signal(i, syscall.SIGSTOP)
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	c.signal(i, syscall.SIGCONT)
}
