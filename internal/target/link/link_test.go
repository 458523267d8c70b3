package link

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

const start = modeltest.Start

// TestMonitor shows when a check is due and what follows from its result.
func TestMonitor(t *testing.T) {
	ms := func(n int) clock.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for name, test := range map[string]struct {
		events func(m *Monitor)
		due    bool
		cutOff bool
	}{
		"nothing happened":                {func(*Monitor) {}, false, false},
		"one target failed":               {func(m *Monitor) { m.Failed(ms(600), "a"); m.Failed(ms(610), "a") }, false, false},
		"one target failed some time ago": {func(m *Monitor) { m.Failed(ms(500), "a") }, true, false},
		"two targets failed":              {func(m *Monitor) { m.Failed(ms(0), "a"); m.Failed(ms(10), "b") }, true, false},
		"one opened since":                {func(m *Monitor) { m.Failed(ms(0), "a"); m.Opened(); m.Failed(ms(510), "b") }, false, false},
		"the failures are old":            {func(m *Monitor) { m.Failed(ms(-4000), "a"); m.Failed(ms(510), "b") }, false, false},
		"checked a moment ago":            {func(m *Monitor) { m.Failed(ms(0), "a"); m.Failed(ms(0), "b"); m.Checked(ms(900), Result{}) }, false, false},
		"down for everybody":              {func(m *Monitor) { m.Failed(ms(0), "a"); m.Failed(ms(0), "b"); m.Checked(ms(100), Result{}) }, true, false},
		"only others reach targets":       {func(m *Monitor) { m.Checked(ms(100), Result{Relayed: 1}) }, true, true},
		"down for everybody later":        {func(m *Monitor) { m.Checked(ms(100), Result{Relayed: 1}); m.Checked(ms(500), Result{}) }, true, true},
		"this instance reaches one":       {func(m *Monitor) { m.Checked(ms(100), Result{Relayed: 3}); m.Checked(ms(500), Result{Direct: 1}) }, false, false},
		"reached one, failures before": {func(m *Monitor) {
			m.Failed(ms(400), "a")
			m.Failed(ms(400), "b")
			m.Checked(ms(500), Result{Direct: 1})
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			var m Monitor
			test.events(&m)
			if due := m.Due(ms(1000)); due != test.due || m.CutOff() != test.cutOff {
				t.Errorf("due %v, cut off %v, want %v, %v", due, m.CutOff(), test.due, test.cutOff)
			}
		})
	}
}

// TestCarriers guards against one instance that carries the requests of most others, against an order that is
// decided anew, and against far carriers that go before near ones.
func TestCarriers(t *testing.T) {
	var voters []ident.InstanceID
	for n := range 9 {
		voters = append(voters, ident.InstanceID(fmt.Sprint("v", n)))
	}
	near := func(id ident.InstanceID) bool { return id < "v6" }
	carried := map[ident.InstanceID]int{}
	for n := range 300 {
		self := ident.InstanceID(fmt.Sprint("i", n))
		order := Carriers(self, voters, near)
		if !slices.Equal(order, Carriers(self, voters, near)) {
			t.Fatal("another order the second time")
		}
		if slices.IndexFunc(order, func(id ident.InstanceID) bool { return !near(id) }) != 6 || len(order) != 9 {
			t.Fatalf("order %v, want the six near ones first", order)
		}
		carried[order[0]]++
		rest := slices.DeleteFunc(slices.Clone(voters), func(id ident.InstanceID) bool { return id == order[0] })
		if !slices.Equal(Carriers(self, rest, near), order[1:]) {
			t.Fatal("the order of the others changed when the first one left")
		}
	}
	for id, n := range carried {
		if n > 2*300/6 {
			t.Errorf("%s carries for %d of 300 instances, at most twice its share wanted", id, n)
		}
	}
	if slices.Contains(Carriers("v1", voters, near), "v1") {
		t.Error("an instance carries for itself")
	}
}

const (
	// contact is the time within which an instance must be served through others.
	contact = 4 * time.Second
	// healed is the time within which an instance must connect directly once it can.
	healed = 1 * time.Second
	// dialTimeout and checkTimeout are those of an instance.
	dialTimeout  = 600 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
	modelTargets = 12
)

// model simulates instances that open connections to targets, of which many are cut off and some targets end.
type model struct {
	*modeltest.Timeline
	rng       *rand.Rand
	instances []*modelInstance
	down      [modelTargets]bool
	silent    bool // what is out of reach does not refuse connections
}

