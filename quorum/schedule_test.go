package quorum

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/randtest"
)

// scheduleCount is the number of seeded schedules in one test run.
const scheduleCount = 10_000

// replica is one member of a simulated quorum: a Core with a simulated disk.
type replica struct {
	id             ident.InstanceID
	disk           ident.DiskID
	boot           Boot
	core           *Core // nil while crashed
	frozen         clock.Time
	queue          []Event // arrived while frozen
	unsyncedWrites []Persist
	stalled        clock.Time  // until when its disk completes no sync
	stored         StoredState // synced to disk
	applied        Index
	restartAt      clock.Time // when a crashed replica starts again
}

// delivery is a message in flight.
type delivery struct {
	at clock.Time
	m  Message
}

// simulation runs one schedule and checks the invariants after every step.
type simulation struct {
	rng              *rand.Rand
	now              clock.Time
	replicas         []*replica
	inFlight         []delivery
	cuts             map[[2]ident.DiskID]clock.Time // ends of one-way partitions
	leaders          map[Term]ident.DiskID
	entries          map[Index]Entry // all applied entries
	newestApplied    Index           // highest index applied by any replica
	reads            map[uint64]Index
	nextID           uint64
	wipes            int
	syncSteps        int // average number of steps until a sync completes
	clientCallWeight int // events limited to client calls, for each event of any kind
	minVoters        int // voters that removal leaves at least; 0 disables removal
	failure          error
	trace            []string
}

func newSimulation(seed uint64, n int) *simulation { return newSimulationWithFounders(seed, n, n) }

// newSimulationWithFounders returns a simulation of n replicas. The first ones have
// bootstrapped the quorum; the others have empty disks.
func newSimulationWithFounders(seed uint64, n, founders int) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: 1, cuts: map[[2]ident.DiskID]clock.Time{},
		leaders: map[Term]ident.DiskID{}, entries: map[Index]Entry{}, reads: map[uint64]Index{},
	}
	var members Membership
	for i := range n {
		r := &replica{id: ident.InstanceID(fmt.Sprint("i", i)), disk: ident.DiskID(fmt.Sprint("d", i))}
		w.replicas = append(w.replicas, r)
		if i < founders {
			members.Members = append(members.Members, Member{ID: r.id, Disk: r.disk, Voter: true})
		}
	}
	for i, r := range w.replicas {
		if i < founders {
			r.stored = StoredState{Hard: HardState{Term: 1}, Meta: SnapshotMeta{Index: 1, Term: 1, Members: members}}
			r.applied = 1
		}
		w.start(r)
	}
	return w
}

func (w *simulation) failf(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(w.now)}, args...)...)
	}
}

func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

func (w *simulation) start(r *replica) {
	r.boot++
	st := r.stored
	st.Entries = append([]Entry(nil), st.Entries...)
	r.core = New(Config{Self: r.disk, Boot: r.boot, Timing: DefaultTiming(), Seed: w.rng.Uint64()}, st)
	r.applied = st.Meta.Index
}

func (w *simulation) step(r *replica, ev Event) {
	if r.core == nil || w.failure != nil {
		return
	}
	if r.frozen > w.now {
		r.queue = append(r.queue, ev)
		return
	}
	for _, a := range r.core.Step(w.now, ev) {
		w.perform(r, a)
	}
	if r.core != nil && r.core.role == Leader {
		w.checkLeader(r)
	}
}

func (w *simulation) checkLeader(r *replica) {
	t := r.core.hard.Term
	if other, ok := w.leaders[t]; ok && other != r.disk {
		w.failf("term %d has two leaders: %s and %s", t, other, r.disk)
	}
	w.leaders[t] = r.disk
}

