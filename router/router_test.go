package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const now = clock.Time(time.Hour)

// fleetOf returns a router with n engines in one region.
func fleetOf(n int) *Router {
	r := New(Config{Region: "r0", Domain: "d0", Links: DefaultLinks(), Seed: 1})
	for i := range n {
		r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", i)), Service: "s", Region: "r0", Domain: "d0", Role: desired.RoleMixed})
	}
	return r
}

func testBlocks(n int, seed uint64) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = seed<<32 | uint64(i)
	}
	return out
}

func TestChoice(t *testing.T) {
	prompt := Request{Service: "s", Stage: StagePrefill, Prompt: 8 * BlockTokens, Blocks: testBlocks(8, 1)}
	for name, test := range map[string]struct {
		prepare func(r *Router)
		want    ident.TargetID
	}{
		"least backlog": {func(r *Router) { r.Report(now, "e0", Report{Waiting: 9000}) }, "e1"},
		"own requests count before any report": {func(r *Router) {
			c, _ := r.ChooseOnly(prompt, "e0")
			r.Sent(now, c, Request{Service: "s", Stage: StagePrefill, Prompt: 9000})
		}, "e1"},
		"cached prefix": {func(r *Router) { r.CacheEvent("e1", 1, prompt.Blocks, nil) }, "e1"},
		"backlog outweighs the cached prefix": {func(r *Router) {
			r.CacheEvent("e1", 1, prompt.Blocks, nil)
			r.Report(now, "e1", Report{Waiting: 90_000})
		}, "e0"},
		"evicted prefix does not count": {func(r *Router) {
			r.CacheEvent("e1", 1, prompt.Blocks, nil)
			r.CacheEvent("e1", 2, nil, prompt.Blocks)
			r.Report(now, "e1", Report{Waiting: 100})
		}, "e0"},
		"not usable": {func(r *Router) { r.SetUsable("e0", false) }, "e1"},
		"removed":    {func(r *Router) { r.Remove("e0") }, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := fleetOf(2)
			test.prepare(r)
			if c, ok := r.Choose(prompt); !ok || c.ID != test.want {
				t.Errorf("chose %q, want %q", c.ID, test.want)
			}
		})
	}
}

func TestNoTarget(t *testing.T) {
	r := fleetOf(1)
	for name, req := range map[string]Request{
		"other service": {Service: "x"},
		"avoided":       {Service: "s", Avoid: "e0"},
	} {
		if c, ok := r.Choose(req); ok {
			t.Errorf("%s: chose %q", name, c.ID)
		}
	}
}

// TestGapLowersTrust checks that a gap in a target's cache events lowers the confidence in its
// entries.
func TestGapLowersTrust(t *testing.T) {
	r := fleetOf(1)
	req := Request{Service: "s", Stage: StagePrefill, Prompt: 4 * BlockTokens, Blocks: testBlocks(4, 1)}
	r.CacheEvent("e0", 1, req.Blocks, nil)
	before, _ := r.Choose(req)
	r.CacheEvent("e0", 5, nil, nil)
	after, _ := r.Choose(req)
	if after.Cached >= before.Cached {
		t.Errorf("cached tokens %d before the gap, %d after; want fewer", before.Cached, after.Cached)
	}
}

// TestCountsReturnToZero checks that the counts return to zero when every request has ended,
// including after a restart of the target.
func TestCountsReturnToZero(t *testing.T) {
	r := fleetOf(1)
	req := Request{Service: "s", Stage: StagePrefill, Prompt: 5000}
	for range 10 {
		c, _ := r.Choose(req)
		r.Sent(now, c, req)
		r.FirstToken(now.Add(time.Second), c, req)
		r.Ended(now.Add(2*time.Second), c, req, true)
		c, _ = r.Choose(req)
		r.Sent(now, c, req)
		r.Ended(now, c, req, false)
	}
	c, _ := r.Choose(req)
	r.Sent(now, c, req)
	r.Restarted("e0")
	r.Ended(now, c, req, false) // sent to the previous incarnation
	if s := r.details[0]; s.ownRunning != 0 || s.ownWaiting != 0 {
		t.Errorf("own running %v, own waiting %v, want 0", s.ownRunning, s.ownWaiting)
	}
}

func TestChoiceDoesNotAllocate(t *testing.T) {
	r, req := busyFleet(1060)
	if n := testing.AllocsPerRun(100, func() { r.Choose(req) }); n != 0 {
		t.Errorf("%v allocations per choice", n)
	}
}

// busyFleet returns n engines with load and cached prefixes, and a prompt of 64 blocks.
func busyFleet(n int) (*Router, Request) {
	r := fleetOf(n)
	req := Request{Service: "s", Stage: StagePrefill, Prompt: 64 * BlockTokens, Blocks: testBlocks(64, 1)}
	for i := range n {
		id := ident.TargetID(fmt.Sprint("e", i))
		r.Report(now, id, Report{Waiting: ident.Tokens(i * 37 % 5000), Running: i % 60, Slots: 64, PrefillRate: 9000})
		if i < maxHolders {
			r.CacheEvent(id, 1, req.Blocks[:i*4], nil)
		}
	}
	return r, req
}

// BenchmarkChoose measures a choice for a prompt of 64 blocks in fleets of increasing size: loaded
// engines, idle ones of equal cost, and idle ones with noise as in production.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{53, 530, 1060, 5300} {
		busy, req := busyFleet(n)
		noisy := fleetOf(n)
		noisy.cfg.Noise = 0.1
		for _, fleet := range []struct {
			name string
			r    *Router
		}{{"busy", busy}, {"idle", fleetOf(n)}, {"noisy", noisy}} {
			b.Run(fmt.Sprint(fleet.name, "/targets=", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					fleet.r.Choose(req)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/target")
			})
		}
	}
}

// BenchmarkReport measures a load report, including the update of the tree.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{53, 5300} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			r, _ := busyFleet(n)
			ids := make([]ident.TargetID, n)
			for i := range ids {
				ids[i] = ident.TargetID(fmt.Sprint("e", i))
			}
			i := 0
			for b.Loop() {
				i++
				r.Report(now.Add(time.Duration(i)*time.Millisecond), ids[i%n], Report{Waiting: ident.Tokens(i * 37 % 5000), Running: i % 60, Slots: 64, PrefillRate: 9000})
			}
		})
	}
}

func BenchmarkBlockHashes(b *testing.B) {
	prompt := make([]byte, 64*int(BlockTokens)*BytesPerToken)
	dst := make([]uint64, 0, 64)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		dst = BlockHashes(dst[:0], prompt)
	}
}
