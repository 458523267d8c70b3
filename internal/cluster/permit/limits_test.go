package permit

import (
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/limittest"
)

const start = clock.Time(time.Hour)

// at returns a time of a test.
func at(d time.Duration) clock.Time { return start.Add(d) }

// newLimits returns an empty set of limits of an instance whose leader, of run 7, grants permits.
func newLimits() *Limits {
	l := NewLimits()
	l.Merge(start, start, Snapshot{Run: 7}, firstIncarnation)
	return l
}

func firstIncarnation(ident.TargetID) ident.Incarnation { return 1 }

func TestParseStatement(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		values []string
		want   Statement
		bad    bool
	}{
		"decimal":                  {200, []string{"7.9"}, Named{7.9}, false},
		"spaces":                   {200, []string{" 8 "}, Named{8}, false},
		"none taken":               {200, []string{"0"}, Named{0}, false},
		"in a rejection":           {503, []string{"8"}, Named{8}, false},
		"not named":                {200, nil, NotNamed{}, false},
		"not named in a rejection": {503, nil, nil, false},
		"not named in a failure":   {500, nil, nil, false},
		"empty":                    {200, []string{""}, nil, true},
		"words":                    {200, []string{"eight"}, nil, true},
		"negative":                 {200, []string{"-1"}, nil, true},
		"infinite":                 {200, []string{"+Inf"}, nil, true},
		"not a number":             {200, []string{"NaN"}, nil, true},
		"too large":                {200, []string{"1e999"}, nil, true},
		"twice":                    {200, []string{"8", "9"}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseStatement(test.status, test.values)
			if got != test.want || (err != nil) != test.bad || test.bad && !fault.Is(err, fault.FrameInvalid) {
				t.Errorf("ParseStatement(%d, %q) = %v, %v; want %v", test.status, test.values, got, err, test.want)
			}
		})
	}
}

// TestObserve applies answers to a limit of 8 per second that was learned at 10 s, of incarnation 2.
func TestObserve(t *testing.T) {
	for name, test := range map[string]struct {
		sentAt      time.Duration
		incarnation ident.Incarnation
		statement   Statement
		change      Change
		rate        ident.RequestsPerSecond // 0 for none
	}{
		"named again":                       {11 * time.Second, 2, Named{8}, Unchanged, 8},
		"another rate":                      {11 * time.Second, 2, Named{5}, Began, 5},
		"no statement":                      {11 * time.Second, 2, nil, Unchanged, 8},
		"not named":                         {11 * time.Second, 2, NotNamed{}, Ended, 0},
		"not named, sent before":            {9 * time.Second, 2, NotNamed{}, Unchanged, 8},
		"named by an earlier incarnation":   {11 * time.Second, 1, Named{3}, Unchanged, 8},
		"not named by an earlier one":       {11 * time.Second, 1, NotNamed{}, Unchanged, 8},
		"named by a later incarnation":      {11 * time.Second, 3, Named{3}, Began, 3},
		"not named by a later incarnation":  {11 * time.Second, 3, NotNamed{}, Unchanged, 8},
		"nothing stated by a later one too": {11 * time.Second, 3, nil, Unchanged, 8},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimits()
			l.Observe(at(10*time.Second), at(9*time.Second), "t", 2, Named{8})
			change := l.Observe(at(12*time.Second), at(test.sentAt), "t", test.incarnation, test.statement).Change
			if rate, _ := l.Rate("t"); change != test.change || rate != test.rate {
				t.Errorf("change %d, rate %v; want %d, %v", change, rate, test.change, test.rate)
			}
		})
	}
}

