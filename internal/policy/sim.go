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

// Sizes, delays and rates of the model.
const (
	instanceCount        = 7
	sameRegionDelay      = 500 * time.Microsecond
	crossRegionDelay     = 12 * time.Millisecond
	reportInterval       = 400 * time.Millisecond
	reportDelay          = 300 * time.Millisecond // until the instances have pulled a report
	planInterval         = 1 * time.Second
	bytesPerToken        = 100_000          // size of the KV cache of one token
	regionBandwidth      = 10_000_000_000   // bytes per second within a region
	crossRegionBandwidth = 2_000_000_000    // bytes per second between regions
	fifoLimit            = 48               // FIFO baseline: concurrent requests per instance
	fifoQueue            = 200              // FIFO baseline: queued requests per instance
	restartTime          = 30 * time.Second // until a crashed engine is available again
	service              = ident.ServiceID("advisor")
	epoch                = clock.Time(time.Hour) // start of a trace
)

// event is a function to call at a time of the trace.
type event struct {
	at       time.Duration
	sequence int // order of events at the same time
	do       func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends x for package heap.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element for package heap.
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// engineState is the state of one engine.
type engineState struct {
	id            ident.TargetID
	region        int
	model         *standin.Model
	stepping      bool         // a step is in progress
	draining      bool         // takes no new requests
	unavailable   bool         // crashed or changing its role
	nextRole      desired.Role // role to take once drained; empty if none
	cacheSequence uint64       // of the latest cache event
	jobs          map[string]*job
}

// job is one request in progress.
type job struct {
	arrival        Arrival
	id             string
	instance       *instanceState
	arrived        time.Duration // at the instance, at the latest attempt
	attempts       int
	prefillChoice  router.Choice
	decodeChoice   router.Choice
	prefillRequest router.Request
	decodeRequest  router.Request
	engine         *engineState
	firstToken     time.Duration   // time from arrival to the first token
	lastToken      time.Duration   // arrival of the latest token at the instance
	tokenGaps      []time.Duration // times between tokens
	tokens         int
	decoding       bool // in the decode stage, else in prefill
	admission      admit.Request
	entitled       bool          // the tenant was within its share on admission
	admitted       time.Duration // time of admission
	windowFreed    bool          // the place in the admission window was freed
}

// instanceState holds the decision cores of one instance.
type instanceState struct {
	region     int
	router     *router.Router
	queue      *admit.Queue
	waiting    map[uint64]*job // by ID in the queue
	nextID     uint64
	running    int    // FIFO baseline: requests in progress
	fifo       []*job // FIFO baseline: queued requests
	roundRobin int    // round-robin baseline: number of choices
}

// Sim is a discrete-event simulation of one trace under one policy. It runs on one goroutine
// in virtual time.
type Sim struct {
	spec          Spec
	policy        Policy
	rates         standin.Rates
	rng           *rand.Rand
	now           time.Duration
	events        eventHeap
	eventSequence int
	engines       []*engineState
	instances     []*instanceState
	planner       *fleet.Planner
	demand        fleet.Demand // offered since the latest plan
	lastJob       int          // number of the latest job
	result        Result
}

// Run simulates one policy on one trace. Equal arguments give equal results.
func Run(spec Spec, p Policy, seed uint64) Result {
	s := &Sim{spec: spec, policy: p, rates: standin.DefaultRates(), rng: rand.New(rand.NewPCG(seed, 5))}
	if p.Roles == RolesOracle {
		s.rates.RoleChangeTime = 0 // role changes of the oracle take no time
	}
	s.result.Policy = p.Name
	s.result.Trace = spec.Name
	s.build(seed)
	for _, a := range generate(spec, seed) {
		s.scheduleAt(a.At, func() { s.receive(&job{arrival: a}) })
	}
	s.scheduleRecurring()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.finishResult()
	return s.result
}

// clock returns the current virtual time.
func (s *Sim) clock() clock.Time { return epoch.Add(s.now) }

// scheduleAt schedules a call at a time of the trace.
func (s *Sim) scheduleAt(t time.Duration, do func()) {
	s.eventSequence++
	heap.Push(&s.events, event{at: t, sequence: s.eventSequence, do: do})
}

// scheduleAfter schedules a call after a delay.
func (s *Sim) scheduleAfter(d time.Duration, do func()) { s.scheduleAt(s.now+d, do) }

// duration returns the duration of the trace.
func (s *Sim) duration() time.Duration {
	var d time.Duration
	for _, seg := range s.spec.Segments {
		d += seg.Duration
	}
	return d
}

// build creates the engines, instances and planner. The initial roles suit the mix of the
// first segment.
func (s *Sim) build(seed uint64) {
	prefillEngines := prefillEngineCount(s.spec.Segments[0].LongShare, s.rates)
	for i := range engineCount {
		role := desired.RoleDecode
		if i < prefillEngines {
			role = desired.RolePrefill
		}
		s.engines = append(s.engines, &engineState{
			id: ident.TargetID(fmt.Sprint("engine-", i)), region: i % regionCount,
			model: standin.NewModel(s.rates, role), jobs: map[string]*job{},
		})
	}
	for i := range instanceCount {
		in := &instanceState{region: i % regionCount, queue: admit.New(4096), waiting: map[uint64]*job{}}
		in.router = router.New(router.Config{Region: regionID(in.region), Links: router.DefaultLinks(), Seed: seed + uint64(i), Noise: 0.1})
		s.instances = append(s.instances, in)
		for _, en := range s.engines {
			s.putTarget(in, en)
		}
	}
	cfg := fleet.DefaultConfig()
	cfg.Goodput = s.policy.Goodput
	cfg.PrefillRate, cfg.DecodeRate = s.engineRates()
	s.planner = fleet.New(cfg)
}

// engineRates returns the token rates of one engine in the prefill and the decode role.
func (s *Sim) engineRates() (prefill, decode ident.TokensPerSecond) {
	step := s.rates.StepBase + time.Duration(float64(s.rates.PrefillChunk)/float64(s.rates.PrefillRate)*float64(time.Second))
	prefill = ident.TokensPerSecond(float64(s.rates.PrefillChunk) / step.Seconds())
	return prefill, s.rates.DecodeRate()
}

func regionID(i int) ident.RegionID { return ident.RegionID(fmt.Sprint("r", i)) }

// putTarget updates an engine in the router of an instance.
func (s *Sim) putTarget(in *instanceState, en *engineState) {
	in.router.Put(router.Target{ID: en.id, Service: service, Region: regionID(en.region), Role: en.model.Role()})
	in.router.SetUsable(en.id, !en.draining && !en.unavailable)
}

// scheduleRecurring schedules reports, role planning and queue processing at their intervals,
// and the faults of the trace. Planning stops at the end of the trace. Queue processing goes on
// for 10 s and reports for a minute, for the requests that are still in progress.
func (s *Sim) scheduleRecurring() {
	end := s.duration()
	var report, plan, advance func()
	report = func() {
		for _, en := range s.engines {
			s.sendReport(en)
		}
		if s.now < end+time.Minute {
			s.scheduleAfter(reportInterval, report)
		}
	}
	plan = func() {
		s.planRoles()
		if s.now < end {
			s.scheduleAfter(planInterval, plan)
		}
	}
	advance = func() {
		for _, in := range s.instances {
			s.advanceQueue(in)
		}
		if s.now < end+10*time.Second {
			s.scheduleAfter(5*time.Millisecond, advance)
		}
	}
	s.scheduleAt(0, report)
	s.scheduleAt(0, plan)
	s.scheduleAt(0, advance)
	if s.spec.CrashAt > 0 {
		s.scheduleAt(s.spec.CrashAt, func() { s.crashEngine(s.engines[0]) })
	}
	if s.spec.DrainAt > 0 {
		s.scheduleAt(s.spec.DrainAt, func() { s.setDraining(s.engines[0]) })
	}
}

// sendReport sends an engine's load and cache events to every instance, after reportDelay and
// the additional delay of the trace. The oracle's reports arrive without delay.
func (s *Sim) sendReport(en *engineState) {
	stored, evicted := en.model.TakeCacheEvents()
	lost := s.rng.Float64() < s.spec.CacheEventLoss
	if len(stored)+len(evicted) > 0 {
		en.cacheSequence++
	}
	lag := reportDelay + s.spec.ReportLag
	if s.policy.Roles == RolesOracle {
		lag = 0
	}
	rep := router.Report{Age: lag, Waiting: en.model.BacklogTokens(), Running: en.model.Running(), Slots: s.rates.MaxBatch, PrefillRate: s.rates.PrefillRate}
	sequence := en.cacheSequence
	s.scheduleAfter(lag, func() {
		for _, in := range s.instances {
			in.router.Report(s.clock(), en.id, rep)
			if !lost && len(stored)+len(evicted) > 0 {
				in.router.CacheEvent(en.id, sequence, stored, evicted)
			}
		}
	})
}

// setDraining makes an engine unusable for new requests at every instance.
func (s *Sim) setDraining(en *engineState) {
	en.draining = true
	for _, in := range s.instances {
		in.router.SetUsable(en.id, false)
	}
}

// crashEngine crashes an engine with its requests and its cache. The requests start again
// with a prefill at other engines.
func (s *Sim) crashEngine(en *engineState) {
	en.unavailable = true
	for _, in := range s.instances {
		in.router.SetUsable(en.id, false)
		in.router.Restarted(en.id)
	}
	lost := make([]*job, 0, len(en.jobs))
	for _, j := range en.jobs {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return int(a.arrival.At - b.arrival.At) })
	en.jobs = map[string]*job{}
	en.model.Clear()
	for _, j := range lost {
		s.endAccounting(j)
		s.startPrefill(j)
	}
	s.scheduleAfter(restartTime, func() {
		en.unavailable = false
		for _, in := range s.instances {
			s.putTarget(in, en)
		}
	})
}