type modelInstance struct {
	monitor Monitor
	cut     bool
	changes []clock.Time
}

func (m *model) reaches(in *modelInstance, target int) bool { return !in.cut && !m.down[target] }

// failTime returns the time until an attempt to connect fails.
func (m *model) failTime(bound time.Duration) time.Duration {
	if m.silent {
		return bound
	}
	return time.Duration(m.rng.IntN(24)) * time.Millisecond
}

// send makes an instance open connections for requests, again and again.
func (m *model) send(in *modelInstance, mean time.Duration) {
	m.After(time.Duration(m.rng.ExpFloat64()*float64(mean)), func() { m.send(in, mean) })
	target := m.rng.IntN(modelTargets)
	switch {
	case in.monitor.CutOff():
	case m.reaches(in, target):
		in.monitor.Opened()
	default:
		m.After(m.failTime(dialTimeout), func() { in.monitor.Failed(m.Now, fmt.Sprint(target)) })
	}
}

// watch makes an instance check its link when that is due.
func (m *model) watch(in *modelInstance) {
	if !in.monitor.Due(m.Now) {
		m.After(50*time.Millisecond, func() { m.watch(in) })
		return
	}
	var r Result
	relayed := 0
	for range SampleSize {
		target := m.rng.IntN(modelTargets)
		if m.reaches(in, target) {
			r.Direct++
		}
		if !m.down[target] {
			relayed++
		}
	}
	took := 20 * time.Millisecond
	if r.Direct == 0 {
		r.Relayed = relayed
		took = m.failTime(checkTimeout) + 30*time.Millisecond
	}
	m.After(took, func() {
		if in.monitor.Checked(m.Now, r) {
			in.changes = append(in.changes, m.Now)
		}
		m.watch(in)
	})
}

// TestLinkAtEverySize guards against an instance that is cut off and does not find out, or not in time, against one
// that takes targets which are down for a lost link, and against one that changes its mind.
func TestLinkAtEverySize(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		mean      time.Duration // between the requests of an instance
		silent    bool
	}{
		"3 instances, silent":    {3, 20 * time.Millisecond, true},
		"3 instances, refused":   {3, 20 * time.Millisecond, false},
		"30 instances, silent":   {30, 30 * time.Millisecond, true},
		"30 instances, refused":  {30, 30 * time.Millisecond, false},
		"300 instances, silent":  {300, 230 * time.Millisecond, true},
		"300 instances, refused": {300, 230 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				m := &model{Timeline: modeltest.NewTimeline(), rng: rand.New(rand.NewPCG(seed, 3)), silent: test.silent}
				for range test.instances {
					in := &modelInstance{}
					m.instances = append(m.instances, in)
					m.send(in, test.mean)
					m.watch(in)
				}
				m.run(t, seed)
			}
		})
	}
}

// run ends targets for everybody at 3 s, all of them at 12 s, and cuts most instances off from 20 s to 32 s.
func (m *model) run(t *testing.T, seed uint64) {
	t.Helper()
	for i := range modelTargets {
		m.After(3*time.Second, func() { m.down[i] = i < modelTargets/3 })
		m.After(7*time.Second, func() { m.down[i] = false })
		m.After(12*time.Second, func() { m.down[i] = true })
		m.After(15*time.Second, func() { m.down[i] = false })
	}
	cut := len(m.instances) * 6 / 10
	for _, in := range m.instances[:cut] {
		m.After(20*time.Second, func() { in.cut = true })
		m.After(32*time.Second, func() { in.cut = false })
	}
	m.Run(40 * time.Second)
	var slowest [2]time.Duration
	defer func() {
		t.Logf("seed %d: cut off found after %v, healed link after %v at most", seed, slowest[0], slowest[1])
	}()
	for i, in := range m.instances {
		want := []clock.Time{start.Add(20 * time.Second), start.Add(32 * time.Second)}
		if i >= cut {
			want = nil
		}
		if len(in.changes) != len(want) {
			t.Errorf("seed %d: instance %d changed its mind at %v, cut off at %v", seed, i, in.changes, want)
			continue
		}
		for k, within := range []time.Duration{contact, healed}[:len(want)] {
			slowest[k] = max(slowest[k], in.changes[k].Sub(want[k]))
			if late := in.changes[k].Sub(want[k]); late < 0 || late > within {
				t.Errorf("seed %d: instance %d found out after %v, want within %v", seed, i, late, within)
			}
		}
	}
}