// TestMerge applies the snapshot of a leader to a limit of 8 per second that this instance saw named
// at 10 s and that the leader of run 7 knows as of 11 s.
func TestMerge(t *testing.T) {
	listed := func(incarnation ident.Incarnation, rate ident.RequestsPerSecond) []Limit {
		return []Limit{{Target: "t", Incarnation: incarnation, Rate: rate}}
	}
	for name, test := range map[string]struct {
		named       time.Duration // when the target named the limit again; 0 for never
		requestedAt time.Duration
		snapshot    Snapshot
		rate        ident.RequestsPerSecond // 0 for none
		unreported  bool
	}{
		"listed":                              {0, 12 * time.Second, Snapshot{7, listed(1, 8)}, 8, false},
		"listed with another rate":            {0, 12 * time.Second, Snapshot{7, listed(1, 5)}, 5, false},
		"another rate, named since":           {13 * time.Second, 12 * time.Second, Snapshot{7, listed(1, 5)}, 8, false},
		"ended":                               {0, 12 * time.Second, Snapshot{7, nil}, 0, false},
		"not listed, requested before known":  {0, 10 * time.Second, Snapshot{7, nil}, 8, false},
		"not listed, but named since":         {13 * time.Second, 12 * time.Second, Snapshot{7, nil}, 8, true},
		"not listed by another leader":        {0, 12 * time.Second, Snapshot{9, nil}, 8, true},
		"listed by another leader":            {0, 12 * time.Second, Snapshot{9, listed(1, 8)}, 8, false},
		"leader of an earlier version":        {0, 12 * time.Second, Snapshot{}, 8, false},
		"listed, of an earlier incarnation":   {0, 12 * time.Second, Snapshot{7, listed(0, 5)}, 8, false},
		"listed, of an incarnation not known": {0, 12 * time.Second, Snapshot{7, listed(2, 5)}, 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimits()
			l.Observe(at(10*time.Second), at(9*time.Second), "t", 1, Named{8})
			r, _ := l.Request(at(11 * time.Second))
			l.Apply(at(11*time.Second), at(11*time.Second), r, Reply{Known: Snapshot{7, listed(1, 8)}}, firstIncarnation)
			if test.named > 0 {
				l.Observe(at(test.named), at(12*time.Second), "t", 1, Named{8})
			}
			l.Merge(at(14*time.Second), at(test.requestedAt), test.snapshot, firstIncarnation)
			if rate, _ := l.Rate("t"); rate != test.rate || l.Unreported() != test.unreported {
				t.Errorf("rate %v, unreported %v; want %v, %v", rate, l.Unreported(), test.rate, test.unreported)
			}
		})
	}
}

// TestEndNotUndone checks that a limit that ended here does not come back from a leader that does
// not know the end yet, and that it does if the target names it again.
func TestEndNotUndone(t *testing.T) {
	old := Snapshot{7, []Limit{{Target: "t", Incarnation: 1, Rate: 8}}}
	l := NewLimits()
	l.Merge(at(10*time.Second), at(10*time.Second), old, firstIncarnation)
	if l.Observe(at(12*time.Second), at(11*time.Second), "t", 1, NotNamed{}).Change != Ended {
		t.Fatal("the limit did not end")
	}
	l.Merge(at(13*time.Second), at(12*time.Second), old, firstIncarnation)
	if l.Limited("t") || !l.Unreported() {
		t.Errorf("limited %v, unreported %v before the leader knows the end", l.Limited("t"), l.Unreported())
	}
	r, due := l.Request(at(14 * time.Second))
	want := Request{[]Observation{{Limit: old.Limits[0], Age: 3 * time.Second, Ended: true}}}
	if !due || !reflect.DeepEqual(r, want) {
		t.Errorf("reported %+v, want %+v", r, want)
	}
	l.Apply(at(14*time.Second), at(14*time.Second), r, Reply{Known: Snapshot{Run: 7}}, firstIncarnation)
	l.Merge(at(15*time.Second), at(13*time.Second), old, firstIncarnation) // a reply that was delayed
	if l.Limited("t") || l.Unreported() {
		t.Errorf("limited %v, unreported %v after the leader knows the end", l.Limited("t"), l.Unreported())
	}
	l.Merge(at(16*time.Second), at(15*time.Second), old, firstIncarnation)
	if !l.Limited("t") {
		t.Error("not limited though another instance reported the limit since")
	}
}

// TestRestartedTargetHasNoLimit checks that a limit does not outlive its incarnation, neither here
// nor at the leader.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	second := func(ident.TargetID) ident.Incarnation { return 2 }
	old := Snapshot{7, []Limit{{Target: "t", Incarnation: 1, Rate: 8}}}
	l := NewLimits()
	l.Merge(at(0), at(0), old, firstIncarnation)
	l.Forget("t", 2)
	l.Merge(at(time.Second), at(time.Second), old, second)
	if l.Limited("t") {
		t.Error("limited after the target started again")
	}
	a := NewAllocator(7)
	a.Handle(at(0), "i", Request{[]Observation{{Limit: old.Limits[0]}}})
	a.DropStale(at(0), second)
	if limits := a.Snapshot().Limits; len(limits) > 0 {
		t.Errorf("the leader keeps %v", limits)
	}
}

// TestLimitOfUnknownTarget checks that a leader which does not know a target keeps its limit, but not
// for ever.
func TestLimitOfUnknownTarget(t *testing.T) {
	unknown := func(ident.TargetID) ident.Incarnation { return 0 }
	a := NewAllocator(7)
	a.Handle(at(0), "i", Request{[]Observation{{Limit: Limit{Target: "t", Incarnation: 1, Rate: 8}}}})
	a.DropStale(at(unknownTargetTime), unknown)
	if len(a.Snapshot().Limits) != 1 {
		t.Error("the limit was dropped before the leader could know the target")
	}
	a.DropStale(at(unknownTargetTime+1), unknown)
	if len(a.Snapshot().Limits) != 0 {
		t.Error("the limit of a target that is gone was kept")
	}
}

