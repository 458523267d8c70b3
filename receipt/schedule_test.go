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

// schedules is the number of seeded schedules of one run.
const schedules = 10_000

// silence is the time after which the fake leader gives up on an owner.
const silence = 10 * time.Second

// entry is a simulated instance.
type entry struct {
	id     ident.InstanceID
	boot   int
	frozen clock.Time // until when it does nothing
	live   *LiveAttempts
	heard  clock.Time // by the leader
}

func (e *entry) bootID() ident.BootID { return ident.BootID(fmt.Sprint(e.id, "-", e.boot)) }

// step is where a simulated attempt stands.
type step uint8

const (
	stepAwait step = iota
	stepSend
	stepAnswer
	stepOver
)

// run is one attempt of one client at one entry.
type run struct {
	attempt *Attempt
	entry   *entry
	boot    int
	key     ident.IdempotencyKey
	step    step
	lag     clock.Time // when the next thing happens
	result  state.Result
	err     error
	ran     bool
	lost    bool // the target's connection broke
}

// proposal is a command on its way to the log.
type proposal struct {
	at  clock.Time
	cmd state.Command
	run *run
}

// world drives attempts, a replicated state and a target through one schedule.
type world struct {
	rng     *rand.Rand
	now     clock.Time
	machine *state.Machine
	index   quorum.Index
	entries []*entry
	runs    []*run
	flight  []proposal
	execs   map[ident.IdempotencyKey]int // executions at the target
	serial  int
	unsafe  string // names the rule that is switched off
	failure error
}

func newWorld(seed uint64, unsafe string) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), now: clock.Time(time.Hour), machine: state.NewMachine(),
		execs: map[ident.IdempotencyKey]int{}, unsafe: unsafe,
	}
	for i := range 3 {
		w.entries = append(w.entries, &entry{id: ident.InstanceID(fmt.Sprint("i", i)), heard: w.now, live: NewLiveAttempts()})
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(w.now)}, args...)...)
	}
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// commit applies a command to the replicated state.
func (w *world) commit(c state.Command) state.Result {
	c.At = state.UnixMillis(time.Duration(w.now).Milliseconds())
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	w.index++
	if w.unsafe == "no receipts" && c.Open != nil {
		return state.Result{Receipt: &state.Receipt{State: state.ReceiptOpen, Attempt: c.Open.Attempt}}
	}
	return w.machine.Apply(w.index, data).(state.Result)
}

// propose puts a command on its way; it may arrive late, or twice. A claim may be lost with
// a leader.
func (w *world) propose(r *run, c state.Command) {
	if c.Open != nil && w.rng.IntN(15) == 0 {
		return
	}
	copies := 1 + w.rng.IntN(6)/5
	for range copies {
		w.flight = append(w.flight, proposal{at: w.now.Add(w.between(time.Millisecond, 80*time.Millisecond)), cmd: c, run: r})
	}
	if w.rng.IntN(12) == 0 {
		last := &w.flight[len(w.flight)-1]
		last.at = w.now.Add(w.between(time.Second, 9*time.Second))
	}
}

// begin starts an attempt of a client for a random key.
func (w *world) begin() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	if e.frozen > w.now {
		return
	}
	w.serial++
	key := ident.IdempotencyKey(fmt.Sprint("k", w.rng.IntN(4)))
	open := state.OpenReceipt{
		ID: state.ReceiptID{Tenant: "t", Service: "desk", Key: key}, Digest: "d",
		Attempt: ident.AttemptID(fmt.Sprint("a", w.serial)), Owner: e.id, Boot: e.bootID(),
	}
	r := &run{attempt: NewAttempt(w.now, open), entry: e, boot: e.boot, key: key, step: stepAwait}
	r.lag = w.now.Add(openTime)
	w.runs = append(w.runs, r)
	e.live.Add(open.Attempt)
	w.propose(r, r.attempt.OpenCommand())
}

func (w *world) deliver() {
	due := w.flight
	w.flight = nil
	for _, p := range due {
		if p.at > w.now {
			w.flight = append(w.flight, p)
			continue
		}
		result := w.commit(p.cmd)
		if p.cmd.Close != nil && p.run != nil && p.run.boot == p.run.entry.boot {
			p.run.entry.live.Remove(p.cmd.Close.Attempt)
		}
		if p.cmd.Open != nil && p.run.step == stepAwait && !p.run.hasResult() {
			p.run.result = result
			p.run.lag = w.now.Add(w.between(0, 30*time.Millisecond))
		}
	}
}

func (r *run) hasResult() bool { return r.result.Receipt != nil || r.result.Refused }

// alive reports whether the run's process still exists and is not frozen.
func (w *world) alive(r *run) (exists, runs bool) {
	return r.boot == r.entry.boot, r.entry.frozen <= w.now
}

func (w *world) advance(r *run) {
	exists, runs := w.alive(r)
	if !exists {
		r.step = stepOver // killed: nothing more is said or done
		return
	}
	if !runs || w.now < r.lag {
		return
	}
	switch r.step {
	case stepAwait:
		w.opened(r)
	case stepSend:
		w.send(r)
	case stepAnswer:
		w.answered(r)
	case stepOver:
	}
}

func (w *world) opened(r *run) {
	if !r.hasResult() {
		r.err = fault.New(fault.NoQuorum, "no commit in time")
	}
	stored, release, err := r.attempt.HandleOpened(r.result, r.err)
	if fault.Is(err, fault.KeyReused) {
		w.fail("%s refused as the key of another request", r.key)
	}
	switch {
	case err != nil:
		if release {
			w.propose(r, r.attempt.ReleaseCommand())
		} else {
			r.entry.live.Remove(r.attempt.open.Attempt)
		}
		w.told(r, err)
		r.step = stepOver
	case stored != nil:
		if w.execs[r.key] == 0 {
			w.fail("%s answered from a receipt, but nothing ran", r.key)
		}
		r.entry.live.Remove(r.attempt.open.Attempt)
		r.step = stepOver
	default:
		r.step = stepSend
		r.lag = w.now.Add(w.between(0, 40*time.Millisecond))
		if w.rng.IntN(8) == 0 { // the process is frozen before its write
			r.entry.frozen = w.now.Add(w.between(time.Second, 20*time.Second))
		}
	}
}