// stepEngine steps an engine until it has no work left.
func (s *Sim) stepEngine(en *engineState) {
	if en.stepping || en.unavailable {
		return
	}
	d, out := en.model.Step()
	if d == 0 {
		s.applyNextRole(en)
		return
	}
	en.stepping = true
	s.scheduleAfter(d, func() {
		en.stepping = false
		for _, o := range out {
			if j := en.jobs[o.ID]; j != nil {
				s.handleOutput(en, j, o)
			}
		}
		s.stepEngine(en)
	})
}

// applyNextRole changes the role of a draining engine that has no work left.
func (s *Sim) applyNextRole(en *engineState) {
	if !en.draining || en.nextRole == "" || en.unavailable || len(en.jobs) > 0 {
		return
	}
	en.unavailable = true
	s.scheduleAfter(s.rates.RoleChangeTime, func() {
		en.model.SetRole(en.nextRole)
		en.nextRole = ""
		en.unavailable = false
		en.draining = false
		for _, in := range s.instances {
			s.putTarget(in, en)
		}
	})
}

// linkDelay returns the one-way network delay between two regions.
func linkDelay(a, b int) time.Duration {
	if a == b {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// receive passes a request to a random instance of its region. Only the first attempt
// counts as demand.
func (s *Sim) receive(j *job) {
	s.lastJob++
	j.id = fmt.Sprint("j", s.lastJob)
	j.arrived = s.now
	j.attempts++
	var near []*instanceState
	for _, in := range s.instances {
		if in.region == j.arrival.Region {
			near = append(near, in)
		}
	}
	j.instance = near[s.rng.IntN(len(near))]
	j.prefillRequest = router.Request{Service: service, Stage: router.StagePrefill, Prompt: j.arrival.PromptTokens, Blocks: j.arrival.Blocks}
	if j.attempts == 1 {
		s.result.Offered++
		s.result.tenant(j).offered++
		s.demand.Prefill += j.arrival.PromptTokens
		s.demand.Decode += ident.Tokens(j.arrival.AnswerTokens)
	}
	s.offer(j)
}

// recordRefusal counts a refusal. If the policy has clients retry, a quarter of those refused
// for the first time send the request again after the delay of the refusal.
func (s *Sim) recordRefusal(j *job, err error) {
	s.result.Refused++
	s.result.tenant(j).refused++
	if j.attempts > 1 {
		return
	}
	if s.policy.RetryRefused && s.rng.IntN(4) == 0 {
		s.result.Retried++
		s.scheduleAfter(fault.ResponseOf(err).RetryAfter, func() { s.receive(j) })
	}
}

// finishResult completes the result with the totals of the engines.
func (s *Sim) finishResult() {
	for _, en := range s.engines {
		s.result.CachedTokens += en.model.CachedTokens
		s.result.PrefilledTokens += en.model.PrefilledTokens
	}
	s.result.seconds = s.duration().Seconds()
}
