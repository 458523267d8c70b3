package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/limittest"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

// model simulates instances that send requests of one service to limited targets and to others, an
// allocator, the messages between them and what happens to any of them.
type model struct {
	*modeltest.Timeline
	rng *rand.Rand

	allocator *Allocator // nil while there is no leader
	runs      uint32
	instances []*modelInstance
	targets   []*modelTarget
	rate      float64 // requests per second of all instances together
	onlyThese bool    // no target without a limit is usable
	refused   int
	asked     int // requests for permits that reached the allocator
	hurried   int // refusals that name no time to come back
}

type modelInstance struct {
	id       ident.InstanceID
	limits   *Limits
	told     map[ident.TargetID]clock.Time // first answer with the limit, of its present span
	known    map[ident.TargetID]ident.Incarnation
	asking   bool
	waiting  []func() // requests that wait for the reply
	ready    bool     // it has a configuration lease
	stopped  bool
	frozen   bool
	deferred []func() // what happens when it thaws
}

type modelTarget struct {
	id          ident.TargetID
	incarnation ident.Incarnation
	named       bool
	rate        ident.RequestsPerSecond
	history     []limittest.Span
	arrivals    []limittest.Arrival
}

func newModel(seed uint64, instances, targets int, rate float64) *model {
	m := &model{Timeline: modeltest.NewTimeline(), rng: rand.New(rand.NewPCG(seed, 5)), rate: rate}
	m.elect()
	for i := range targets {
		m.targets = append(m.targets, &modelTarget{id: ident.TargetID(fmt.Sprint("t", i)), incarnation: 1, history: []limittest.Span{{From: wall(modeltest.Start), Rate: -1}}})
	}
	for range instances {
		m.join()
	}
	m.After(0, m.nextRequest)
	return m
}

// latency returns the time that a message takes one way.
func (m *model) latency() time.Duration {
	return time.Duration(500+m.rng.IntN(12_000)) * time.Microsecond
}

func (m *model) elect() {
	m.runs++
	m.allocator = NewAllocator(m.runs)
}

// join adds an instance, which learns all limits with its configuration lease and serves then.
func (m *model) join() *modelInstance {
	in := &modelInstance{
		id: ident.InstanceID(fmt.Sprint("i", len(m.instances))), limits: NewLimits(),
		told: map[ident.TargetID]clock.Time{}, known: map[ident.TargetID]ident.Incarnation{},
	}
	for _, t := range m.targets {
		in.known[t.id] = t.incarnation
	}
	if m.allocator != nil {
		in.limits.Merge(m.Now, m.Now, m.allocator.Snapshot(), in.current)
		in.ready = true
	}
	m.instances = append(m.instances, in)
	m.After(m.shareInterval(), func() { m.share(in) })
	return in
}

func (in *modelInstance) current(id ident.TargetID) ident.Incarnation { return in.known[id] }

func (m *model) shareInterval() time.Duration {
	return 200*time.Millisecond + time.Duration(len(m.instances))*2*time.Millisecond
}

// when runs f at the instance, once it has thawed.
func (in *modelInstance) when(f func()) {
	switch {
	case in.stopped:
	case in.frozen:
		in.deferred = append(in.deferred, f)
	default:
		f()
	}
}

// share exchanges a snapshot, as every instance does with its leader at intervals.
func (m *model) share(in *modelInstance) {
	if in.stopped {
		return
	}
	m.After(m.shareInterval(), func() { m.share(in) })
	requestedAt := m.Now
	m.After(m.latency(), func() {
		if m.allocator == nil {
			return
		}
		s := m.allocator.Snapshot()
		m.After(m.latency(), func() {
			in.when(func() {
				in.limits.Merge(m.Now, requestedAt, s, in.current)
				in.ready = true
				m.ask(in)
			})
		})
	})
}

// ask sends the request for permits that is due.
func (m *model) ask(in *modelInstance) {
	if in.asking || in.stopped {
		return
	}
	r, due := in.limits.Request(m.Now)
	if !due {
		return
	}
	in.asking = true
	requestedAt := m.Now
	m.After(m.latency(), func() {
		if m.allocator == nil || m.rng.IntN(50) == 0 {
			m.After(400*time.Millisecond, func() {
				in.when(func() {
					in.limits.Failed(m.Now, r)
					m.answered(in)
				})
			})
			return
		}
		m.asked++
		reply := m.allocator.Handle(m.Now, in.id, r)
		m.After(m.latency(), func() {
			in.when(func() {
				in.limits.Apply(m.Now, requestedAt, r, reply, in.current)
				m.answered(in)
			})
		})
	})
}

