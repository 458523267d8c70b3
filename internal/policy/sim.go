package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/router"
)

// Delays of the model.
const (
	entries       = 7
	linkOwn       = 500 * time.Microsecond
	linkOther     = 12 * time.Millisecond
	reportEvery   = 400 * time.Millisecond
	reportLag     = 300 * time.Millisecond // until instances have pulled it
	planEvery     = 1 * time.Second
	bytesPerToken = 100_000          // of KV cache
	bandwidth     = 10_000_000_000   // bytes a second within a region
	crossBand     = 2_000_000_000    // bytes a second between regions
	fifoLimit     = 48               // requests in progress at one entry, for the FIFO baseline
	fifoQueue     = 200              // requests that wait there
	crashTime     = 30 * time.Second // until a crashed engine is back
	service       = ident.ServiceID("advisor")
	epoch         = clock.Time(time.Hour) // time 0 of a trace
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends x for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element for package heap.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// engineState is one engine of the model.
type engineState struct {
	id       ident.TargetID
	region   int
	model    *standin.Model
	stepping bool
	draining bool // takes no new work
	away     bool // crashed, withdrawn or changing
	next     desired.Role
	sequence uint64
	jobs     map[string]*job
}

// job is one request in progress.
type job struct {
	a        Arrival
	id       string
	entry    *entryState
	arrived  time.Duration // at the entry, at its latest try
	tries    int
	pre      router.Choice
	dec      router.Choice
	req      router.Request
	decReq   router.Request
	engine   *engineState
	first    time.Duration
	last     time.Duration
	gaps     []time.Duration
	tokens   int
	decode   bool
	entered  admit.Request
	entitled bool
	started  time.Duration // when it was admitted
	freed    bool          // its place in the window is free again
}

// entryState is one instance's decision cores.
type entryState struct {
	region  int
	router  *router.Router
	queue   *admit.Queue
	waiting map[uint64]*job
	nextID  uint64
	running int    // for the FIFO baseline
	fifo    []*job // likewise
	turn    int    // for round robin
}

// Sim runs one trace under one policy.
type Sim struct {
	spec    Spec
	policy  Policy
	rates   standin.Rates
	rng     *rand.Rand
	now     time.Duration
	events  events
	order   int
	engines []*engineState
	entries []*entryState
	planner *fleet.Planner
	demand  fleet.Demand
	serial  int
	result  Result
}

// Run measures one policy on one trace.
func Run(spec Spec, p Policy, seed uint64) Result {
	s := &Sim{spec: spec, policy: p, rates: standin.DefaultRates(), rng: rand.New(rand.NewPCG(seed, 5))}
	if p.Roles == RolesKnown {
		s.rates.ChangeTime = 0 // the reference pays nothing for a change
	}
	s.result.Policy = p.Name
	s.result.Trace = spec.Name
	s.start(seed)
	for _, a := range generate(spec, seed) {
		s.at(a.At, func() { s.arrive(&job{a: a}) })
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.finish()
	return s.result
}

func (s *Sim) clock() clock.Time { return epoch.Add(s.now) }

func (s *Sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: t, order: s.order, do: do})
}

func (s *Sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *Sim) length() time.Duration {
	var d time.Duration
	for _, seg := range s.spec.Segments {
		d += seg.For
	}
	return d
}

func (s *Sim) start(seed uint64) {
	prefillEngines := split(s.spec.Segments[0].Long, s.rates)
	for i := range engines {
		role := desired.RoleDecode
		if i < prefillEngines {
			role = desired.RolePrefill
		}
		s.engines = append(s.engines, &engineState{
			id: ident.TargetID(fmt.Sprint("engine-", i)), region: i % regions,
			model: standin.NewModel(s.rates, role), jobs: map[string]*job{},
		})
	}
	for i := range entries {
		e := &entryState{region: i % regions, queue: admit.New(4096), waiting: map[uint64]*job{}}
		e.router = router.New(router.Config{Region: regionID(e.region), Links: router.DefaultLinks(), Seed: seed + uint64(i), Noise: 0.1})
		s.entries = append(s.entries, e)
		for _, en := range s.engines {
			s.put(e, en)
		}
	}
	cfg := fleet.DefaultConfig()
	cfg.Goodput = s.policy.Goodput
	cfg.PrefillRate, cfg.DecodeRate = s.capacity()
	s.planner = fleet.New(cfg)
}

// capacity returns what one engine does in either role.
func (s *Sim) capacity() (prefill, decode ident.TokensPerSecond) {
	step := s.rates.StepBase + time.Duration(float64(s.rates.ChunkAlone)/float64(s.rates.Prefill)*float64(time.Second))
	prefill = ident.TokensPerSecond(float64(s.rates.ChunkAlone) / step.Seconds())
	return prefill, s.rates.Decode()
}

func regionID(i int) ident.RegionID { return ident.RegionID(fmt.Sprint("r", i)) }

func (s *Sim) put(e *entryState, en *engineState) {
	e.router.Put(router.Target{ID: en.id, Service: service, Region: regionID(en.region), Role: en.model.Role()})
	e.router.SetUsable(en.id, !en.draining && !en.away)
}

