package receipt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/randtest"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
)

// schedules is the number of seeded schedules in one run.
const schedules = 10_000

// instanceTimeout is the time without contact after which the simulated leader abandons the
// receipts of an instance.
const instanceTimeout = 10 * time.Second

// simInstance is a simulated instance.
type simInstance struct {
	id          ident.InstanceID
	boot        int
	frozenUntil clock.Time // the process does nothing until then
	live        *LiveAttempts
	lastContact clock.Time // with the leader
}

func (inst *simInstance) bootID() ident.BootID {
	return ident.BootID(fmt.Sprint(inst.id, "-", inst.boot))
}

// step is the progress of a simulated attempt.
type step uint8

const (
	stepAwait step = iota
	stepSend
	stepAnswer
	stepDone
)

// simAttempt is one attempt of a client at one instance.
type simAttempt struct {
	attempt  *Attempt
	instance *simInstance
	boot     int
	key      ident.IdempotencyKey
	step     step
	due      clock.Time // time of the next event
	result   state.Result
	err      error
	ran      bool
	lost     bool // the connection to the target broke
}

// proposal is a command on its way to the log.
type proposal struct {
	at      clock.Time
	cmd     state.Command
	attempt *simAttempt
}

// simulation runs attempts, a replicated state machine and a target through one schedule.
type simulation struct {
	rng          *rand.Rand
	now          clock.Time
	machine      *state.Machine
	index        quorum.Index
	instances    []*simInstance
	attempts     []*simAttempt
	inFlight     []proposal
	executions   map[ident.IdempotencyKey]int // executions at the target
	serial       int
	disabledRule string // rule that is switched off; empty for none
	failure      error
}

func newSimulation(seed uint64, disabledRule string) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), now: clock.Time(time.Hour), machine: state.NewMachine(),
		executions: map[ident.IdempotencyKey]int{}, disabledRule: disabledRule,
	}
	for i := range 3 {
		s.instances = append(s.instances, &simInstance{id: ident.InstanceID(fmt.Sprint("i", i)), lastContact: s.now, live: NewLiveAttempts()})
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(s.now)}, args...)...)
	}
}

// randomDuration returns a random duration in [low, high).
func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// commit applies a command to the replicated state machine.
func (s *simulation) commit(c state.Command) state.Result {
	c.At = state.UnixMillis(time.Duration(s.now).Milliseconds())
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	s.index++
	if s.disabledRule == "no receipts" && c.Open != nil {
		return state.Result{Receipt: &state.Receipt{State: state.ReceiptOpen, Attempt: c.Open.Attempt}}
	}
	return s.machine.Apply(s.index, data).(state.Result)
}

// propose sends a command to the log. The command may arrive late or twice, and a claim may be lost
// together with a leader.
func (s *simulation) propose(a *simAttempt, c state.Command) {
	if c.Open != nil && s.rng.IntN(15) == 0 {
		return
	}
	copies := 1 + s.rng.IntN(6)/5
	for range copies {
		s.inFlight = append(s.inFlight, proposal{at: s.now.Add(s.randomDuration(time.Millisecond, 80*time.Millisecond)), cmd: c, attempt: a})
	}
	if s.rng.IntN(12) == 0 {
		last := &s.inFlight[len(s.inFlight)-1]
		last.at = s.now.Add(s.randomDuration(time.Second, 9*time.Second))
	}
}

// begin starts an attempt with a random key at a random instance.
func (s *simulation) begin() {
	inst := s.instances[s.rng.IntN(len(s.instances))]
	if inst.frozenUntil > s.now {
		return
	}
	s.serial++
	key := ident.IdempotencyKey(fmt.Sprint("k", s.rng.IntN(4)))
	open := state.OpenReceipt{
		ID: state.ReceiptID{Tenant: "t", Service: "desk", Key: key}, Digest: "d",
		Attempt: ident.AttemptID(fmt.Sprint("a", s.serial)), Owner: inst.id, Boot: inst.bootID(),
	}
	a := &simAttempt{attempt: NewAttempt(s.now, open), instance: inst, boot: inst.boot, key: key, step: stepAwait}
	a.due = s.now.Add(openTimeout)
	s.attempts = append(s.attempts, a)
	inst.live.Add(open.Attempt)
	s.propose(a, a.attempt.OpenCommand())
}

