package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestRetriesOfAllInstances checks the retry limit over all instances in every sliding window while
// every request fails.
func TestRetriesOfAllInstances(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 1 + rng.IntN(12)
		instances := make([]*RetryLimiter, n)
		for i := range instances {
			instances[i] = NewRetryLimiter(limit, 0)
		}
		var requests, retries []clock.Time
		now := clock.Time(time.Hour)
		for range 5000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			r := instances[rng.IntN(n)]
			r.Request(now)
			requests = append(requests, now)
			for range rng.IntN(3) {
				if r.Retry(now, n) {
					retries = append(retries, now)
				}
			}
		}
		from, first := 0, 0
		for i, at := range retries {
			for ; retries[from].Before(at.Add(-limit.Window)); from++ {
			}
			for ; requests[first].Before(at.Add(-limit.Window)); first++ {
			}
			count := 0
			for _, arrived := range requests[first:] {
				if arrived.After(at) {
					break
				}
				count++
			}
			if got, most := i-from+1, limit.Ratio*float64(count)+float64(limit.Slack); float64(got) > most {
				t.Fatalf("seed %d: %d retries within %v exceed the limit for %d requests at %d instances", seed, got, limit.Window, count, n)
			}
		}
		if len(retries) < len(requests)/10 {
			t.Errorf("seed %d: only %d retries for %d requests", seed, len(retries), len(requests))
		}
	}
}

// TestRetriesOfRestartedInstances checks the retry limit while every request fails and all instances
// start again, one after the other or at once. An instance that has started knows neither its
// retries before nor, for a moment, how many instances there are.
func TestRetriesOfRestartedInstances(t *testing.T) {
	const n = 9
	limit := RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	for name, gap := range map[string]time.Duration{"at once": 0, "in turn": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			begin := clock.Time(time.Hour)
			instances := make([]*RetryLimiter, n)
			restarts := make([]clock.Time, n)
			for i := range instances {
				instances[i] = NewRetryLimiter(limit, begin)
				restarts[i] = begin.Add(20*time.Second + time.Duration(i)*gap)
			}
			known := 0 // instances that the leader knows again
			var requests, retries []clock.Time
			for step := range 4000 { // 40 s of 10 requests per second, each failing at once
				now := begin.Add(time.Duration(step) * 10 * time.Millisecond)
				for i, at := range restarts {
					if !at.After(now) {
						instances[i], restarts[i] = NewRetryLimiter(limit, now), clock.Time(1<<62)
						known++
					}
				}
				if step%10 > 0 {
					continue
				}
				i := step / 10 % n
				count := n
				if gap == 0 && known > 0 && now.Sub(begin) < 21*time.Second {
					count = i + 1
				}
				instances[i].Request(now)
				requests = append(requests, now)
				for instances[i].Retry(now, count) {
					retries = append(retries, now)
				}
			}
			if at, got, most := mostRetries(limit, requests, retries); float64(got) > most {
				t.Errorf("%d retries in the window that ends at %v, at most %.1f allowed", got, at.Sub(begin), most)
			}
		})
	}
}

// mostRetries returns the end of the window in which retries exceed what is allowed by the most, the
// retries in it, and how many are allowed.
func mostRetries(limit RetryLimit, requests, retries []clock.Time) (at clock.Time, got int, most float64) {
	worst := math.Inf(-1)
	for i, end := range retries {
		within := func(times []clock.Time) (n int) {
			for _, t := range times {
				if !t.After(end) && !t.Before(end.Add(-limit.Window)) {
					n++
				}
			}
			return n
		}
		allowed := limit.Ratio*float64(within(requests)) + limit.Slack
		if n := within(retries[:i+1]); float64(n)-allowed > worst {
			worst, at, got, most = float64(n)-allowed, end, n, allowed
		}
	}
	return at, got, most
}

// TestRetriesOfOne checks that an idle instance can use its share of the slack again after a
// window.
func TestRetriesOfOne(t *testing.T) {
	now := clock.Time(time.Hour)
	r := NewRetryLimiter(RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}, now.Add(-10*time.Second))
	allowed := 0
	for range 100 {
		if r.Retry(now, 5) {
			allowed++
		}
	}
	if allowed != 8 { // 10 times the safety factor
		t.Errorf("%d retries allowed at once, want 8", allowed)
	}
	if r.Retry(now.Add(9*time.Second), 5) {
		t.Error("retry allowed within the same window")
	}
	if !r.Retry(now.Add(11*time.Second), 5) {
		t.Error("no retry allowed in the next window")
	}
}