// TestUnusedPermitsLapse lets many instances collect permits, one each, and use all of them at once.
func TestUnusedPermitsLapse(t *testing.T) {
	const (
		instances                         = 300
		rate      ident.RequestsPerSecond = 8
	)
	a := NewAllocator(7)
	limit := Limit{Target: "t", Incarnation: 1, Rate: rate}
	var all []*Limits
	for range instances {
		l := NewLimits()
		l.Merge(at(0), at(0), Snapshot{7, []Limit{limit}}, firstIncarnation)
		all = append(all, l)
	}
	now := at(0)
	for step := range 2000 { // 20 s
		now = at(time.Duration(step) * 10 * time.Millisecond)
		l := all[step%instances]
		l.Demand(now, "t", true)
		if r, due := l.Request(now); due {
			l.Apply(now, now, r, a.Handle(now, ident.InstanceID(fmt.Sprint(step%instances)), r), firstIncarnation)
		}
	}
	used := 0
	for _, l := range all {
		for _, ok := l.Take(now, "t"); ok; _, ok = l.Take(now, "t") {
			used++
		}
	}
	if used == 0 || used > limittest.Allowed(rate)-int(float64(rate)*limittest.Window.Seconds()) {
		t.Errorf("%d permits used at once", used)
	}
}

// TestPermits checks what permits an instance takes, gives back and asks for.
func TestPermits(t *testing.T) {
	l := NewLimits()
	if _, ok := l.Take(at(0), "t"); !ok {
		t.Error("a target without a limit needs a permit")
	}
	l.Merge(at(0), at(0), Snapshot{7, []Limit{{Target: "t", Incarnation: 1, Rate: 8}}}, firstIncarnation)
	if _, ok := l.Take(at(0), "t"); ok {
		t.Error("a permit that nobody granted")
	}
	if _, due := l.Request(at(0)); due {
		t.Error("a request for permits without a request from a caller")
	}
	if !l.Demand(at(0), "t", false) {
		t.Error("no request for permits is due after a request from a caller")
	}
	r, _ := l.Request(at(0))
	if len(r.Observations) != 1 || r.Observations[0].Wanted != 1 {
		t.Fatalf("request %+v, want one permit", r)
	}
	l.Apply(at(20*time.Millisecond), at(0), r, Reply{Grants: []Grant{{Target: "t", Incarnation: 1, Count: 1}, {Target: "t", Incarnation: 2, Count: 5}}, Known: Snapshot{7, l.List()}}, firstIncarnation)
	taken, ok := l.Take(at(900*time.Millisecond), "t")
	if !ok || l.Available(at(900*time.Millisecond), "t") {
		t.Errorf("taken %v, still available %v", ok, l.Available(at(900*time.Millisecond), "t"))
	}
	l.Return(at(900*time.Millisecond), taken)
	if !l.Available(at(900*time.Millisecond), "t") || l.Available(at(PermitTime), "t") {
		t.Error("a permit that was given back is not available, or longer than it is valid")
	}
	l.Return(at(PermitTime), taken)
	if l.Available(at(PermitTime), "t") {
		t.Error("a permit that lapsed was given back")
	}
	if l.Demand(at(PermitTime), "t", false) {
		t.Error("permits are asked for at once after one was not used")
	}
	if !l.Demand(at(PermitTime), "t", true) {
		t.Error("no permits are asked for though no other target is usable")
	}
}

// TestLeaderWithoutPermits checks that limits are not kept while the leader does not grant permits,
// and that it gets no request, which it could not read.
func TestLeaderWithoutPermits(t *testing.T) {
	for name, before := range map[string][]Snapshot{"not heard yet": nil, "earlier version": {{}}, "earlier version after a later one": {{Run: 7}, {}}} {
		t.Run(name, func(t *testing.T) {
			l := NewLimits()
			for _, s := range before {
				l.Merge(at(0), at(0), s, firstIncarnation)
			}
			l.Observe(at(0), at(0), "t", 1, Named{8})
			_, ok := l.Take(at(0), "t")
			_, due := l.Request(at(0))
			if !ok || due || l.Unreported() || l.Demand(at(0), "t", true) {
				t.Errorf("taken %v, request due %v, unreported %v", ok, due, l.Unreported())
			}
			l.Merge(at(time.Second), at(time.Second), Snapshot{Run: 9}, firstIncarnation)
			_, ok = l.Take(at(time.Second), "t")
			if _, due = l.Request(at(time.Second)); ok || !due {
				t.Errorf("taken %v, request due %v from a leader that grants permits", ok, due)
			}
		})
	}
}

