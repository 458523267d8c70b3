package quorum

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// These tests bring about single situations that random schedules reach too
// seldom to be relied on.

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

// at returns the point d after the start of a test.
func at(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

// find returns the first action of a type.
func find[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var zero T
	return zero, false
}

// syncAll steps the end of every Persist among the actions.
func syncAll(c *Core, now clock.Time, actions []Action) []Action {
	var more []Action
	for _, a := range actions {
		if p, ok := a.(Persist); ok {
			more = append(more, c.Step(now, Persisted{Seq: p.Seq})...)
		}
	}
	return more
}

// elect makes a core the leader of the next term by votes of d2.
func elect(t *testing.T, c *Core, now clock.Time) clock.Time {
	t.Helper()
	c.Step(now, Tick{})
	now = now.Add(2 * time.Second)
	c.Step(now, Tick{}) // asks for pre-votes
	out := c.Step(now, Receive{Message: Message{From: "d2", To: c.cfg.Self, Term: c.hard.Term, VoteResponse: &VoteResponse{Pre: true, Granted: true}}})
	syncAll(c, now, out)
	out = c.Step(now, Receive{Message: Message{From: "d2", To: c.cfg.Self, Term: c.hard.Term, VoteResponse: &VoteResponse{Granted: true}}})
	if c.role != Leader {
		t.Fatalf("role %v after the votes", c.role)
	}
	syncAll(c, now, out)
	return now
}

func ack(from ident.DiskID, c *Core, match Index) Receive {
	return Receive{Message: Message{From: from, To: c.cfg.Self, Term: c.hard.Term, Boot: 1, Ack: &AppendAck{Round: c.round, Accepted: true, Match: match}}}
}

// A restarted voter cannot know whether it promised a leader to be quiet, so it
// gives no vote for the shortest election timeout.
func TestRestartedVoterWaits(t *testing.T) {
	c := newCore("d2", nil, 1)
	ask := Receive{Message: Message{From: "d1", To: "d2", Term: 2, VoteRequest: &VoteRequest{Last: 1, LastTerm: 1}}}
	out := c.Step(at(0), ask)
	if len(out) > 0 || c.hard.Vote != "" {
		t.Errorf("voted right after the start: %+v", out)
	}
	c.Step(at(DefaultTiming().ElectionMin+time.Millisecond), ask)
	if c.hard.Vote != "d1" {
		t.Error("no vote after the wait")
	}
}

// An entry of an earlier term is not committed by counting its copies, because a
// later leader may still replace it. It is committed by one of the present term.
func TestEarlierTermIsNotCounted(t *testing.T) {
	old := []Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}}
	c := newCore("d1", old, 3)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	if c.commit >= 2 {
		t.Error("an entry of an earlier term was committed by its copies")
	}
	c.Step(now, ack("d2", c, 3))
	if c.commit != 3 {
		t.Errorf("commit %d after the present term's entry, want 3", c.commit)
	}
}

// Two changes of members in a row could leave two majorities without a common
// voter, so the second waits until the first is committed, and both until an entry
// of the leader's own term is.
func TestChangesDoNotOverlap(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	next := threeMembers()
	next.Members = append(next.Members, Member{ID: "i4", Disk: "d4", Voter: true})
	refused := func(when string) {
		t.Helper()
		r, ok := find[Refused](c.Step(now, ChangeMembers{ID: 1, Members: next}))
		if !ok || !fault.Is(r.Reason, fault.InProgress) {
			t.Errorf("%s: not refused", when)
		}
	}
	refused("before an entry of the own term")
	c.Step(now, ack("d2", c, 2))
	if _, ok := find[Appended](c.Step(now, ChangeMembers{ID: 2, Members: next})); !ok {
		t.Fatal("the first change was refused")
	}
	refused("while a change is open")
}

func TestChangeTouchesOneVoter(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	swapped := Membership{Members: []Member{
		{ID: "i1", Disk: "d1", Voter: true}, {ID: "i2", Disk: "d2", Voter: true}, {ID: "i3", Disk: "d3-new", Voter: true},
	}}
	if r, ok := find[Refused](c.Step(now, ChangeMembers{ID: 1, Members: swapped})); !ok || !fault.Is(r.Reason, fault.BadRequest) {
		t.Error("a change that swaps one voter for another was taken")
	}
}

// A later run of a member that lacks what an earlier run acknowledged has an old
// disk. Its word does not count any more.
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
		t.Fatalf("the old disk was not told: %+v", out)
	}
	before := c.commit
	out = c.Step(now, Propose{Proposals: []Proposal{{ID: 2, Data: []byte("y")}}})
	syncAll(c, now, out)
	c.Step(now, ack("d2", c, 4))
	if c.commit != before {
		t.Error("the old disk's word counted")
	}
}

// The same member in the same run only answers late.
func TestLateRefusalRejectsNoDisk(t *testing.T) {
	c := newCore("d1", nil, 1)
	now := elect(t, c, at(0))
	c.Step(now, ack("d2", c, 2))
	late := Message{From: "d2", To: "d1", Term: c.hard.Term, Boot: 1, Ack: &AppendAck{Round: c.round, Last: 1, Hint: 1}}
	c.Step(now, Receive{Message: late})
	if c.progress["d2"].rejected {
		t.Error("a late refusal of the same run rejected the disk")
	}
}
