package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestSplitFollowsLoad applies load to a fleet of nine engines, three of which initially process
// prompts only, and checks the resulting split and the number of changes.
func TestSplitFollowsLoad(t *testing.T) {
	tests := map[string]struct {
		load    func(at time.Duration) Load
		prefill int // at the end
		changes int // at most
	}{
		"idle":            {func(time.Duration) Load { return Load{Prefill: 0.2, Decode: 0.5} }, 3, 0},
		"balanced":        {func(time.Duration) Load { return Load{Prefill: 2, Decode: 4} }, 3, 0},
		"many prompts":    {func(time.Duration) Load { return Load{Prefill: 3.6, Decode: 0.5, Memory: 1.6} }, 5, 2},
		"many answers":    {func(time.Duration) Load { return Load{Prefill: 0.4, Decode: 5.5} }, 2, 1},
		"both sides full": {func(time.Duration) Load { return Load{Prefill: 4, Decode: 8} }, 3, 0},
		"short oscillation": {func(at time.Duration) Load {
			if at/time.Second%2 == 0 {
				return Load{Prefill: 2.5, Decode: 2}
			}
			return Load{Prefill: 1.1, Decode: 4}
		}, 3, 0},
		"long shift": {func(at time.Duration) Load {
			if at < 30*time.Second {
				return Load{Prefill: 3.6, Decode: 1.5}
			}
			return Load{Prefill: 0.8, Decode: 5.2}
		}, 2, 7},
	}
	const changeTime = 5 * time.Second
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &SplitPlanner{}
			prefill, mixed, changes := 3, 6, 0
			var changing []struct {
				at clock.Time
				to *int
			}
			for at := time.Duration(0); at < time.Minute; at += 500 * time.Millisecond {
				now := clock.Time(time.Hour).Add(at)
				for len(changing) > 0 && !now.Before(changing[0].at) {
					*changing[0].to++
					changing = changing[1:]
				}
				s.Observe(now, tt.load(at))
				if len(changing) > 0 {
					s.RecordChanging(now)
					continue
				}
				from, to, n := &mixed, &prefill, s.Plan(now, prefill, mixed)
				if n < 0 {
					from, to, n = &prefill, &mixed, -n
				}
				for range n {
					*from--
					changes++
					changing = append(changing, struct {
						at clock.Time
						to *int
					}{now.Add(changeTime), to})
				}
			}
			if prefill != tt.prefill || changes > tt.changes {
				t.Errorf("%d of 9 prefill engines after %d changes, want %d after at most %d", prefill, changes, tt.prefill, tt.changes)
			}
		})
	}
}

// TestLoadValid checks that Valid rejects values that cannot be summed.
func TestLoadValid(t *testing.T) {
	for name, tt := range map[string]struct {
		load Load
		want bool
	}{
		"none":     {Load{}, true},
		"some":     {Load{1, 2, 3}, true},
		"negative": {Load{Prefill: -1}, false},
		"NaN":      {Load{Memory: math.NaN()}, false},
		"infinite": {Load{Decode: math.Inf(1)}, false},
	} {
		if got := tt.load.Valid(); got != tt.want {
			t.Errorf("%s: Valid returned %v", name, got)
		}
	}
}

// TestSplitWarmup checks that no change is planned during the warm-up, when no prompt is cached
// yet.
func TestSplitWarmup(t *testing.T) {
	s := &SplitPlanner{}
	now := clock.Time(time.Hour)
	s.Observe(now, Load{Prefill: 9})
	if n := s.Plan(now.Add(splitWarmup-1), 3, 6); n != 0 {
		t.Errorf("%d engines change during the warm-up, want 0", n)
	}
	if n := s.Plan(now.Add(splitWarmup), 3, 6); n != 1 {
		t.Errorf("%d engines change after %v, want 1", n, splitWarmup)
	}
}
