package quorum

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// The tests in this file cover situations that the random schedules reach too rarely
// to be relied on.

func threeMembers() Membership {
	return Membership{Members: []Member{
		{ID: "i1", Disk: "d1", Voter: true}, {ID: "i2", Disk: "d2", Voter: true}, {ID: "i3", Disk: "d3", Voter: true},
	}}
}

func newCore(self ident.DiskID, entries []Entry, t Term) *Core {
	return New(Config{Self: self, Boot: 1, Timing: DefaultTiming(), Seed: 1}, StoredState{
		Hard: HardState{Term: t}, Meta: SnapshotMeta{Index: 1, Term: 1, Members: threeMembers()}, Entries: entries,
	})
}

// at returns the time d after the start of a test.
func at(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

// find returns the first action of type T.
func find[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var zero T
	return zero, false
}

// syncAll steps a Persisted event for every Persist among the actions.
func syncAll(c *Core, now clock.Time, actions []Action) []Action {
	var more []Action
	for _, a := range actions {
		if p, ok := a.(Persist); ok {
			more = append(more, c.Step(now, Persisted{Seq: p.Seq})...)
		}
	}
	return more
}

// elect makes a core the leader of the next term with the votes of d2.
func elect(t testing.TB, c *Core, now clock.Time) clock.Time {
	t.Helper()
	c.Step(now, Tick{})
	for end := now.Add(2 * time.Second); now < end; {
		now = now.Add(tickInterval)
		c.Step(now, Tick{}) // requests pre-votes in the end
	}
	out := c.Step(now, Receive{Message: Message{From: "d2", To: c.cfg.Self, Term: c.hard.Term, VoteResponse: &VoteResponse{Pre: true, Granted: true}}})
	syncAll(c, now, out)
	out = c.Step(now, Receive{Message: Message{From: "d2", To: c.cfg.Self, Term: c.hard.Term, VoteResponse: &VoteResponse{Granted: true}}})
	if c.role != Leader {
		t.Fatalf("role is %v after a majority of votes, want leader", c.role)
	}
	syncAll(c, now, out)
	return now
}

func ack(from ident.DiskID, c *Core, match Index) Receive {
	return Receive{Message: Message{From: from, To: c.cfg.Self, Term: c.hard.Term, Boot: 1, Ack: &AppendAck{Round: c.round, Accepted: true, Match: match}}}
}

// TestRestartedVoterWaits guards against two leaders with overlapping leases. After
// a restart a voter has no record of the lease that it may be protecting, so it
// grants no vote for the shortest election timeout.
func TestRestartedVoterWaits(t *testing.T) {
	c := newCore("d2", nil, 1)
	ask := Receive{Message: Message{From: "d1", To: "d2", Term: 2, VoteRequest: &VoteRequest{Last: 1, LastTerm: 1}}}
	out := c.Step(at(0), ask)
	if len(out) > 0 || c.hard.Vote != "" {
		t.Errorf("replied or voted immediately after the start: %+v", out)
	}
	c.Step(at(DefaultTiming().ElectionMin+time.Millisecond), ask)
	if c.hard.Vote != "d1" {
		t.Error("no vote after the shortest election timeout")
	}
}

// TestEarlierTermIsNotCounted guards against committing an entry of an earlier term
// by counting its replicas, because a later leader may still replace it. Such an
// entry is committed only together with an entry of the current term.
func TestEarlierTermIsNotCounted(t *testing.T) {
	old := []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}}
	c := newCore("d1", old, 3)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	if c.commit >= 2 {
		t.Error("an entry of an earlier term was committed by counting its replicas")
	}
	c.Step(now, ack("d2", c, 3))
	if c.commit != 3 {
		t.Errorf("commit index is %d after an entry of the current term, want 3", c.commit)
	}
}

// TestChangesDoNotOverlap guards against two majorities without a common voter,
// which two uncommitted membership changes could produce. A change is rejected
// until the previous one and an entry of the leader's own term are committed.
func TestChangesDoNotOverlap(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	next := threeMembers()
	next.Members = append(next.Members, Member{ID: "i4", Disk: "d4", Voter: true})
	refused := func(when string) {
		t.Helper()
		r, ok := find[Refused](c.Step(now, ChangeMembers{ID: 1, Members: next}))
		if !ok || !fault.Is(r.Reason, fault.InProgress) {
			t.Errorf("%s: the membership change was not refused", when)
		}
	}
	refused("before an entry of the leader's term is committed")
	c.Step(now, ack("d2", c, 2))
	if _, ok := find[Appended](c.Step(now, ChangeMembers{ID: 2, Members: next})); !ok {
		t.Fatal("the first membership change was refused")
	}
	refused("while a change is not committed")
}

