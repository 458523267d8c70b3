package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
)

// filled returns a machine with n done receipts with small answers.
func filled(tb testing.TB, n int) *Machine {
	tb.Helper()
	p := &player{t: nil, m: NewMachine()}
	for i := range n {
		key := ident.IdempotencyKey(fmt.Sprintf("0192f0c1-7e2a-7abc-8def-%012d", i))
		for _, c := range []Command{open(key, ident.AttemptID(fmt.Sprint("i1-", i)), 0), {Close: &CloseReceipt{
			ID: ReceiptID{"t", "desk", key}, Attempt: ident.AttemptID(fmt.Sprint("i1-", i)), Outcome: OutcomeDone,
			Response: &StoredResponse{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: []byte(`{"recorded":1,"path":"/payments"}`)},
		}}} {
			c.At = 1
			data, err := c.Encode()
			if err != nil {
				tb.Fatal(err)
			}
			p.i++
			p.m.Apply(p.i, data)
		}
	}
	return p.m
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkReceiptMemory measures the memory of 100,000 receipts and the length of
// their snapshot.
func BenchmarkReceiptMemory(b *testing.B) {
	const n = 100_000
	before := heap()
	m := filled(b, n)
	used := float64(heap()-before) / (1 << 20)
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		// Measured once.
	}
	b.ReportMetric(used, "MB/100k")
	b.ReportMetric(float64(len(data))/(1<<20), "snapshot-MB/100k")
	runtime.KeepAlive(m)
}

// BenchmarkReceipt measures the CPU time of opening and closing one receipt.
func BenchmarkReceipt(b *testing.B) {
	m := filled(b, 10_000)
	i := 0
	for b.Loop() {
		i++
		key := ident.IdempotencyKey(fmt.Sprint("k", i))
		for _, c := range []Command{open(key, "a", 0), finish(key, "a", OutcomeDone)} {
			data, err := c.Encode()
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(1, data)
		}
	}
}
