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

// schedules is the number of seeded schedules of one run.
const schedules = 10_000

// replica is one member of a simulated quorum: a Core with a disk in memory.
type replica struct {
	id      ident.InstanceID
	disk    ident.DiskID
	boot    Boot
	core    *Core // nil while crashed
	frozen  clock.Time
	queue   []Event     // arrived while frozen
	writes  []Persist   // not synced yet
	stored  StoredState // synced
	applied Index
	ready   clock.Time // when a crashed replica starts again
}

type delivery struct {
	at clock.Time
	m  Message
}

// world runs one schedule and checks the invariants as it goes.
type world struct {
	rng      *rand.Rand
	now      clock.Time
	replicas []*replica
	inFlight []delivery
	cut      map[[2]ident.DiskID]clock.Time // one-way cuts until a time
	leaders  map[Term]ident.DiskID
	entries  map[Index]Entry // every applied entry
	newest   Index           // highest applied index anywhere
	reads    map[uint64]Index
	nextID   uint64
	wipes    int
	slow     int // steps that a sync takes on average
	calm     int // one failure for calm client calls, besides the usual ones
	least    int // voters down to which the leader removes silent ones; 0 means that it removes none
	failure  error
	trace    []string
}

func newWorld(seed uint64, n int) *world { return foundWorld(seed, n, n) }

// foundWorld returns a world of n replicas, of which the first ones have founded the
// quorum. The others have empty disks.
func foundWorld(seed uint64, n, founders int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: 1, cut: map[[2]ident.DiskID]clock.Time{},
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

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{time.Duration(w.now)}, args...)...)
	}
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

func (w *world) start(r *replica) {
	r.boot++
	st := r.stored
	st.Entries = append([]Entry(nil), st.Entries...)
	r.core = New(Config{Self: r.disk, Boot: r.boot, Timing: DefaultTiming(), Seed: w.rng.Uint64()}, st)
	r.applied = st.Meta.Index
}