func TestChangeTouchesOneVoter(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	swapped := Membership{Members: []Member{
		{ID: "i1", Disk: "d1", Voter: true}, {ID: "i2", Disk: "d2", Voter: true}, {ID: "i3", Disk: "d3-new", Voter: true},
	}}
	if r, ok := find[Refused](c.Step(now, ChangeMembers{ID: 1, Members: swapped})); !ok || !fault.Is(r.Reason, fault.BadRequest) {
		t.Error("a change that replaces one voter with another was accepted")
	}
}

// TestOldDiskIsRejected guards against committing with the acknowledgements of a
// disk that was restored from an old copy. A later process run of a member that
// lacks entries acknowledged by an earlier run no longer counts.
func TestOldDiskIsRejected(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	out := c.Step(now, Propose{Proposals: []Proposal{{ID: 1, Data: []byte("x")}}})
	syncAll(c, now, out)
	c.Step(now, ack("d2", c, 3))
	back := Message{From: "d2", To: "d1", Term: c.hard.Term, Boot: 2, Ack: &AppendAck{Round: c.round, Last: 1, Hint: 1}}
	out = c.Step(now, Receive{Message: back})
	sent, ok := find[Send](out)
	if !ok || sent.Message.Reject == nil || sent.Message.To != "d2" {
		t.Fatalf("no DiskReject was sent to the old disk: %+v", out)
	}
	before := c.commit
	out = c.Step(now, Propose{Proposals: []Proposal{{ID: 2, Data: []byte("y")}}})
	syncAll(c, now, out)
	c.Step(now, ack("d2", c, 4))
	if c.commit != before {
		t.Error("an acknowledgement of the rejected disk was counted")
	}
}

// TestLateRefusalRejectsNoDisk guards against rejecting a healthy disk because a
// reply of the same process run arrives late.
func TestLateRefusalRejectsNoDisk(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	late := Message{From: "d2", To: "d1", Term: c.hard.Term, Boot: 1, Ack: &AppendAck{Round: c.round, Last: 1, Hint: 1}}
	c.Step(now, Receive{Message: late})
	if c.progress["d2"].rejected {
		t.Error("a late rejected append of the same process run caused the disk to be rejected")
	}
}

// TestSnapshotIsAcknowledgedWhenSynced guards against a leader that counts on a snapshot which its member has not synced: a member
// that crashes then lacks what it acknowledged, and its disk is rejected.
func TestSnapshotIsAcknowledgedWhenSynced(t *testing.T) {
	c := New(Config{Self: "d3", Boot: 1, Timing: DefaultTiming(), Seed: 1}, StoredState{})
	meta := SnapshotMeta{Index: 5, Term: 2, Members: threeMembers()}
	from := Message{From: "d1", To: "d3", Term: 2, Boot: 1}
	install, heartbeat, again := from, from, from
	install.Install = &InstallSnapshot{Meta: meta, Round: 1}
	heartbeat.Append = &Append{Prev: meta.Index, PrevTerm: meta.Term, Round: 2}
	again.Install = &InstallSnapshot{Meta: meta, Round: 3}
	now := at(0)
	var last Persist
	for _, m := range []Message{install, heartbeat, again} {
		for _, a := range c.Step(now, Receive{Message: m}) {
			switch a := a.(type) {
			case Persist:
				last = a
			case Send:
				if a.Message.Ack.Match > 0 {
					t.Errorf("%+v is acknowledged up to %d before it is synced", m, a.Message.Ack.Match)
				}
			}
		}
	}
	c.Step(now, Persisted{Seq: last.Seq})
	reply, ok := find[Send](c.Step(now, Receive{Message: heartbeat}))
	if !ok || reply.Message.Ack.Match != meta.Index {
		t.Errorf("reply after the sync: %+v, want it to acknowledge %d", reply.Message.Ack, meta.Index)
	}
}

// TestUncommittedEntriesAreBounded guards against a leader that collects proposals without end while no majority can sync them.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	for n := range maxUncommitted + 10 {
		c.Step(now, Propose{Proposals: []Proposal{{ID: uint64(n)}}})
	}
	if got := c.lastIndex() - c.commit; got != maxUncommitted {
		t.Errorf("%d entries are not committed, want %d", got, maxUncommitted)
	}
	r, ok := find[Refused](c.Step(now, Propose{Proposals: []Proposal{{ID: 1}}}))
	if !ok || !fault.Is(r.Reason, fault.Overloaded) {
		t.Errorf("one more: %+v, want it refused as an overload", r)
	}
}
