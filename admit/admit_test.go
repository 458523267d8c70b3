package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const start = clock.Time(time.Hour)

// tester numbers requests and records their decisions.
type tester struct {
	t       *testing.T
	q       *Queue
	next    uint64
	started []uint64
	refused map[uint64]error
}

func newTester(t *testing.T, slots int) *tester {
	return &tester{t: t, q: New(slots), refused: map[uint64]error{}}
}

func (x *tester) record(vs ...Decision) {
	for _, v := range vs {
		if v.Err != nil {
			x.refused[v.ID] = v.Err
			continue
		}
		x.started = append(x.started, v.ID)
	}
}

func (x *tester) offer(now clock.Time, r Request) uint64 {
	x.next++
	r.ID = x.next
	if r.Objective == 0 {
		r.Objective = time.Minute
	}
	if v, decided := x.q.Offer(now, r); decided {
		x.record(v)
	}
	return r.ID
}

func TestTokenBucket(t *testing.T) {
	x := newTester(t, 100)
	x.q.SetLimit(start, "a", Limit{Rate: 2, Burst: 3})
	for range 4 {
		x.offer(start, Request{Tenant: "a"})
	}
	if len(x.started) != 3 || !fault.Is(x.refused[4], fault.RateLimited) {
		t.Fatalf("started %v, refused %v; want 3 started and request 4 rate limited", x.started, x.refused)
	}
	if wait := fault.ResponseOf(x.refused[4]).RetryAfter; wait < minRetry {
		t.Errorf("retry after %v, want at least the minimum", wait)
	}
	x.offer(start.Add(500*time.Millisecond), Request{Tenant: "a"})
	if len(x.started) != 4 {
		t.Error("request refused although the bucket was refilled")
	}
}

// TestFairOrder checks that tenants start requests by their weights when one tenant floods the
// queue before the other sends anything.
func TestFairOrder(t *testing.T) {
	x := newTester(t, 1)
	x.q.SetLimit(start, "small", Limit{Weight: 2})
	r := Request{Tenant: "flood", Class: "c", Cost: 100 * time.Millisecond}
	for range 9 {
		x.offer(start, r)
	}
	r.Tenant = "small"
	first := x.offer(start, r)
	for range 3 {
		x.offer(start, r)
	}
	for len(x.started) < 7 {
		x.q.FirstToken(start, r, 0)
		x.q.Done()
		x.record(x.q.Advance(start)...)
	}
	small := 0
	for _, id := range x.started[1:7] {
		if id >= first {
			small++
		}
	}
	if small != 4 {
		t.Errorf("the tenant with twice the weight started %d of 6 requests, want 4: %v", small, x.started)
	}
}

func TestQueueBoundAndWithdrawal(t *testing.T) {
	x := newTester(t, 1)
	x.q.SetLimit(start, "a", Limit{Queue: 2})
	x.offer(start, Request{Tenant: "a"})
	second := x.offer(start, Request{Tenant: "a"})
	x.offer(start, Request{Tenant: "a"})
	over := x.offer(start, Request{Tenant: "a"})
	if !fault.Is(x.refused[over], fault.Overloaded) {
		t.Errorf("request beyond the queue limit: got %v, want overloaded", x.refused[over])
	}
	if !x.q.Withdraw(second) || x.q.Withdraw(second) {
		t.Error("want Withdraw to succeed exactly once")
	}
	if x.q.Waiting() != 1 {
		t.Errorf("%d requests waiting, want 1", x.q.Waiting())
	}
}

// TestLateIsRefusedAtOnce checks that a waiting request is refused as soon as its deadline passes,
// with a retry time.
func TestLateIsRefusedAtOnce(t *testing.T) {
	x := newTester(t, 1)
	x.offer(start, Request{Tenant: "a", Objective: time.Second})
	late := x.offer(start, Request{Tenant: "a", Objective: time.Second})
	x.record(x.q.Advance(start.Add(900 * time.Millisecond))...)
	if len(x.refused) > 0 {
		t.Fatal("refused before the deadline")
	}
	x.record(x.q.Advance(start.Add(1100 * time.Millisecond))...)
	if a := fault.ResponseOf(x.refused[late]); a.Code != "deadline_unreachable" || a.Ran != fault.RanNo || a.RetryAfter < minRetry {
		t.Errorf("after the deadline: unexpected answer %+v", a)
	}
}

// TestWindowFollowsDelay checks that the window grows after short waits and shrinks after long
// ones.
func TestWindowFollowsDelay(t *testing.T) {
	r := Request{Cost: 100 * time.Millisecond, Objective: time.Second}
	for name, test := range map[string]struct {
		wait  time.Duration
		grows bool
	}{
		"short waits grow it":  {10 * time.Millisecond, true},
		"long waits shrink it": {900 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWindow()
			for i := range 100 {
				for w.fits(r.Cost.Seconds()) {
					w.acquire(r.Cost.Seconds())
				}
				w.observe(start.Add(time.Duration(i)*300*time.Millisecond), r, test.wait)
				w.release(r.Cost.Seconds())
			}
			if (w.limit > windowStart) != test.grows {
				t.Errorf("limit %v, started at %v", w.limit, windowStart)
			}
			if !w.fits(1e9) && w.requests == 0 {
				t.Error("no request fits an unused window")
			}
		})
	}
}

// TestEveryRequestGetsOneDecision checks that every request gets one decision and that all requests
// can end.
func TestEveryRequestGetsOneDecision(t *testing.T) {
	x := newTester(t, 4)
	for i := range 200 {
		r := Request{Tenant: ident.TenantID(fmt.Sprint("t", i%3)), Class: ident.ClassID(fmt.Sprint("c", i%2)), Cost: 50 * time.Millisecond, Returning: i%7 == 0}
		x.offer(start, r)
		if i%2 == 1 && x.q.Running() > 0 {
			x.q.FirstToken(start, Request{Class: "c0", Cost: r.Cost, Objective: time.Minute}, 0)
			x.q.Done()
		}
		x.record(x.q.Advance(start)...)
	}
	for x.q.Running() > 0 || x.q.Waiting() > 0 {
		x.q.Done()
		x.record(x.q.Advance(start.Add(2 * time.Minute))...)
	}
	if got := len(x.started) + len(x.refused); got != int(x.next) {
		t.Errorf("%d decisions for %d requests", got, x.next)
	}
}

func TestBudget(t *testing.T) {
	b := NewRetryBudget()
	allowed := 0
	for b.Retry() {
		allowed++
	}
	if allowed != budgetStart/retryCost {
		t.Errorf("%d retries allowed initially", allowed)
	}
	for range 100 {
		b.Request()
	}
	for allowed = 0; b.Retry(); allowed++ {
	}
	if allowed != 100*budgetPerRequest/retryCost {
		t.Errorf("%d retries allowed for 100 requests", allowed)
	}
}

// BenchmarkOffer measures an offer and its completion for increasing numbers of active tenants.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{1, 51, 510, 5100} {
		b.Run(fmt.Sprint("tenants=", n), func(b *testing.B) {
			q := New(1 << 20)
			at := clock.Time(time.Hour)
			request := func(i int) Request {
				return Request{ID: uint64(i), Tenant: ident.TenantID(fmt.Sprint("t", i%n)), Class: "c", Cost: 10 * time.Millisecond, Objective: time.Second}
			}
			requests := make([]Request, n)
			for i := range requests {
				requests[i] = request(i)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Microsecond)
				r := requests[i%n]
				i++
				if v, ok := q.Offer(at, r); ok && v.Err == nil {
					q.FirstToken(at, r, time.Millisecond)
					q.Done()
				}
			}
		})
	}
}
