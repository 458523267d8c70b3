package target

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const now = clock.Time(time.Hour)

func announcement(incarnation ident.Incarnation, sequence uint64) Announcement {
	return Announcement{
		Target: "e1", Service: "s", Address: "127.0.0.1:1", Region: "r", Domain: "d",
		Incarnation: incarnation, Sequence: sequence, Lease: desired.Duration(2 * time.Second),
	}
}

func leave(incarnation ident.Incarnation, sequence uint64) Announcement {
	a := announcement(incarnation, sequence)
	a.Leaving = true
	return a
}

// TestOldWordRevivesNobody takes announcements late, twice and out of order.
func TestOldWordRevivesNobody(t *testing.T) {
	for name, test := range map[string]struct {
		announcements []Announcement
		usable        bool
	}{
		"announced":                    {[]Announcement{announcement(1, 1)}, true},
		"left":                         {[]Announcement{announcement(1, 1), leave(1, 2)}, false},
		"left, then an earlier word":   {[]Announcement{announcement(1, 1), leave(1, 3), announcement(1, 2)}, false},
		"left, then the same again":    {[]Announcement{leave(1, 3), leave(1, 3), announcement(1, 3)}, false},
		"left, then back":              {[]Announcement{leave(1, 3), announcement(2, 1)}, true},
		"back, then the old leave":     {[]Announcement{announcement(2, 1), leave(1, 9)}, true},
		"back, then the old one talks": {[]Announcement{leave(2, 1), announcement(1, 9)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			for _, a := range test.announcements {
				table.Apply(now, a, now.Add(2*time.Second), true)
			}
			r, _ := table.Get("e1")
			if r.Usable(now) != test.usable {
				t.Errorf("usable %v: %+v", r.Usable(now), r)
			}
			if r.Usable(now.Add(3 * time.Second)) {
				t.Error("usable beyond its lease")
			}
		})
	}
}

// TestHeardLeaseIsNeverLonger passes a lease on through an instance that answers
// late. It ends for the one who asked no later than where it was announced.
func TestHeardLeaseIsNeverLonger(t *testing.T) {
	direct := NewTable(1)
	direct.Apply(now, announcement(1, 1), now.Add(2*time.Second), true)
	for _, delay := range []time.Duration{0, time.Second, 10 * time.Second} {
		asked := now.Add(500 * time.Millisecond)
		told := direct.ListingSince(asked.Add(100*time.Millisecond), Cursor{}) // computed after the question
		other := NewTable(2)
		other.ApplyListing(asked.Add(delay), asked, "direct", Cursor{}, told)
		r, _ := other.Get("e1")
		if limit, _ := direct.Get("e1"); r.Expires > limit.Expires {
			t.Errorf("delay %v: expires %v, announced until %v", delay, r.Expires, limit.Expires)
		}
	}
}

func TestAnnouncementFaults(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":  `{"target":"e","servce":"s"}`,
		"no incarnation": `{"target":"e","service":"s","address":"a:1","region":"r","domain":"d","sequence":1,"lease":"1s","load":{"waiting":0,"running":0}}`,
		"long lease":     `{"target":"e","service":"s","address":"a:1","region":"r","domain":"d","incarnation":1,"sequence":1,"lease":"1h","load":{"waiting":0,"running":0}}`,
		"bad address":    `{"target":"e","service":"s","address":"a","region":"r","domain":"d","incarnation":1,"sequence":1,"lease":"1s","load":{"waiting":0,"running":0}}`,
		"negative load":  `{"target":"e","service":"s","address":"a:1","region":"r","domain":"d","incarnation":1,"sequence":1,"lease":"1s","load":{"waiting":-1,"running":0}}`,
	} {
		if _, faults := ParseAnnouncement([]byte(text)); len(faults) == 0 {
			t.Errorf("%s: accepted", name)
		}
	}
}

// BenchmarkListing measures what one instance tells another of the targets that
// announced themselves to it: at first, and after each has announced itself again.
func BenchmarkListing(b *testing.B) {
	const n = 100
	table := NewTable(1)
	announcements := make([]Announcement, n)
	for i := range announcements {
		announcements[i] = announcement(1, 1)
		announcements[i].Target = ident.TargetID(fmt.Sprint("engine-", i))
		announcements[i].Address = "10.20.30.40:9000"
		announcements[i].Engine = &EngineReport{Role: desired.RolePrefill, Model: "advisor-model", Version: "v1"}
		announcements[i].Load = Load{Waiting: 12_000, Running: 40, Slots: 64, Prefill: 9000, Measured: 1_790_000_000_000}
	}
	announce := func() {
		for i := range announcements {
			announcements[i].Sequence++
			table.Apply(now, announcements[i], now.Add(2*time.Second), true)
		}
	}
	for name, first := range map[string]bool{"first": true, "again": false} {
		b.Run(name, func(b *testing.B) {
			other := NewTable(2)
			size := 0
			for b.Loop() {
				b.StopTimer()
				announce()
				b.StartTimer()
				if first {
					other = NewTable(2)
				}
				since := other.Cursor("table")
				var buf bytes.Buffer
				enc := msgpack.NewEncoder(&buf)
				enc.UseArrayEncodedStructs(true) // as between instances
				enc.UseCompactInts(true)
				if err := enc.Encode(table.ListingSince(now, since)); err != nil {
					b.Fatal(err)
				}
				size = buf.Len()
				var l Listing
				if err := msgpack.NewDecoder(&buf).Decode(&l); err != nil {
					b.Fatal(err)
				}
				other.ApplyListing(now, now, "table", since, l)
			}
			b.ReportMetric(float64(size)/n, "B/target")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/target")
		})
	}
}

// TestDocumentedAnnouncement parses the example of the page for targets.
func TestDocumentedAnnouncement(t *testing.T) {
	page, err := os.ReadFile("../docs/TARGETS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("the page has no example")
	}
	if _, faults := ParseAnnouncement([]byte(example)); len(faults) > 0 {
		t.Error(faults)
	}
}