func (s *simulation) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, p := range due {
		if p.at > s.now {
			s.inFlight = append(s.inFlight, p)
			continue
		}
		result := s.commit(p.cmd)
		if p.cmd.Close != nil && p.attempt != nil && p.attempt.boot == p.attempt.instance.boot {
			p.attempt.instance.live.Remove(p.cmd.Close.Attempt)
		}
		if p.cmd.Open != nil && p.attempt.step == stepAwait && !p.attempt.hasResult() {
			p.attempt.result = result
			p.attempt.due = s.now.Add(s.randomDuration(0, 30*time.Millisecond))
		}
	}
}

func (a *simAttempt) hasResult() bool { return a.result.Receipt != nil || a.result.Refused }

// alive reports whether the attempt's process still exists, and whether it is running rather than
// frozen.
func (s *simulation) alive(a *simAttempt) (exists, runs bool) {
	return a.boot == a.instance.boot, a.instance.frozenUntil <= s.now
}

func (s *simulation) advance(a *simAttempt) {
	exists, runs := s.alive(a)
	if !exists {
		a.step = stepDone // the process was killed and does nothing more
		return
	}
	if !runs || s.now < a.due {
		return
	}
	switch a.step {
	case stepAwait:
		s.handleOpened(a)
	case stepSend:
		s.send(a)
	case stepAnswer:
		s.finish(a)
	case stepDone:
	}
}

func (s *simulation) handleOpened(a *simAttempt) {
	if !a.hasResult() {
		a.err = fault.New(fault.NoQuorum, "no commit in time")
	}
	stored, release, err := a.attempt.HandleOpened(a.result, a.err)
	if fault.Is(err, fault.KeyReused) {
		s.fail("%s was refused as the key of another request", a.key)
	}
	switch {
	case err != nil:
		if release {
			s.propose(a, a.attempt.ReleaseCommand())
		} else {
			a.instance.live.Remove(a.attempt.open.Attempt)
		}
		s.checkRefusal(a, err)
		a.step = stepDone
	case stored != nil:
		if s.executions[a.key] == 0 {
			s.fail("%s was answered from a receipt, but nothing ran", a.key)
		}
		a.instance.live.Remove(a.attempt.open.Attempt)
		a.step = stepDone
	default:
		a.step = stepSend
		a.due = s.now.Add(s.randomDuration(0, 40*time.Millisecond))
		if s.rng.IntN(8) == 0 { // the process freezes before its write
			a.instance.frozenUntil = s.now.Add(s.randomDuration(time.Second, 20*time.Second))
		}
	}
}

// send checks the lease immediately before the first byte. The target may run the request at any
// time after that.
func (s *simulation) send(a *simAttempt) {
	err := a.attempt.BeginSend(s.now)
	if s.disabledRule == "no lease" && err != nil {
		err = nil
	}
	if err == nil && s.disabledRule == "" && s.abandoned(a) {
		s.fail("attempt %v may send after its receipt was abandoned", a.key)
	}
	if err != nil {
		s.propose(a, a.attempt.CloseCommand(nil))
		s.checkRefusal(a, fault.WithRan(err, fault.RanNo))
		a.step = stepDone
		return
	}
	a.lost = s.rng.IntN(6) == 0
	if !a.lost || s.rng.IntN(2) == 0 {
		a.ran = true
		s.executions[a.key]++
		if s.executions[a.key] > 1 {
			s.fail("%s ran %d times", a.key, s.executions[a.key])
		}
	}
	a.step = stepAnswer
	a.due = s.now.Add(s.randomDuration(0, 300*time.Millisecond))
}

// abandoned reports whether the attempt's receipt is already set to unknown.
func (s *simulation) abandoned(a *simAttempt) bool {
	found, ok := s.machine.Receipt(a.attempt.open.ID)
	return ok && found.Attempt == a.attempt.open.Attempt && found.State == state.ReceiptUnknown
}

func (s *simulation) finish(a *simAttempt) {
	var answer *state.StoredResponse
	if !a.lost {
		answer = &state.StoredResponse{Status: 201}
	}
	s.propose(a, a.attempt.CloseCommand(answer))
	a.step = stepDone
}

