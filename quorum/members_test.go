package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/randtest"
)

// memberScheduleCount is the number of seeded schedules with membership changes.
const memberScheduleCount = 1_500

// removeUnresponsive removes one voter that is frozen or crashed, as a leader does that
// considers it lost. The voter later returns with the same disk and is added again.
// It reports whether a voter was removed.
func (w *simulation) removeUnresponsive(leader *replica, next Membership) bool {
	if w.minVoters == 0 || next.Voters() <= w.minVoters {
		return false
	}
	for i, m := range next.Members {
		r := w.byDisk(m.Disk)
		if r == nil || r == leader || r.core != nil && r.frozen <= w.now {
			continue
		}
		w.tracef("%s removes unresponsive %s", leader.disk, m.Disk)
		next.Members = append(next.Members[:i], next.Members[i+1:]...)
		w.step(leader, ChangeMembers{Members: next})
		return true
	}
	return false
}

// changeMembers makes leaders change the membership frequently.
func (w *simulation) changeMembers() {
	if w.minVoters == 0 || w.rng.IntN(10) > 0 {
		return
	}
	for _, r := range w.replicas {
		if r.core != nil && r.core.role == Leader && r.frozen <= w.now {
			w.repair(r)
		}
	}
}

func (w *simulation) byDisk(d ident.DiskID) *replica {
	for _, r := range w.replicas {
		if r.disk == d {
			return r
		}
	}
	return nil
}

// TestSchedulesOfMembers runs seeded schedules with membership changes: three of five
// replicas bootstrap the quorum and the others join, unresponsive voters are removed
// and return with the same disk, and disks are lost in between.
func TestSchedulesOfMembers(t *testing.T) {
	randtest.Each(t, memberScheduleCount, func(seed uint64) error {
		w := newSimulationWithFounders(seed, 5, 3)
		w.minVoters = 3
		w.clientCallWeight = int(seed%4) * 3
		w.syncSteps = 1 + int(seed/4%3)*20
		err := w.run(2500)
		if err == nil {
			err = w.heal()
		}
		if err != nil {
			return fmt.Errorf("%w\n%s", err, lastLines(w.trace, 20))
		}
		return nil
	})
}

// TestMembershipChangesCopy guards against a data race: the membership in a Status is
// shared by all its readers, so With and Without must not modify the original.
func TestMembershipChangesCopy(t *testing.T) {
	a, b, c := Member{ID: "a", Disk: "1", Voter: true}, Member{ID: "b", Disk: "2"}, Member{ID: "c", Disk: "3"}
	voter := b
	voter.Voter = true
	for name, test := range map[string]struct {
		change func(Membership) Membership
		want   []Member
	}{
		"added":          {func(m Membership) Membership { return m.With(c) }, []Member{a, b, c}},
		"promoted":       {func(m Membership) Membership { return m.With(voter) }, []Member{a, voter}},
		"removed":        {func(m Membership) Membership { return m.Without("1") }, []Member{b}},
		"absent":         {func(m Membership) Membership { return m.Without("9") }, []Member{a, b}},
		"removed, added": {func(m Membership) Membership { return m.Without("1").With(c) }, []Member{b, c}},
	} {
		t.Run(name, func(t *testing.T) {
			// The slice has spare capacity, which append could overwrite.
			shared := Membership{Members: append(make([]Member, 0, 8), a, b)}
			if got := test.change(shared).Members; !slices.Equal(got, test.want) {
				t.Errorf("got members %v, want %v", got, test.want)
			}
			if !slices.Equal(shared.Members, []Member{a, b}) || shared.Members[:3][2] != (Member{}) {
				t.Errorf("the original membership was modified: %v", shared.Members[:3])
			}
		})
	}
}