func (w *simulation) perform(r *replica, a Action) {
	switch a := a.(type) {
	case Send:
		w.send(a.Message)
	case Persist:
		r.unsyncedWrites = append(r.unsyncedWrites, a)
	case Apply:
		for _, e := range a.Entries {
			w.checkApplied(r, e)
		}
	case Restore:
		r.applied = a.Install.Meta.Index
	case ReadReady:
		if a.Index < w.reads[a.ID] {
			w.failf("read %d returned index %d, but index %d was applied before it started", a.ID, a.Index, w.reads[a.ID])
		}
	case SendSnapshot:
		m := Message{From: r.disk, To: a.To, Term: a.Term, Boot: r.boot, Install: &InstallSnapshot{Meta: r.stored.Meta, Round: a.Round}}
		w.send(m)
	case Appended, Refused, DiskRejected:
	}
}

func (w *simulation) checkApplied(r *replica, e Entry) {
	if e.Index != r.applied+1 {
		w.failf("%s applied entry %d directly after entry %d", r.disk, e.Index, r.applied)
	}
	r.applied = e.Index
	w.newestApplied = max(w.newestApplied, e.Index)
	old, ok := w.entries[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		w.failf("entry %d differs: term %d %q and term %d %q", e.Index, old.Term, old.Data, e.Term, e.Data)
	}
	w.entries[e.Index] = e
}

func (w *simulation) send(m Message) {
	if w.cuts[[2]ident.DiskID{m.From, m.To}] > w.now || w.rng.IntN(50) == 0 {
		return
	}
	copies := 1
	if w.rng.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.rng.IntN(20)) * time.Millisecond
		if w.rng.IntN(40) == 0 {
			delay += time.Duration(w.rng.IntN(1500)) * time.Millisecond
		}
		w.inFlight = append(w.inFlight, delivery{at: w.now.Add(delay), m: m})
	}
}

// sync completes the oldest n writes of r.
func (w *simulation) sync(r *replica, n int) {
	for _, p := range r.unsyncedWrites[:n] {
		if p.Hard != nil {
			r.stored.Hard = *p.Hard
		}
		if p.Install != nil {
			r.stored.Meta = p.Install.Meta
			r.stored.Entries = nil
		}
		if len(p.Entries) > 0 {
			kept, ok := spliceEntries(r.stored.Entries, p.Entries)
			if !ok {
				w.failf("%s wrote entry %d without the entry before it", r.disk, p.Entries[0].Index)
			}
			r.stored.Entries = append([]Entry(nil), kept...)
		}
		for _, m := range p.AfterSync {
			w.send(m)
		}
	}
	seq := r.unsyncedWrites[n-1].Seq
	r.unsyncedWrites = append([]Persist(nil), r.unsyncedWrites[n:]...)
	w.step(r, Persisted{Seq: seq})
}

func (w *simulation) deliver() {
	due := w.inFlight
	w.inFlight = nil
	for _, d := range due {
		if d.at > w.now {
			w.inFlight = append(w.inFlight, d)
			continue
		}
		for _, r := range w.replicas {
			if r.disk == d.m.To {
				w.step(r, Receive{Message: d.m})
			}
		}
	}
}

func (w *simulation) crash(r *replica, wipe bool) {
	w.tracef("crash %s wipe=%v", r.disk, wipe)
	r.core = nil
	r.queue = nil
	r.frozen = 0
	r.stalled = 0
	r.unsyncedWrites = nil
	r.restartAt = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	if w.rng.IntN(2) == 0 {
		r.restartAt = w.now.Add(20 * time.Millisecond)
	}
	if wipe {
		w.wipes++
		r.disk = ident.DiskID(fmt.Sprintf("%s-new%d", r.id, w.wipes))
		r.stored = StoredState{}
	}
}

// compact takes a snapshot of what r has applied and synced.
func (w *simulation) compact(r *replica) {
	upto := min(r.applied, r.stored.Meta.Index+Index(len(r.stored.Entries)))
	for i, e := range r.stored.Entries {
		if e.Index != upto || e.Term != w.entries[upto].Term {
			continue // not applied, or replaced by a write that is not yet synced
		}
		meta := SnapshotMeta{Index: e.Index, Term: e.Term, Members: membersAt(r.stored, e.Index)}
		r.stored.Entries = append([]Entry(nil), r.stored.Entries[i+1:]...)
		r.stored.Meta = meta
		w.step(r, Compacted{Meta: meta})
		return
	}
}