// checkRefusal fails the schedule if a refusal says "not run" although the target ran the request.
func (s *simulation) checkRefusal(a *simAttempt, err error) {
	if fault.ResponseOf(err).Ran == fault.RanNo && a.ran {
		s.fail("%s was reported as not run, but its attempt ran", a.key)
	}
}

// runLeader plays the leader, which abandons the receipts of instances that it has lost contact
// with.
func (s *simulation) runLeader() {
	for _, inst := range s.instances {
		if inst.frozenUntil <= s.now {
			inst.lastContact = s.now
		}
	}
	for _, open := range s.machine.OpenReceipts() {
		for _, inst := range s.instances {
			dead := s.now.Sub(inst.lastContact) > instanceTimeout
			if inst.id != open.Owner {
				continue
			}
			if !dead && inst.bootID() == open.Boot {
				s.reconcile(inst, open)
				continue
			}
			alive := inst.bootID()
			if dead {
				alive = ""
			}
			s.commit(state.Command{Abandon: &state.AbandonReceipts{Owner: inst.id, LiveBoot: alive, OpenedUntil: state.UnixMillis(time.Duration(s.now).Milliseconds())}})
		}
	}
}

// reconcile passes an open receipt to its owner, which releases it if it is an orphan.
func (s *simulation) reconcile(inst *simInstance, open state.Receipt) {
	if inst.frozenUntil > s.now || s.rng.IntN(20) > 0 {
		return
	}
	for _, c := range inst.live.Orphans([]state.Claim{{ID: open.ID, Attempt: open.Attempt}}) {
		s.propose(nil, c)
	}
}

func (s *simulation) injectFault() {
	inst := s.instances[s.rng.IntN(len(s.instances))]
	switch s.rng.IntN(3) {
	case 0:
		inst.boot++
		inst.live = NewLiveAttempts()
		inst.frozenUntil = s.now.Add(s.randomDuration(0, 3*time.Second)) // restart time
	case 1:
		inst.frozenUntil = s.now.Add(s.randomDuration(0, 15*time.Second))
	case 2:
		data, err := s.machine.Snapshot()
		if err != nil || s.machine.Restore(data) != nil {
			s.fail("snapshot: %v", err)
		}
	}
}

func (s *simulation) runSteps(steps int) error {
	for range steps {
		s.now = s.now.Add(s.randomDuration(time.Millisecond, 60*time.Millisecond))
		if s.rng.IntN(6) == 0 {
			s.begin()
		}
		s.deliver()
		for _, a := range s.attempts {
			if a.step != stepDone {
				s.advance(a)
			}
		}
		s.runLeader()
		if s.rng.IntN(60) == 0 {
			s.injectFault()
		}
		if s.failure != nil {
			return s.failure
		}
	}
	return s.drain()
}

// drain lets all faults and attempts end, and checks that no key stays claimed by an owner that has
// no live attempt for it.
func (s *simulation) drain() error {
	for range 1200 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.deliver()
		for _, a := range s.attempts {
			if a.step != stepDone {
				s.advance(a)
			}
		}
		s.runLeader()
	}
	for _, open := range s.machine.OpenReceipts() {
		s.fail("%s stays open for attempt %s of %s", open.ID.Key, open.Attempt, open.Boot)
	}
	return s.failure
}

// TestSchedules runs 10,000 seeded schedules of attempts that compete for few keys. Instances are
// killed and frozen at any point, and proposals arrive late and twice. The simulated target counts
// executions, and no request may run more than once.
func TestSchedules(t *testing.T) {
	randtest.Each(t, schedules, func(seed uint64) error { return newSimulation(seed, "").runSteps(600) })
}

// TestSchedulesFindBrokenRules switches off one rule at a time and checks that the schedules detect
// it.
func TestSchedulesFindBrokenRules(t *testing.T) {
	for _, rule := range []string{"no receipts"} {
		t.Run(rule, func(t *testing.T) {
			for seed := range uint64(300) {
				if err := newSimulation(seed, rule).runSteps(600); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule detected the missing rule")
		})
	}
}
