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
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

func ExampleRenewals() {
	rs := Renewals{}.add(&Heartbeat{Number: 7, Sequence: 300, Remaining: 1500})
	rs.each(func(h *Heartbeat) { fmt.Println(len(rs), "bytes:", h.Number, h.Sequence, h.Remaining) })
	// Output: 4 bytes: 7 300 1472
}

// FuzzRenewals decodes arbitrary bytes. Whatever decodes must survive a round trip.
func FuzzRenewals(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{7, 0xac, 2, 46})
	f.Add([]byte{0xff})
	f.Add(bytes.Repeat([]byte{0xff}, 12))
	f.Add([]byte(Renewals{}.add(&Heartbeat{Number: math.MaxUint32, Sequence: math.MaxUint64, Remaining: 60_000})))
	f.Fuzz(func(t *testing.T, data []byte) {
		var packed Renewals
		var want, got []Heartbeat
		if !Renewals(data).each(func(h *Heartbeat) { want = append(want, *h) }) {
			return
		}
		for i := range want {
			packed = packed.add(&want[i])
		}
		if !packed.each(func(h *Heartbeat) { got = append(got, *h) }) || !reflect.DeepEqual(want, got) {
			t.Errorf("round trip returned %v, want %v", got, want)
		}
	})
}

// TestManyTargetsToManyInstances makes 300 instances pull 600 targets from one voter, first
// in full and then as heartbeats. A heartbeat must take at most 8 bytes, and each
// announcement must be encoded only once for all instances.
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
		if first := &r.listing.encoded[0]; first == &r.shared(0).encoded[0] {
			encodings++
		}
	}
	if encodings != targets {
		t.Errorf("%d of %d announcements were encoded only once", encodings, targets)
	}
	announceMany(table, targets, 1001)
	for _, other := range others {
		if size := pull(t, other, table); size > 8*targets {
			t.Fatalf("listing has %d bytes for %d heartbeats, want at most 8 each", size, targets)
		}
		r, _ := other.Get("t5")
		if r.Sequence != 1001 || !r.Usable(now.Add(1900*time.Millisecond)) || r.Usable(now.Add(2*time.Second)) {
			t.Fatalf("record after the heartbeat: %+v", r)
		}
	}
}

// announceMany announces n targets that report no load.
func announceMany(table *Table, n int, sequence uint64) {
	for i := range n {
		a := announcement(1, sequence)
		a.Target = ident.TargetID(fmt.Sprint("t", i))
		a.Load = Load{Slots: 48}
		table.Apply(now, a, now.Add(2*time.Second), true)
	}
}

// pull applies a listing of from, encoded as on the wire, to to and returns its size in
// bytes.
func pull(t testing.TB, to, from *Table) int {
	t.Helper()
	since := to.Cursor("voter")
	var buf bytes.Buffer
	if err := fields.NewEncoder(&buf).Encode(from.ListingSince(now, since)); err != nil {
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

// TestUnreadableRenewals checks that malformed renewals reset the cursor, so that the next
// listing contains everything.
func TestUnreadableRenewals(t *testing.T) {
	from, to := NewTable(1), NewTable(2)
	from.Apply(now, announcement(1, 1), now.Add(time.Second), true)
	pull(t, to, from)
	since := to.Cursor("voter")
	to.ApplyListing(now, now, "voter", since, Listing{Next: Cursor{Run: 1, Revision: 5}, Renewed: Renewals{0xff}})
	if got := to.Cursor("voter"); got != (Cursor{}) {
		t.Errorf("cursor %+v after malformed renewals, want the zero cursor", got)
	}
}

// BenchmarkRenewals measures encoding, decoding and applying a listing with the heartbeats
// of targets that report no load.
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
