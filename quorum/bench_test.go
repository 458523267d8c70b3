package quorum

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// countMachine is a StateMachine that counts commands.
type countMachine struct{ n int }

func (m *countMachine) Apply(Index, []byte) any   { m.n++; return m.n }
func (m *countMachine) Snapshot() ([]byte, error) { return []byte("snapshot"), nil }
func (m *countMachine) Restore([]byte) error      { return nil }

// testCluster runs three nodes on real disks with a fixed one-way delay between them.
type testCluster struct {
	nodes map[ident.DiskID]*Node
	group *task.Group
}

func newTestCluster(b testing.TB, delay time.Duration, single bool) *testCluster {
	b.Helper()
	t := &testCluster{nodes: map[ident.DiskID]*Node{}, group: task.New(context.Background())}
	var members Membership
	var stores []*Store
	for i := range 3 {
		s, err := OpenStore(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		stores = append(stores, s)
		members.Members = append(members.Members, Member{ID: ident.InstanceID(fmt.Sprint("i", i)), Disk: s.Disk(), Voter: true})
	}
	var mu sync.RWMutex
	send := func(m Message) {
		mu.RLock()
		to := t.nodes[m.To]
		mu.RUnlock()
		if to == nil {
			return
		}
		if delay == 0 {
			to.Receive(m)
			return
		}
		time.AfterFunc(delay, func() { to.Receive(m) })
	}
	for i, s := range stores {
		if err := s.Bootstrap(members); err != nil {
			b.Fatal(err)
		}
		n, err := NewNode(NodeConfig{Timing: DefaultTiming(), Seed: uint64(i), SyncEachRecord: single}, s, &countMachine{}, send)
		if err != nil {
			b.Fatal(err)
		}
		mu.Lock()
		t.nodes[s.Disk()] = n
		mu.Unlock()
		n.Start(t.group)
	}
	return t
}

func (t *testCluster) close() {
	t.group.Stop()
	_ = t.group.Wait()
}

func (t *testCluster) leader() *Node {
	for {
		for _, n := range t.nodes {
			if n.Leads() {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// commitRate proposes from concurrent callers for duration d and returns the commits
// per second.
func (t *testCluster) commitRate(b testing.TB, callers int, d time.Duration) float64 {
	b.Helper()
	leader := t.leader()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var mu sync.Mutex
	total := 0
	var wg sync.WaitGroup
	began := time.Now()
	for range callers {
		wg.Go(func() {
			n := 0
			for ctx.Err() == nil {
				if _, err := leader.Propose(ctx, make([]byte, 200)); err == nil {
					n++
				}
			}
			mu.Lock()
			total += n
			mu.Unlock()
		})
	}
	wg.Wait()
	return float64(total) / time.Since(began).Seconds()
}

// BenchmarkDurableCommits compares group commit with one sync for each record, on
// three data directories of one machine. Group commit must reach at least 10 times
// the rate, which is the design goal.
func BenchmarkDurableCommits(b *testing.B) {
	const callers, span = 512, 2 * time.Second
	rates := map[bool]float64{}
	for _, single := range []bool{true, false} {
		t := newTestCluster(b, 0, single)
		rates[single] = t.commitRate(b, callers, span)
		t.close()
	}
	for b.Loop() {
		// The rates are measured once, over a fixed duration.
	}
	b.ReportMetric(rates[false], "commits/s")
	b.ReportMetric(rates[true], "single-sync-commits/s")
	b.ReportMetric(rates[false]/rates[true], "ratio")
	b.ReportMetric(rates[false]/5100, "of-5100/s")
	if rates[false] < 10*rates[true] {
		b.Errorf("group commit is %.1f times as fast as one sync per record, want at least 10", rates[false]/rates[true])
	}
}

// BenchmarkCommitLatency measures the latency of one commit for several one-way
// delays between the members.
func BenchmarkCommitLatency(b *testing.B) {
	for _, delay := range []time.Duration{0, 500 * time.Microsecond, 12 * time.Millisecond} {
		b.Run(fmt.Sprint("oneway=", delay), func(b *testing.B) {
			t := newTestCluster(b, delay, false)
			defer t.close()
			leader := t.leader()
			var took []float64
			for b.Loop() {
				began := time.Now()
				if _, err := leader.Propose(context.Background(), make([]byte, 200)); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(began).Seconds()*1000)
			}
			sort.Float64s(took)
			b.ReportMetric(took[len(took)/2], "p50-ms")
			b.ReportMetric(took[len(took)*95/100], "p95-ms")
		})
	}
}

// BenchmarkCoreStep measures the CPU time of one proposal through a leader's core.
func BenchmarkCoreStep(b *testing.B) {
	c := newCore("d1", nil, 1)
	now := elect(b, c, at(0))
	i := Index(2)
	for b.Loop() {
		i++
		syncAll(c, now, c.Step(now, Propose{Proposals: []Proposal{{ID: 1, Data: []byte("x")}}}))
		c.Step(now, ack("d2", c, i))
		if i%4096 == 0 {
			c.Step(now, Compacted{Meta: SnapshotMeta{Index: i - 1, Term: 2, Members: threeMembers()}})
		}
	}
}
