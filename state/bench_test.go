package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
)

// machineWithReceipts returns a machine with n done receipts with small responses.
func machineWithReceipts(tb testing.TB, n int) *Machine {
	tb.Helper()
	log := &commandLog{t: nil, machine: NewMachine()}
	for i := range n {
		key := ident.IdempotencyKey(fmt.Sprintf("0192f0c1-7e2a-7abc-8def-%012d", i))
		for _, c := range []Command{openCommand(key, ident.AttemptID(fmt.Sprint("i1-", i)), 0), {Close: &CloseReceipt{
			ID: ReceiptID{"t", "desk", key}, Attempt: ident.AttemptID(fmt.Sprint("i1-", i)), Outcome: OutcomeDone,
			Response: &StoredResponse{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: []byte(`{"recorded":1,"path":"/payments"}`)},
		}}} {
			c.At = 1
			data, err := c.Encode()
			if err != nil {
				tb.Fatal(err)
			}
			log.index++
			log.machine.Apply(log.index, data)
		}
	}
	return log.machine
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkReceiptMemory measures the memory of 100,000 receipts and the size of
// their snapshot.
func BenchmarkReceiptMemory(b *testing.B) {
	const n = 100_000
	before := heapBytes()
	m := machineWithReceipts(b, n)
	used := float64(heapBytes()-before) / (1 << 20)
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		// The memory is measured once.
	}
	b.ReportMetric(used, "MB/100k")
	b.ReportMetric(float64(len(data))/(1<<20), "snapshot-MB/100k")
	runtime.KeepAlive(m)
}

// BenchmarkReceipt measures the CPU time of opening and closing one receipt.
func BenchmarkReceipt(b *testing.B) {
	m := machineWithReceipts(b, 10_000)
	i := 0
	for b.Loop() {
		i++
		key := ident.IdempotencyKey(fmt.Sprint("k", i))
		for _, c := range []Command{openCommand(key, "a", 0), closeCommand(key, "a", OutcomeDone)} {
			data, err := c.Encode()
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(1, data)
		}
	}
}