// answered ends a request for permits and tries again what waited for it.
func (m *model) answered(in *modelInstance) {
	in.asking = false
	waiting := in.waiting
	in.waiting = nil
	for _, f := range waiting {
		f()
	}
	m.ask(in)
}

// nextRequest sends one request through a random instance and schedules the next one.
func (m *model) nextRequest() {
	m.After(time.Duration(m.rng.ExpFloat64()*float64(time.Second)/m.rate), m.nextRequest)
	in := m.instances[m.rng.IntN(len(m.instances))]
	in.when(func() {
		if in.ready {
			m.choose(in, true)
		}
	})
}

// choose sends a request to a limited target if it may, and otherwise to another target. If no other
// is usable, it waits once for permits, if they can be asked for, and else is refused.
func (m *model) choose(in *modelInstance, mayWait bool) {
	first := m.rng.IntN(len(m.targets))
	if m.onlyThese || m.rng.IntN(5) > 0 {
		for i := range m.targets {
			t := m.targets[(first+i)%len(m.targets)]
			if _, ok := in.limits.Take(m.Now, t.id); ok {
				m.send(in, t)
				return
			}
		}
	}
	due := false
	for _, t := range m.targets {
		due = in.limits.Demand(m.Now, t.id, m.onlyThese) || due
	}
	wait := m.onlyThese && mayWait && (due || in.asking)
	if wait {
		in.waiting = append(in.waiting, func() { m.choose(in, false) })
	}
	m.ask(in)
	if wait || !m.onlyThese {
		return
	}
	m.refused++
	if after, _ := in.limits.RetryAfter(m.Now, m.targets[0].id); after <= 0 && !in.asking {
		m.hurried++
	}
}

// send sends a request, which the target answers some time after its arrival.
func (m *model) send(in *modelInstance, t *modelTarget) {
	sentAt, incarnation := m.Now, in.known[t.id]
	m.After(m.latency(), func() {
		told, isTold := in.told[t.id]
		t.arrivals = append(t.arrivals, limittest.Arrival{At: wall(m.Now), Told: isTold && m.Now.Sub(told) >= limittest.Told})
		m.After(time.Duration(20+m.rng.IntN(400))*time.Millisecond, func() {
			if t.incarnation != incarnation {
				return // the connection broke
			}
			s := Statement(NotNamed{})
			if t.named {
				s = Named{t.rate}
			}
			m.After(m.latency(), func() { in.when(func() { m.receive(in, t, sentAt, incarnation, s) }) })
		})
	})
}

func (m *model) receive(in *modelInstance, t *modelTarget, sentAt clock.Time, incarnation ident.Incarnation, s Statement) {
	if _, named := s.(Named); named && in.told[t.id] == 0 {
		in.told[t.id] = m.Now
	}
	in.limits.Observe(m.Now, sentAt, t.id, incarnation, s)
	m.ask(in)
}

// name makes a target name a rate from now on; a negative one ends the limit.
func (m *model) name(t *modelTarget, rate ident.RequestsPerSecond) {
	if !t.named {
		for _, in := range m.instances {
			delete(in.told, t.id)
		}
	}
	t.named, t.rate = rate >= 0, rate
	t.history = append(t.history, limittest.Span{From: wall(m.Now), Rate: rate})
}

// restart starts a target again, without a limit. The instances learn it within half a second.
func (m *model) restart(t *modelTarget) {
	t.incarnation++
	m.name(t, -1)
	incarnation := t.incarnation
	for _, in := range m.instances {
		m.After(time.Duration(m.rng.IntN(500))*time.Millisecond, func() {
			in.when(func() {
				in.known[t.id] = incarnation
				in.limits.Forget(t.id, incarnation)
			})
		})
	}
	m.After(time.Duration(m.rng.IntN(500))*time.Millisecond, func() {
		if m.allocator != nil {
			m.allocator.DropStale(m.Now, func(id ident.TargetID) ident.Incarnation {
				if id == t.id {
					return incarnation
				}
				return 0
			})
		}
	})
}

// freeze stops an instance for a time. What reaches it meanwhile is handled when it thaws.
func (m *model) freeze(in *modelInstance, d time.Duration) {
	if in.stopped || in.frozen {
		return
	}
	in.frozen = true
	m.After(d, func() {
		in.frozen = false
		deferred := in.deferred
		in.deferred = nil
		for _, f := range deferred {
			in.when(f)
		}
	})
}