// TestFailedRequest checks that limits are reported again and permits not asked for at once after a
// request that got no reply.
func TestFailedRequest(t *testing.T) {
	l := newLimits()
	l.Observe(at(0), at(0), "t", 1, Named{8})
	l.Demand(at(0), "t", true)
	r, _ := l.Request(at(0))
	l.Failed(at(time.Second), r)
	if !l.Unreported() || l.Demand(at(time.Second), "t", true) {
		t.Error("the limit counts as reported, or permits are asked for at once")
	}
	if after, _ := l.RetryAfter(at(time.Second), "t"); after != failurePause {
		t.Errorf("retry after %v, want %v", after, failurePause)
	}
}

// TestAllocatorKeepsNewest checks which of two observations the allocator keeps.
func TestAllocatorKeepsNewest(t *testing.T) {
	observation := func(incarnation ident.Incarnation, rate ident.RequestsPerSecond, age time.Duration, ended bool) Observation {
		return Observation{Limit: Limit{Target: "t", Incarnation: incarnation, Rate: rate}, Age: age, Ended: ended}
	}
	for name, test := range map[string]struct {
		second Observation
		want   ident.RequestsPerSecond // 0 for none
	}{
		"newer rate":                      {observation(1, 5, 0, false), 5},
		"older rate":                      {observation(1, 5, 3*time.Second, false), 8},
		"newer end":                       {observation(1, 8, 0, true), 0},
		"older end":                       {observation(1, 8, 3*time.Second, true), 8},
		"end of an earlier incarnation":   {observation(0, 8, 0, true), 8},
		"end of a later incarnation":      {observation(2, 8, 3*time.Second, true), 0},
		"limit of an earlier incarnation": {observation(0, 5, 0, false), 8},
		"limit of a later incarnation":    {observation(2, 5, 3*time.Second, false), 5},
		"an age that is negative":         {observation(1, 5, -time.Hour, false), 5},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAllocator(7)
			a.Handle(at(10*time.Second), "i", Request{[]Observation{observation(1, 8, time.Second, false)}})
			a.Handle(at(11*time.Second), "j", Request{[]Observation{test.second}})
			got := ident.RequestsPerSecond(0)
			for _, l := range a.Snapshot().Limits {
				got = l.Rate
			}
			if got != test.want {
				t.Errorf("rate %v, want %v", got, test.want)
			}
		})
	}
}

// TestAllocatorIsFair checks that instances which ask when they are told to share a rate evenly, and
// that a limit of 0 still lets a request through now and then.
func TestAllocatorIsFair(t *testing.T) {
	for name, test := range map[string]struct {
		rate        ident.RequestsPerSecond
		least, most int // permits of each of 4 instances in 20 s
	}{
		"8 per second":  {8, 25, 55},
		"none per hour": {0, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAllocator(7)
			wanted := Observation{Limit: Limit{Target: "t", Incarnation: 1, Rate: test.rate}, Wanted: 1}
			var next [4]clock.Time
			var granted [4]int
			for step := range 2000 {
				now := at(time.Duration(step) * 10 * time.Millisecond)
				for i := range next {
					if now.Before(next[i]) {
						continue
					}
					g := a.Handle(now, ident.InstanceID(fmt.Sprint(i)), Request{[]Observation{wanted}}).Grants[0]
					granted[i] += g.Count
					next[i] = now.Add(g.RetryAfter)
				}
			}
			total := 0
			for i, n := range granted {
				total += n
				if n < test.least || n > test.most {
					t.Errorf("instance %d got %d permits, want %d to %d", i, n, test.least, test.most)
				}
			}
			if total == 0 {
				t.Error("no permit at all: the end of the limit would never be seen")
			}
		})
	}
}

func ExampleAllocator() {
	limit := Limit{Target: "engine-1", Incarnation: 1, Rate: 4}
	instance, leader := newLimits(), NewAllocator(1)
	now := start
	s, err := ParseStatement(http.StatusOK, []string{"4"})
	fmt.Println(s, err)
	instance.Observe(now, now, limit.Target, limit.Incarnation, s)
	for range 3 {
		now = now.Add(250 * time.Millisecond)
		instance.Demand(now, limit.Target, true)
		request, _ := instance.Request(now)
		reply := leader.Handle(now, "entry-1", request)
		instance.Apply(now, now, request, reply, firstIncarnation)
		_, ok := instance.Take(now, limit.Target)
		fmt.Println(ok, reply.Grants)
	}
	// Output:
	// {4} <nil>
	// false [{engine-1 1 0 250ms}]
	// true [{engine-1 1 1 0s}]
	// true [{engine-1 1 1 0s}]
}
