package target

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// announcementID identifies one announcement.
type announcementID struct {
	id          ident.TargetID
	incarnation ident.Incarnation
	sequence    uint64
}

// announced is an announcement with the expiry of its lease.
type announced struct {
	a       Announcement
	expires clock.Time
}

// cluster simulates instances whose tables receive announcements and pull listings
// from each other.
type cluster struct {
	rng       *rand.Rand
	now       clock.Time
	run       RunID
	tables    map[ident.InstanceID]*Table
	last      map[ident.TargetID]Announcement
	announced map[announcementID]announced
	delayed   []func() // listings in transit
}

func newCluster(seed uint64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 9)), now: now, tables: map[ident.InstanceID]*Table{},
		last: map[ident.TargetID]Announcement{}, announced: map[announcementID]announced{},
	}
	for i := range 3 {
		c.restart(ident.InstanceID(fmt.Sprint("i", i)))
	}
	return c
}

func (c *cluster) restart(id ident.InstanceID) {
	c.run++
	c.tables[id] = NewTable(c.run)
}

func (c *cluster) instance() ident.InstanceID {
	return ident.InstanceID(fmt.Sprint("i", c.rng.IntN(3)))
}

// announce sends an announcement of a random target to a random instance.
func (c *cluster) announce() {
	id := ident.TargetID(fmt.Sprint("e", c.rng.IntN(4)))
	a, known := c.last[id]
	if !known {
		a = Announcement{Target: id, Service: "s", Address: "a:1", Region: "r", Domain: "d", Incarnation: 1, Engine: &EngineReport{Role: desired.RolePrefill}}
	}
	if c.rng.IntN(20) == 0 {
		a.Incarnation++
		a.Sequence = 0
		a.Cache = nil
	}
	a.Sequence++
	a.Lease = desired.Duration(2 * time.Second)
	a.Leaving = c.rng.IntN(20) == 0
	a.Load = Load{Waiting: ident.Tokens(c.rng.IntN(1000)), Running: c.rng.IntN(50), Slots: 64}
	if c.rng.IntN(8) == 0 {
		a.Load.Slots = 32
	}
	if c.rng.IntN(8) == 0 {
		a.Engine = &EngineReport{Role: []desired.Role{desired.RolePrefill, desired.RoleDecode}[c.rng.IntN(2)]}
	}
	a.Cache = []CacheEvent{{Sequence: a.Sequence, Stored: []string{fmt.Sprint(a.Sequence)}}}
	c.last[id] = a
	c.announced[announcementID{id, a.Incarnation, a.Sequence}] = announced{a, c.now.Add(2 * time.Second)}
	c.tables[c.instance()].Apply(c.now, a, c.now.Add(2*time.Second), true)
}

// requestListing makes one instance pull a listing from another. The listing may be lost,
// or delayed until after later ones.
func (c *cluster) requestListing(from, to ident.InstanceID, lost, late bool) {
	since, requested := c.tables[from].Cursor(to), c.now
	l := c.tables[to].ListingSince(c.now, since)
	c.now = c.now.Add(time.Duration(c.rng.IntN(50)) * time.Millisecond)
	apply := func() { c.tables[from].ApplyListing(c.now, requested, to, since, l) }
	switch {
	case late:
		c.delayed = append(c.delayed, apply)
	case !lost:
		apply()
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(time.Duration(c.rng.IntN(200)) * time.Millisecond)
	switch n := c.rng.IntN(40); {
	case n < 18:
		c.announce()
	case n < 36:
		if a, b := c.instance(), c.instance(); a != b {
			c.requestListing(a, b, c.rng.IntN(5) == 0, c.rng.IntN(5) == 0)
		}
	case n == 37 && len(c.delayed) > 0:
		i := c.rng.IntN(len(c.delayed))
		c.delayed[i]()
		c.delayed = append(c.delayed[:i], c.delayed[i+1:]...)
	case n == 38:
		c.restart(c.instance())
	default:
		c.now = c.now.Add(time.Duration(c.rng.Int64N(int64(departedRetention))))
		for _, t := range c.tables {
			t.Sweep(c.now)
		}
	}
}

// check compares a record with its target's announcement of the same sequence number.
func (c *cluster) check(r *Record) error {
	s := c.announced[announcementID{r.Target, r.Incarnation, r.Sequence}]
	got, want := r.Announcement, s.a
	got.Cache, want.Cache = nil, nil
	if !reflect.DeepEqual(got, want) {
		return fmt.Errorf("%s: record %+v, announced %+v", r.Target, got, want)
	}
	if r.Usable(c.now) && r.Expires > s.expires {
		return fmt.Errorf("%s: lease expires at %v, announced until %v", r.Target, r.Expires, s.expires)
	}
	return nil
}

// TestListingsMatchAnnouncements replicates announcements between instances, with lost
// and delayed listings, restarts and expired records. Every record always equals an
// announcement of its target. Once each instance has pulled from every other, all have
// the newest announcement of every target.
func TestListingsMatchAnnouncements(t *testing.T) {
	for seed := range uint64(500) {
		c := newCluster(seed)
		for step := range 200 {
			c.step()
			for id, table := range c.tables {
				for _, r := range table.All() {
					if err := c.check(&r); err != nil {
						t.Fatalf("seed %d step %d: %s: %v", seed, step, id, err)
					}
				}
			}
		}
		for range 3 { // a reset cursor takes one more request
			for a := range c.tables {
				for b := range c.tables {
					if a != b {
						c.requestListing(a, b, false, false)
					}
				}
			}
		}
		for id, table := range c.tables {
			for other, from := range c.tables {
				for _, r := range from.All() {
					mine, _ := table.Get(r.Target)
					if r.Direct && r.Usable(c.now) && (mine.Incarnation < r.Incarnation || mine.Incarnation == r.Incarnation && mine.Sequence < r.Sequence) {
						t.Fatalf("seed %d: %s has %s at %d.%d, but %s has it at %d.%d", seed, id, r.Target, mine.Incarnation, mine.Sequence, other, r.Incarnation, r.Sequence)
					}
				}
			}
		}
	}
}

// TestListingsLoseNoCacheEvent pulls listings less often than the target announces itself,
// and loses some of them. Every cache event must arrive, and be sent only once per
// delivered listing.
func TestListingsLoseNoCacheEvent(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	rng := rand.New(rand.NewPCG(4, 4))
	listings, events := 0, 0
	for sequence := uint64(1); sequence <= 200; sequence++ {
		an := announcement(1, sequence)
		an.Cache = []CacheEvent{{Sequence: sequence}}
		a.Apply(now, an, now.Add(time.Second), true)
		if rng.IntN(3) > 0 {
			continue
		}
		since := b.Cursor("a")
		l := a.ListingSince(now, since)
		if rng.IntN(3) == 0 {
			continue // lost
		}
		for _, heartbeat := range l.Heartbeats {
			events += len(heartbeat.Cache)
		}
		b.ApplyListing(now, now, "a", since, l)
		listings++
	}
	since := b.Cursor("a")
	b.ApplyListing(now, now, "a", since, a.ListingSince(now, since))
	r, _ := b.Get("e1")
	if len(r.Cache) != 200 {
		t.Errorf("received %d of 200 cache events in %d listings", len(r.Cache), listings)
	}
	if events > 200 {
		t.Errorf("heartbeats carried %d cache events, want at most 200", events)
	}
}
