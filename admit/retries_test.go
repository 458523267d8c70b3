package admit

import (
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
			instances[i] = NewRetryLimiter(limit)
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

// TestRetriesOfOne checks that an idle instance can use its share of the slack again after a
// window.
func TestRetriesOfOne(t *testing.T) {
	r := NewRetryLimiter(RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 50})
	now := clock.Time(time.Hour)
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