// send checks the lease directly before the first byte; the target may run the
// request at any time after it.
func (w *world) send(r *run) {
	err := r.attempt.MaySend(w.now)
	if w.unsafe == "no lease" && err != nil {
		err = nil
	}
	if err == nil && w.unsafe == "" && w.gaveUp(r) {
		w.fail("attempt %v may send after others gave up on it", r.key)
	}
	if err != nil {
		w.propose(r, r.attempt.CloseCommand(nil))
		w.told(r, fault.WithRan(err, fault.RanNo))
		r.step = stepOver
		return
	}
	r.lost = w.rng.IntN(6) == 0
	if !r.lost || w.rng.IntN(2) == 0 {
		r.ran = true
		w.execs[r.key]++
		if w.execs[r.key] > 1 {
			w.fail("%s ran %d times", r.key, w.execs[r.key])
		}
	}
	r.step = stepAnswer
	r.lag = w.now.Add(w.between(0, 300*time.Millisecond))
}

// gaveUp reports whether the receipt of a run is unknown already.
func (w *world) gaveUp(r *run) bool {
	found, ok := w.machine.Receipt(r.attempt.open.ID)
	return ok && found.Attempt == r.attempt.open.Attempt && found.State == state.ReceiptUnknown
}

func (w *world) answered(r *run) {
	var answer *state.StoredResponse
	if !r.lost {
		answer = &state.StoredResponse{Status: 201}
	}
	w.propose(r, r.attempt.CloseCommand(answer))
	r.step = stepOver
}

// told checks a refusal against the target's own record.
func (w *world) told(r *run, err error) {
	if fault.ResponseOf(err).Ran == fault.RanNo && r.ran {
		w.fail("%s was told 'not run', but its attempt ran", r.key)
	}
}

// lead is what the leader does: it gives up on owners that it does not hear.
func (w *world) lead() {
	for _, e := range w.entries {
		if e.frozen <= w.now {
			e.heard = w.now
		}
	}
	for _, open := range w.machine.OpenReceipts() {
		for _, e := range w.entries {
			dead := w.now.Sub(e.heard) > silence
			if e.id != open.Owner {
				continue
			}
			if !dead && e.bootID() == open.Boot {
				w.reconcile(e, open)
				continue
			}
			alive := e.bootID()
			if dead {
				alive = ""
			}
			w.commit(state.Command{Abandon: &state.AbandonReceipts{Owner: e.id, LiveBoot: alive, OpenedUntil: state.UnixMillis(time.Duration(w.now).Milliseconds())}})
		}
	}
}

// reconcile asks the owner of an open receipt about it.
func (w *world) reconcile(e *entry, open state.Receipt) {
	if e.frozen > w.now || w.rng.IntN(20) > 0 {
		return
	}
	for _, c := range e.live.Orphans([]state.Claim{{ID: open.ID, Attempt: open.Attempt}}) {
		w.propose(nil, c)
	}
}

func (w *world) disturb() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	switch w.rng.IntN(3) {
	case 0:
		e.boot++
		e.live = NewLiveAttempts()
		e.frozen = w.now.Add(w.between(0, 3*time.Second)) // its restart
	case 1:
		e.frozen = w.now.Add(w.between(0, 15*time.Second))
	case 2:
		data, err := w.machine.Snapshot()
		if err != nil || w.machine.Restore(data) != nil {
			w.fail("snapshot: %v", err)
		}
	}
}

func (w *world) play(steps int) error {
	for range steps {
		w.now = w.now.Add(w.between(time.Millisecond, 60*time.Millisecond))
		if w.rng.IntN(6) == 0 {
			w.begin()
		}
		w.deliver()
		for _, r := range w.runs {
			if r.step != stepOver {
				w.advance(r)
			}
		}
		w.lead()
		if w.rng.IntN(60) == 0 {
			w.disturb()
		}
		if w.failure != nil {
			return w.failure
		}
	}
	return w.settle()
}

// settle ends every failure and every run, and checks that no key stays claimed
// by an owner that has nothing more to do for it.
func (w *world) settle() error {
	for range 1200 {
		w.now = w.now.Add(20 * time.Millisecond)
		w.deliver()
		for _, r := range w.runs {
			if r.step != stepOver {
				w.advance(r)
			}
		}
		w.lead()
	}
	for _, open := range w.machine.OpenReceipts() {
		w.fail("%s stays open for attempt %s of %s", open.ID.Key, open.Attempt, open.Boot)
	}
	return w.failure
}

// TestSchedules drives 10,000 seeded schedules of attempts with few keys through
// entries that are killed and frozen at every point, with proposals late and twice.
// Executions are counted at the target.
func TestSchedules(t *testing.T) {
	randtest.Each(t, schedules, func(seed uint64) error { return newWorld(seed, "").play(600) })
}

// TestSchedulesFindBrokenRules switches one rule off at a time; the checks of the
// schedules have to see it.
func TestSchedulesFindBrokenRules(t *testing.T) {
	for _, rule := range []string{"no receipts"} {
		t.Run(rule, func(t *testing.T) {
			for seed := range uint64(300) {
				if err := newWorld(seed, rule).play(600); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("nothing was seen")
		})
	}
}