func (w *world) step(r *replica, ev Event) {
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

func (w *world) checkLeader(r *replica) {
	t := r.core.hard.Term
	if other, ok := w.leaders[t]; ok && other != r.disk {
		w.fail("two leaders in term %d: %s and %s", t, other, r.disk)
	}
	w.leaders[t] = r.disk
}

func (w *world) perform(r *replica, a Action) {
	switch a := a.(type) {
	case Send:
		w.send(a.Message)
	case Persist:
		r.writes = append(r.writes, a)
	case Apply:
		for _, e := range a.Entries {
			w.checkApplied(r, e)
		}
	case Restore:
		r.applied = a.Install.Meta.Index
	case ReadReady:
		if a.Index < w.reads[a.ID] {
			w.fail("read %d got index %d, but %d was applied before it began", a.ID, a.Index, w.reads[a.ID])
		}
	case SendSnapshot:
		m := Message{From: r.disk, To: a.To, Term: a.Term, Boot: r.boot, Install: &InstallSnapshot{Meta: r.stored.Meta, Round: a.Round}}
		w.send(m)
	case Appended, Refused, DiskRejected:
	}
}

func (w *world) checkApplied(r *replica, e Entry) {
	if e.Index != r.applied+1 {
		w.fail("%s applies %d after %d", r.disk, e.Index, r.applied)
	}
	r.applied = e.Index
	w.newest = max(w.newest, e.Index)
	old, ok := w.entries[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		w.fail("entry %d differs: term %d %q and term %d %q", e.Index, old.Term, old.Data, e.Term, e.Data)
	}
	w.entries[e.Index] = e
}

func (w *world) send(m Message) {
	if w.cut[[2]ident.DiskID{m.From, m.To}] > w.now || w.rng.IntN(50) == 0 {
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
func (w *world) sync(r *replica, n int) {
	for _, p := range r.writes[:n] {
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
				w.fail("%s writes a gap before %d", r.disk, p.Entries[0].Index)
			}
			r.stored.Entries = append([]Entry(nil), kept...)
		}
		for _, m := range p.AfterSync {
			w.send(m)
		}
	}
	seq := r.writes[n-1].Seq
	r.writes = append([]Persist(nil), r.writes[n:]...)
	w.step(r, Persisted{Seq: seq})
}

func (w *world) deliver() {
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

func (w *world) crash(r *replica, wipe bool) {
	w.note("crash %s wipe=%v", r.disk, wipe)
	r.core = nil
	r.queue = nil
	r.frozen = 0
	r.writes = nil
	r.ready = w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	if w.rng.IntN(2) == 0 {
		r.ready = w.now.Add(20 * time.Millisecond)
	}
	if wipe {
		w.wipes++
		r.disk = ident.DiskID(fmt.Sprintf("%s-new%d", r.id, w.wipes))
		r.stored = StoredState{}
	}
}

// compact takes a snapshot of what r has applied and synced.
func (w *world) compact(r *replica) {
	upto := min(r.applied, r.stored.Meta.Index+Index(len(r.stored.Entries)))
	for i, e := range r.stored.Entries {
		if e.Index != upto || e.Term != w.entries[upto].Term {
			continue // not applied, or replaced by a write that is not synced yet
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

// repair does what an operator does after a lost disk: the new disk joins as a
// learner, is promoted when it has caught up, and then the lost one is removed.
func (w *world) repair(leader *replica) {
	next := leader.core.members.clone()
	if w.removeSilent(leader, next) {
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
		if w.lost(m.Disk) && next.Voters() > len(w.replicas) {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
			w.step(leader, ChangeMembers{Members: next})
			return
		}
	}
}

func (w *world) caughtUp(leader *replica, d ident.DiskID) bool {
	for _, s := range leader.core.MemberStates() {
		if s.Member.Disk == d {
			return s.CaughtUp
		}
	}
	return false
}

func (w *world) lost(d ident.DiskID) bool {
	for _, r := range w.replicas {
		if r.disk == d {
			return false
		}
	}
	return true
}

// disturb brings about one random failure or client call.
func (w *world) disturb() {
	r := w.replicas[w.rng.IntN(len(w.replicas))]
	other := w.replicas[w.rng.IntN(len(w.replicas))]
	until := w.now.Add(time.Duration(w.rng.IntN(2500)) * time.Millisecond)
	kind := w.rng.IntN(40)
	if w.rng.IntN(1+w.calm) > 0 {
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
			w.note("freeze %s until %v", r.disk, time.Duration(until))
			r.frozen = until
		}
	case 5, 6:
		w.note("cut %s to %s until %v", r.disk, other.disk, time.Duration(until))
		w.cut[[2]ident.DiskID{r.disk, other.disk}] = until
	case 7:
		w.note("isolate %s until %v", r.disk, time.Duration(until))
		for _, o := range w.replicas {
			w.cut[[2]ident.DiskID{r.disk, o.disk}] = until
			w.cut[[2]ident.DiskID{o.disk, r.disk}] = until
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
		w.reads[w.nextID] = w.newest
		w.step(r, Read{ID: w.nextID})
	case 15, 16, 17:
		if r.core != nil && r.core.role == Leader && r.frozen <= w.now {
			w.repair(r)
		}
	default:
		w.nextID++
		w.step(r, Propose{Proposals: []Proposal{{ID: w.nextID, Data: []byte(strconv.FormatUint(w.nextID, 10))}}})
	}
}

// allVoting reports whether every replica's disk is a voter in the newest
// membership that was applied, and no lost disk is.
func (w *world) allVoting() bool {
	var newest *replica
	for _, r := range w.replicas {
		if r.core != nil && (newest == nil || r.core.commit > newest.core.commit) {
			newest = r
		}
	}
	if newest == nil || newest.core.membersIndex > newest.core.commit || newest.core.commit < w.newest {
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

func (w *world) checkLeases() {
	holder := ident.DiskID("")
	for _, r := range w.replicas {
		if r.core == nil || !r.core.Ready(w.now) {
			continue
		}
		if holder != "" {
			w.fail("%s and %s both hold the leader lease", holder, r.disk)
		}
		holder = r.disk
	}
}

func (w *world) run(steps int) error {
	for range steps {
		w.now = w.now.Add(time.Duration(1+w.rng.IntN(10)) * time.Millisecond)
		w.deliver()
		for _, r := range w.replicas {
			w.advance(r)
		}
		if w.rng.IntN(8) == 0 {
			w.disturb()
		}
		w.changeMembers()
		w.checkLeases()
		if w.failure != nil {
			return w.failure
		}
	}
	return nil
}

func (w *world) advance(r *replica) {
	if r.core == nil {
		if r.ready <= w.now {
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
	if n := len(r.writes); n > 0 && w.rng.IntN(w.slow) == 0 {
		w.sync(r, 1+w.rng.IntN(n))
	}
	w.step(r, Tick{})
}

// heal ends every failure and checks that the quorum commits again.
func (w *world) heal() error {
	w.cut = map[[2]ident.DiskID]clock.Time{}
	for _, r := range w.replicas {
		r.frozen = min(r.frozen, w.now)
	}
	w.slow = 1
	before := w.newest
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
		if w.failure != nil || w.newest > before+5 {
			return w.failure
		}
	}
	return fmt.Errorf("no commit within 40 s after every failure ended")
}

func runSchedule(seed uint64) (*world, error) {
	w := newWorld(seed, 3+2*int(seed%2))
	w.calm = int(seed/2%4) * 3
	w.slow = 1 + int(seed/8%3)*20
	if err := w.run(2500); err != nil {
		return w, err
	}
	return w, w.heal()
}

// TestSchedules drives 10,000 seeded schedules of crashes, lost disks, freezes,
// cuts, changes of members, transfers and reads through three and five cores.
func TestSchedules(t *testing.T) {
	randtest.Each(t, schedules, func(seed uint64) error {
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