func membersAt(st StoredState, i Index) Membership {
	m := st.Meta.Members
	for _, e := range st.Entries {
		if e.Kind == EntryMembers && e.Index <= i {
			m = e.Members
		}
	}
	return m
}

// repair performs one step of an operator's recovery from a lost disk: the new disk
// joins as a learner, is promoted when it has caught up, and then the lost disk is
// removed.
func (w *simulation) repair(leader *replica) {
	next := leader.core.members.clone()
	if w.removeUnresponsive(leader, next) {
		return
	}
	for _, r := range w.replicas {
		m, ok := next.Find(r.disk)
		if !ok {
			next.Members = append(next.Members, Member{ID: r.id, Disk: r.disk})
			w.step(leader, ChangeMembers{Members: next})
			return
		}
		if !m.Voter && w.caughtUp(leader, r.disk) {
			for i := range next.Members {
				next.Members[i].Voter = next.Members[i].Voter || next.Members[i].Disk == r.disk
			}
			w.step(leader, ChangeMembers{Members: next})
			return
		}
	}
	for i, m := range next.Members {
		if w.diskLost(m.Disk) && next.Voters() > len(w.replicas) {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
			w.step(leader, ChangeMembers{Members: next})
			return
		}
	}
}

func (w *simulation) caughtUp(leader *replica, d ident.DiskID) bool {
	for _, s := range leader.core.MemberStates() {
		if s.Member.Disk == d {
			return s.CaughtUp
		}
	}
	return false
}

func (w *simulation) diskLost(d ident.DiskID) bool {
	for _, r := range w.replicas {
		if r.disk == d {
			return false
		}
	}
	return true
}

// injectEvent injects one random failure or client call.
func (w *simulation) injectEvent() {
	r := w.replicas[w.rng.IntN(len(w.replicas))]
	other := w.replicas[w.rng.IntN(len(w.replicas))]
	until := w.now.Add(time.Duration(w.rng.IntN(2500)) * time.Millisecond)
	kind := w.rng.IntN(40)
	if w.rng.IntN(1+w.clientCallWeight) > 0 {
		kind = 10 + w.rng.IntN(30)
	}
	switch kind {
	case 0, 1:
		if r.core != nil {
			w.crash(r, false)
		}
	case 2:
		if r.core != nil && w.wipes < 2 && w.allVoting() {
			w.crash(r, true)
		}
	case 3, 4:
		if r.core != nil {
			w.tracef("freeze %s until %v", r.disk, time.Duration(until))
			r.frozen = until
		}
	case 5, 6:
		w.tracef("cut %s to %s until %v", r.disk, other.disk, time.Duration(until))
		w.cuts[[2]ident.DiskID{r.disk, other.disk}] = until
	case 7:
		w.tracef("isolate %s until %v", r.disk, time.Duration(until))
		for _, o := range w.replicas {
			w.cuts[[2]ident.DiskID{r.disk, o.disk}] = until
			w.cuts[[2]ident.DiskID{o.disk, r.disk}] = until
		}
	case 8, 9:
		if r.core != nil {
			w.compact(r)
		}
	case 10:
		if w.rng.IntN(10) == 0 {
			w.step(r, TransferLeadership{})
		}
	case 11, 12, 13, 14:
		w.nextID++
		w.reads[w.nextID] = w.newestApplied
		w.step(r, Read{ID: w.nextID})
	case 18:
		w.tracef("stall disk of %s until %v", r.disk, time.Duration(until))
		r.stalled = until
	case 15, 16, 17:
		if r.core != nil && r.core.role == Leader && r.frozen <= w.now {
			w.repair(r)
		}
	default:
		w.nextID++
		w.step(r, Propose{Proposals: []Proposal{{ID: w.nextID, Data: []byte(strconv.FormatUint(w.nextID, 10))}}})
	}
}