// disturb makes something happen to instances, the leader or the targets.
func (m *model) disturb() {
	in := m.instances[m.rng.IntN(len(m.instances))]
	t := m.targets[m.rng.IntN(len(m.targets))]
	switch m.rng.IntN(8) {
	case 0:
		m.join()
	case 1:
		if len(m.instances) > 2 {
			in.stopped = true
			m.instances = m.instances[:copy(m.instances, withoutStopped(m.instances))]
		}
	case 2:
		m.freeze(in, time.Duration(200+m.rng.IntN(3000))*time.Millisecond)
	case 3:
		m.allocator = nil
		m.After(time.Duration(500+m.rng.IntN(1500))*time.Millisecond, m.elect)
	case 4:
		m.restart(t)
	case 5:
		m.name(t, -1)
	default:
		m.name(t, ident.RequestsPerSecond(m.rng.IntN(200))/10)
	}
}

func withoutStopped(all []*modelInstance) []*modelInstance {
	var kept []*modelInstance
	for _, in := range all {
		if !in.stopped {
			kept = append(kept, in)
		}
	}
	return kept
}

// wall returns a time of the model as a wall clock shows it.
func wall(t clock.Time) time.Time { return time.Unix(0, int64(t)) }

// TestLimitKeptAtEverySize checks the stated target while instances join, stop, freeze and thaw, the
// leader changes, and targets name, change and end limits and start again.
func TestLimitKeptAtEverySize(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		rate      float64
		seeds     uint64
	}{
		"3 instances":   {3, 60, 60},
		"30 instances":  {30, 150, 30},
		"300 instances": {300, 600, 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range test.seeds {
				m := newModel(seed, test.instances, 2, test.rate)
				m.onlyThese = seed%3 == 0
				for range 20 {
					m.After(time.Duration(m.rng.IntN(30_000))*time.Millisecond, m.disturb)
				}
				m.name(m.targets[0], 8)
				m.Run(35 * time.Second)
				for _, target := range m.targets {
					if err := limittest.Check(target.history, target.arrivals); err != nil {
						t.Errorf("seed %d: target %s %v", seed, target.id, err)
					}
				}
				if m.hurried > 0 {
					t.Errorf("seed %d: %d of %d refusals name no time to come back", seed, m.hurried, m.refused)
				}
			}
		})
	}
}

// TestLimitIsUsed checks that a steady limit is used, also by many instances with few requests each,
// and that a service all of whose targets are limited serves what fits.
func TestLimitIsUsed(t *testing.T) {
	const limit = 8
	for name, test := range map[string]struct {
		instances int
		rate      float64 // requests per second
		onlyThese bool
		least     float64 // served by the limited target, as a fraction of its limit
		most      float64
		served    float64 // fraction of the requests that are not refused
	}{
		"6 instances, others usable":     {6, 60, false, 0.7, 1.1, 0},
		"300 instances, others usable":   {300, 300, false, 0.5, 1.1, 0},
		"300 instances, ten times that":  {300, 3000, false, 0.6, 1.1, 0},
		"6 instances, no other":          {6, 60, true, 0.7, 1.1, 0},
		"300 instances, no other":        {300, 300, true, 0.7, 1.1, 0},
		"6 instances, no other, calm":    {6, 4, true, 0, 1.1, 0.95},
		"300 instances, no other, calm":  {300, 4, true, 0, 1.1, 0.95},
		"300 instances, no other, brisk": {300, 7, true, 0, 1.1, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newModel(7, test.instances, 1, test.rate)
			m.onlyThese = test.onlyThese
			m.name(m.targets[0], limit)
			const settled, span = 8 * time.Second, 20 * time.Second
			m.Run(settled)
			before, refused, asked := len(m.targets[0].arrivals), m.refused, m.asked
			m.Run(settled + span)
			got := float64(len(m.targets[0].arrivals)-before) / span.Seconds() / limit
			t.Logf("%.2f of the limit used, %.1f requests for permits per second", got, float64(m.asked-asked)/span.Seconds())
			if got < test.least || got > test.most {
				t.Errorf("limited target got %.2f of its limit, want %.2f to %.2f", got, test.least, test.most)
			}
			if served := 1 - float64(m.refused-refused)/(test.rate*span.Seconds()); test.served > 0 && served < test.served {
				t.Errorf("%.2f of the requests served, want %.2f", served, test.served)
			}
		})
	}
}

// BenchmarkHandle measures the allocator's work for a request for a permit, of 400 instances and 20
// limited targets.
func BenchmarkHandle(b *testing.B) {
	a := NewAllocator(1)
	now := modeltest.Start
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		limit := Limit{Target: ident.TargetID(fmt.Sprint("t", n%20)), Incarnation: 1, Rate: 8}
		a.Handle(now, ident.InstanceID(fmt.Sprint("i", n%400)), Request{[]Observation{{Limit: limit, Wanted: 1}}})
	}
}
