package target

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

func ExampleRenewals() {
	rs := Renewals{}.add(&Heartbeat{Number: 7, Sequence: 300, Remaining: 1500})
	rs.each(func(h *Heartbeat) { fmt.Println(len(rs), "bytes:", h.Number, h.Sequence, h.Remaining) })
	// Output: 4 bytes: 7 300 1472
}

// FuzzRenewals reads bytes from elsewhere: what is read can be packed and read again.
func FuzzRenewals(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{7, 0xac, 2, 46})
	f.Add([]byte{0xff})
	f.Add(bytes.Repeat([]byte{0xff}, 12))
	f.Add([]byte(Renewals{}.add(&Heartbeat{Number: math.MaxUint32, Sequence: math.MaxUint64, Remaining: 60_000})))
	f.Fuzz(func(t *testing.T, data []byte) {
		var packed Renewals
		var first, again []Heartbeat
		if !Renewals(data).each(func(h *Heartbeat) { first = append(first, *h) }) {
			return
		}
		for i := range first {
			packed = packed.add(&first[i])
		}
		if !packed.each(func(h *Heartbeat) { again = append(again, *h) }) || !reflect.DeepEqual(first, again) {
			t.Errorf("%v, packed and read again %v", first, again)
		}
	})
}

// TestManyTargetsToManyInstances lets 300 instances ask for 600 targets of one voter, at
// first and once for each heartbeat. A heartbeat costs a few bytes, and an
// announcement is encoded once for all.
func TestManyTargetsToManyInstances(t *testing.T) {
	const targets, instances = 600, 300
	table := NewTable(1)
	announceMany(table, targets, 1000)
	var others [instances]*Table
	for i := range others {
		others[i] = NewTable(RunID(i + 2))
		pull(t, others[i], table)
	}
	encodings := 0
	for _, r := range table.records {
		if first := &r.published.encoded[0]; first == &r.shared(0).encoded[0] {
			encodings++
		}
	}
	if encodings != targets {
		t.Errorf("%d of %d announcements are encoded once", encodings, targets)
	}
	announceMany(table, targets, 1001)
	for _, other := range others {
		if size := pull(t, other, table); size > 8*targets {
			t.Fatalf("%d bytes for %d heartbeats", size, targets)
		}
		r, _ := other.Get("t5")
		if r.Sequence != 1001 || !r.Usable(now.Add(1900*time.Millisecond)) || r.Usable(now.Add(2*time.Second)) {
			t.Fatalf("after the heartbeat: %+v", r)
		}
	}
}

// announceMany lets n targets that tell no load announce themselves.
func announceMany(table *Table, n int, sequence uint64) {
	for i := range n {
		a := announcement(1, sequence)
		a.Target = ident.TargetID(fmt.Sprint("t", i))
		a.Load = Load{Slots: 48}
		table.Apply(now, a, now.Add(2*time.Second), true)
	}
}

// pull lets a table ask another one over the wire and returns the size of the answer.
func pull(t testing.TB, to, from *Table) int {
	t.Helper()
	since := to.Cursor("voter")
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true) // as between instances
	enc.UseCompactInts(true)
	if err := enc.Encode(from.ListingSince(now, since)); err != nil {
		t.Fatal(err)
	}
	size := buf.Len()
	var l Listing
	if err := msgpack.NewDecoder(&buf).Decode(&l); err != nil {
		t.Fatal(err)
	}
	to.ApplyListing(now, clock.Time(now), "voter", since, l)
	return size
}

// TestUnreadableRenewals makes the next question one for everything.
func TestUnreadableRenewals(t *testing.T) {
	from, to := NewTable(1), NewTable(2)
	from.Apply(now, announcement(1, 1), now.Add(time.Second), true)
	pull(t, to, from)
	since := to.Cursor("voter")
	to.ApplyListing(now, now, "voter", since, Listing{Next: Cursor{Run: 1, Revision: 5}, Renewed: Renewals{0xff}})
	if got := to.Cursor("voter"); got != (Cursor{}) {
		t.Errorf("the next question begins at %+v", got)
	}
}

// BenchmarkRenewals measures a listing of the heartbeats of targets that tell no load, at both
// ends.
func BenchmarkRenewals(b *testing.B) {
	const n = 600
	table, other := NewTable(1), NewTable(2)
	announceMany(table, n, 1)
	pull(b, other, table)
	size := 0
	for sequence := uint64(2); b.Loop(); sequence++ {
		b.StopTimer()
		announceMany(table, n, sequence)
		b.StartTimer()
		size = pull(b, other, table)
	}
	b.ReportMetric(float64(size)/n, "B/target")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/target")
}
