package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

func testAnnouncement(i int, sequence uint64) target.Announcement {
	return target.Announcement{
		Target: ident.TargetID(fmt.Sprint("engine-", i)), Service: "advisor", Address: "10.0.0.1:1", Region: "r", Domain: "d",
		Incarnation: 1, Sequence: sequence, Lease: desired.Duration(2 * time.Second),
		Engine: &target.EngineReport{Role: desired.RoleMixed, Model: "m", Version: "v1"},
	}
}

func newTestPool() *TargetPool {
	return NewTargetPool(router.Config{Region: "r", Links: router.DefaultLinks(), Seed: 1}, NewGate(), 1)
}

// TestUsableFollowsEveryChange compares the targets that the router may use with those that are
// usable by definition, after random announcements, expired leases, failures and choices.
func TestUsableFollowsEveryChange(t *testing.T) {
	const targets = 6
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newTestPool()
		other := target.NewTable(2) // table of another instance that shares its listing
		at := start
		var sequence uint64
		for step := range 200 {
			at = at.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			sequence++
			a := testAnnouncement(rng.IntN(targets), sequence)
			a.Lease = desired.Duration(rng.IntN(2000)+1) * desired.Duration(time.Millisecond)
			a.Leaving = rng.IntN(10) == 0
			a.Engine.Busy = rng.IntN(10) == 0
			a.Incarnation = ident.Incarnation(1 + step/25)
			if rng.IntN(25) == 0 {
				f.Deregister(at, a.Target, a.Incarnation*ident.Incarnation(rng.IntN(2)))
			}
			switch rng.IntN(4) {
			case 0:
				f.Announce(at, a)
			case 1:
				other.Apply(at, a, at.Add(a.Lease.AsDuration()), true)
			case 2:
				requestedAt := at.Add(-time.Duration(rng.IntN(300)) * time.Millisecond)
				since := f.Cursor("other")
				f.MergeListing(at, requestedAt, "other", since, other.ListingSince(at, since))
			case 3:
				f.suspect(at, at.Add(suspectTime), a.Target)
			}
			chosen, ok := f.Preview(at, router.Request{Service: "advisor"})
			any := false
			for _, l := range f.router.Loads() {
				r, _ := f.table.Get(l.Target.ID)
				want := r.Usable(at) && !r.Engine.Busy && !at.Before(f.suspects[l.Target.ID])
				any = any || want
				if l.Usable != want {
					t.Fatalf("seed %d step %d: %s usable %v, want %v", seed, step, l.Target.ID, l.Usable, want)
				}
			}
			if ok != any {
				t.Fatalf("seed %d step %d: chose %q, any usable %v", seed, step, chosen.ID, any)
			}
		}
	}
}

// BenchmarkChooseAmongAnnouncements measures one choice after every five announcements, by number
// of targets.
func BenchmarkChooseAmongAnnouncements(b *testing.B) {
	for _, n := range []int{53, 530, 5300} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			f := newTestPool()
			at := clock.Time(time.Hour)
			for i := range n {
				f.Announce(at, testAnnouncement(i, 1))
			}
			announcements := make([]target.Announcement, n)
			for i := range n {
				announcements[i] = testAnnouncement(i, 1)
			}
			req := router.Request{Service: "advisor", Stage: router.StageAny, Prompt: 100}
			i := 0
			for b.Loop() {
				at = at.Add(time.Millisecond / 10)
				for range 5 {
					i++
					w := &announcements[i%n]
					w.Sequence++
					f.Announce(at, *w)
				}
				a, err := f.Choose(at, req)
				if err != nil {
					b.Fatal(err)
				}
				a.Finish()
			}
		})
	}
}

// TestPromptUsesAreShared checks that an instance which uses a prompt that an engine caches shares
// that use unless a recent one is on record. Otherwise the other instances would drop a prompt that
// the engine still caches.
func TestPromptUsesAreShared(t *testing.T) {
	parts := []router.Part{{ID: "history", Tokens: 4096}, {ID: "own", Tokens: 100}}
	for name, test := range map[string]struct {
		known  time.Duration // time since the last recorded use; 0 for none
		shared bool
	}{
		"no recorded use": {0, true},
		"recent use":      {time.Second, false},
		"old use":         {4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestPool()
			now := clock.Now()
			f.Announce(now, testAnnouncement(1, 1))
			if test.known > 0 {
				f.MergePlacements(now.Add(-test.known), []peer.Placement{{Target: "engine-1", Parts: parts}})
			}
			a, err := f.Choose(now, router.Request{
				Service: "advisor", Stage: router.StagePrefill, Prompt: 4196, Blocks: router.PartBlockHashes(nil, parts), Parts: parts,
			})
			if err != nil {
				t.Fatal(err)
			}
			a.FirstToken()
			if shared := len(f.TakePlacements()) == 1; shared != test.shared {
				t.Errorf("shared: %v, want %v", shared, test.shared)
			}
		})
	}
}