// schedule starts what happens at intervals, until the trace has ended.
func (s *Sim) schedule() {
	end := s.length()
	var report, plan, advance func()
	report = func() {
		for _, en := range s.engines {
			s.report(en)
		}
		if s.now < end+time.Minute {
			s.after(reportEvery, report)
		}
	}
	plan = func() {
		s.plan()
		if s.now < end {
			s.after(planEvery, plan)
		}
	}
	advance = func() {
		for _, e := range s.entries {
			s.advance(e)
		}
		if s.now < end+10*time.Second {
			s.after(5*time.Millisecond, advance)
		}
	}
	s.at(0, report)
	s.at(0, plan)
	s.at(0, advance)
	if s.spec.Crash > 0 {
		s.at(s.spec.Crash, func() { s.crash(s.engines[0]) })
	}
	if s.spec.Withdraw > 0 {
		s.at(s.spec.Withdraw, func() { s.setDraining(s.engines[0]) })
	}
}

// report carries an engine's load and cache events to every entry, late.
func (s *Sim) report(en *engineState) {
	stored, evicted := en.model.TakeEvents()
	lost := s.rng.Float64() < s.spec.Loss
	if len(stored)+len(evicted) > 0 {
		en.sequence++
	}
	lag := reportLag + s.spec.Lag
	if s.policy.Roles == RolesKnown {
		lag = 0
	}
	rep := router.Report{Age: lag, Waiting: en.model.Backlog(), Running: en.model.Running(), Slots: s.rates.Batch, PrefillRate: s.rates.Prefill}
	sequence := en.sequence
	s.after(lag, func() {
		for _, e := range s.entries {
			e.router.Report(s.clock(), en.id, rep)
			if !lost && len(stored)+len(evicted) > 0 {
				e.router.CacheEvent(en.id, sequence, stored, evicted)
			}
		}
	})
}

// setDraining takes an engine out of routing everywhere.
func (s *Sim) setDraining(en *engineState) {
	en.draining = true
	for _, e := range s.entries {
		e.router.SetUsable(en.id, false)
	}
}

// crash loses an engine with everything in it. Its jobs begin again elsewhere.
func (s *Sim) crash(en *engineState) {
	en.away = true
	for _, e := range s.entries {
		e.router.SetUsable(en.id, false)
		e.router.Restarted(en.id)
	}
	lost := make([]*job, 0, len(en.jobs))
	for _, j := range en.jobs {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return int(a.a.At - b.a.At) })
	en.jobs = map[string]*job{}
	en.model.Clear()
	for _, j := range lost {
		s.release(j)
		s.prefill(j)
	}
	s.after(crashTime, func() {
		en.away = false
		for _, e := range s.entries {
			s.put(e, en)
		}
	})
}

// step runs an engine while it has work.
func (s *Sim) step(en *engineState) {
	if en.stepping || en.away {
		return
	}
	d, out := en.model.Step()
	if d == 0 {
		s.drained(en)
		return
	}
	en.stepping = true
	s.after(d, func() {
		en.stepping = false
		for _, o := range out {
			if j := en.jobs[o.ID]; j != nil {
				s.output(en, j, o)
			}
		}
		s.step(en)
	})
}

// drained carries out a role change once the engine has no work left.
func (s *Sim) drained(en *engineState) {
	if !en.draining || en.next == "" || en.away || len(en.jobs) > 0 {
		return
	}
	en.away = true
	s.after(s.rates.ChangeTime, func() {
		en.model.SetRole(en.next)
		en.next = ""
		en.away = false
		en.draining = false
		for _, e := range s.entries {
			s.put(e, en)
		}
	})
}

// link returns the one-way delay between an entry and an engine.
func link(a, b int) time.Duration {
	if a == b {
		return linkOwn
	}
	return linkOther
}

// arrive brings a request to an entry of its region.
func (s *Sim) arrive(j *job) {
	s.serial++
	j.id = fmt.Sprint("j", s.serial)
	j.arrived = s.now
	j.tries++
	var near []*entryState
	for _, e := range s.entries {
		if e.region == j.a.Region {
			near = append(near, e)
		}
	}
	j.entry = near[s.rng.IntN(len(near))]
	j.req = router.Request{Service: service, Stage: router.StagePrefill, Prompt: j.a.Prompt, Blocks: j.a.Pieces}
	if j.tries == 1 {
		s.result.Offered++
		s.result.tenant(j).offered++
		s.demand.Prefill += j.a.Prompt
		s.demand.Decode += ident.Tokens(j.a.Answer)
	}
	s.admit(j)
}

func (s *Sim) refused(j *job, err error) {
	s.result.Refused++
	s.result.tenant(j).refused++
	if j.tries > 1 {
		return
	}
	if s.policy.Obey && s.rng.IntN(4) == 0 {
		s.result.Obeyed++
		s.after(fault.ResponseOf(err).RetryAfter, func() { s.arrive(j) })
	}
}

// finish sums up.
func (s *Sim) finish() {
	for _, en := range s.engines {
		s.result.Hit += en.model.Hit
		s.result.Prefilled += en.model.Prefilled
	}
	s.result.seconds = s.length().Seconds()
}