// allVoting reports whether the voters of the newest applied membership are exactly
// the replicas' current disks.
func (w *simulation) allVoting() bool {
	var newest *replica
	for _, r := range w.replicas {
		if r.core != nil && (newest == nil || r.core.commit > newest.core.commit) {
			newest = r
		}
	}
	if newest == nil || newest.core.membersIndex > newest.core.commit || newest.core.commit < w.newestApplied {
		return false
	}
	m := newest.core.members
	if m.Voters() != len(w.replicas) {
		return false
	}
	for _, r := range w.replicas {
		if member, ok := m.Find(r.disk); !ok || !member.Voter {
			return false
		}
	}
	return true
}

func (w *simulation) checkLeases() {
	holder := ident.DiskID("")
	for _, r := range w.replicas {
		if r.core == nil || !r.core.Ready(w.now) {
			continue
		}
		if holder != "" {
			w.failf("%s and %s both hold the leader lease", holder, r.disk)
		}
		holder = r.disk
	}
}

func (w *simulation) run(steps int) error {
	for range steps {
		w.now = w.now.Add(time.Duration(1+w.rng.IntN(10)) * time.Millisecond)
		w.deliver()
		for _, r := range w.replicas {
			w.advance(r)
		}
		if w.rng.IntN(8) == 0 {
			w.injectEvent()
		}
		w.changeMembers()
		w.checkLeases()
		if w.failure != nil {
			return w.failure
		}
	}
	return nil
}

func (w *simulation) advance(r *replica) {
	if r.core == nil {
		if r.restartAt <= w.now {
			w.start(r)
		}
		return
	}
	if r.frozen > w.now {
		return
	}
	queue := r.queue
	r.queue = nil
	for _, ev := range queue {
		w.step(r, ev)
	}
	if n := len(r.unsyncedWrites); n > 0 && r.stalled <= w.now && w.rng.IntN(w.syncSteps) == 0 {
		w.sync(r, 1+w.rng.IntN(n))
	}
	w.step(r, Tick{})
}

// heal ends all failures and checks that the quorum commits again.
func (w *simulation) heal() error {
	w.cuts = map[[2]ident.DiskID]clock.Time{}
	for _, r := range w.replicas {
		r.frozen = min(r.frozen, w.now)
		r.stalled = min(r.stalled, w.now)
	}
	w.syncSteps = 1
	before := w.newestApplied
	for range 4000 {
		w.now = w.now.Add(10 * time.Millisecond)
		w.deliver()
		for _, r := range w.replicas {
			w.advance(r)
			if r.core != nil && r.core.role == Leader && w.rng.IntN(10) == 0 {
				w.nextID++
				w.step(r, Propose{Proposals: []Proposal{{ID: w.nextID}}})
			}
		}
		w.checkLeases()
		if w.failure != nil || w.newestApplied > before+5 {
			return w.failure
		}
	}
	return fmt.Errorf("no commit within 40 s after all failures ended")
}

func runSchedule(seed uint64) (*simulation, error) {
	w := newSimulation(seed, 3+2*int(seed%2))
	w.clientCallWeight = int(seed/2%4) * 3
	w.syncSteps = 1 + int(seed/8%3)*20
	if err := w.run(2500); err != nil {
		return w, err
	}
	return w, w.heal()
}

// TestSchedules runs 10,000 seeded schedules of crashes, lost disks, pauses, stalled disks, network
// partitions, membership changes, leadership transfers and reads with three and five
// replicas. It checks that a term has one leader, that leases do not overlap, that
// applied entries never differ and that reads are linearizable.
func TestSchedules(t *testing.T) {
	randtest.Each(t, scheduleCount, func(seed uint64) error {
		w, err := runSchedule(seed)
		if err != nil {
			err = fmt.Errorf("%w\n%s", err, lastLines(w.trace, 20))
		}
		return err
	})
}

func lastLines(lines []string, n int) string {
	out := ""
	for _, l := range lines[max(0, len(lines)-n):] {
		out += l + "\n"
	}
	return out
}
