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
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

const now = clock.Time(time.Hour)

func announcement(incarnation ident.Incarnation, sequence uint64) Announcement {
	return Announcement{
		Target: "e1", Service: "s", Address: "127.0.0.1:1", Region: "r", Domain: "d",
		Incarnation: incarnation, Sequence: sequence, Lease: desired.Duration(2 * time.Second),
	}
}

func leaving(incarnation ident.Incarnation, sequence uint64) Announcement {
	a := announcement(incarnation, sequence)
	a.Leaving = true
	return a
}

// TestStaleAnnouncementIsIgnored applies announcements late, twice and out of order. A
// target that has left must become usable only through a newer announcement.
func TestStaleAnnouncementIsIgnored(t *testing.T) {
	for name, test := range map[string]struct {
		announcements []Announcement
		usable        bool
	}{
		"announced":                           {[]Announcement{announcement(1, 1)}, true},
		"left":                                {[]Announcement{announcement(1, 1), leaving(1, 2)}, false},
		"left, then an earlier announcement":  {[]Announcement{announcement(1, 1), leaving(1, 3), announcement(1, 2)}, false},
		"left, then duplicates":               {[]Announcement{leaving(1, 3), leaving(1, 3), announcement(1, 3)}, false},
		"left, then restarted":                {[]Announcement{leaving(1, 3), announcement(2, 1)}, true},
		"restarted, then left in the old run": {[]Announcement{announcement(2, 1), leaving(1, 9)}, true},
		"left, then announced in the old run": {[]Announcement{leaving(2, 1), announcement(1, 9)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			for _, a := range test.announcements {
				table.Apply(now, a, now.Add(2*time.Second), true)
			}
			r, _ := table.Get("e1")
			if r.Usable(now) != test.usable {
				t.Errorf("usable is %v for record %+v", r.Usable(now), r)
			}
			if r.Usable(now.Add(3 * time.Second)) {
				t.Error("usable after its lease expired")
			}
		})
	}
}

// TestRelayedLeaseIsNeverLonger relays a lease through an instance that replies late. At
// the requester it must expire no later than at the instance that received it directly.
func TestRelayedLeaseIsNeverLonger(t *testing.T) {
	direct := NewTable(1)
	direct.Apply(now, announcement(1, 1), now.Add(2*time.Second), true)
	for _, delay := range []time.Duration{0, time.Second, 10 * time.Second} {
		requested := now.Add(500 * time.Millisecond)
		listing := direct.ListingSince(requested.Add(100*time.Millisecond), Cursor{}) // created after the request
		other := NewTable(2)
		other.ApplyListing(requested.Add(delay), requested, "direct", Cursor{}, listing)
		r, _ := other.Get("e1")
		if limit, _ := direct.Get("e1"); r.Expires > limit.Expires {
			t.Errorf("delay %v: lease expires at %v, announced until %v", delay, r.Expires, limit.Expires)
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

// BenchmarkListing measures the listing that one instance sends another: the first one, with
// full announcements, and one after each target has announced itself again.
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
				if err := fields.NewEncoder(&buf).Encode(table.ListingSince(now, since)); err != nil {
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

// TestDocumentedAnnouncement parses the example in docs/TARGETS.md.
func TestDocumentedAnnouncement(t *testing.T) {
	page, err := os.ReadFile("../docs/TARGETS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("docs/TARGETS.md has no JSON example")
	}
	if _, faults := ParseAnnouncement([]byte(example)); len(faults) > 0 {
		t.Error(faults)
	}
}
