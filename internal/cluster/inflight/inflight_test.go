package inflight

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestSums compares the sums with sums computed from scratch while instances join, change their
// loads and stop reporting.
func TestSums(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New()
		last := map[ident.InstanceID]instanceLoads{}
		now := clock.Time(time.Hour)
		for range 100 {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			id := ident.InstanceID(fmt.Sprint("i", rng.IntN(5)))
			loads := Loads{}
			for range rng.IntN(4) {
				loads[ident.TargetID(fmt.Sprint("t", rng.IntN(4)))] = Load{
					Waiting: ident.Tokens(rng.IntN(3) * 1000), Answered: CountOf(rng.Float64()), Failed: CountOf(rng.Float64()),
				}
			}
			last[id] = instanceLoads{loads, now}
			s.Put(now, id, loads)
			want := Loads{}
			for _, l := range last {
				if now.Sub(l.at) > instanceTimeout {
					continue
				}
				for target, load := range l.loads {
					sum := want[target]
					sum.Waiting += load.Waiting
					sum.Answered += load.Answered
					sum.Failed += load.Failed
					want[target] = sum
				}
			}
			maps.DeleteFunc(want, func(_ ident.TargetID, l Load) bool { return l.Waiting == 0 && l.Failed == 0 })
			if got := s.Total(now, 1); !maps.Equal(got, want) {
				t.Fatalf("seed %d: total %v, want %v", seed, got, want)
			}
		}
	}
}

func ExampleSums() {
	s := New()
	s.Put(0, "entry-1", Loads{"engine": {Waiting: 17000}})
	s.Put(0, "entry-2", Loads{"engine": {Waiting: 4000}})
	fmt.Println(s.Total(0, 1)["engine"])
	s.Put(clock.Time(time.Second), "entry-1", Loads{})
	fmt.Println(s.Total(clock.Time(time.Second), 1)["engine"])
	fmt.Println(s.Total(clock.Time(2*time.Second), 1)["engine"])
	// Output:
	// {21000 0 0}
	// {4000 0 0}
	// {0 0 0}
}
