package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/randtest"
)

// memberSchedules is the number of seeded schedules of changing members.
const memberSchedules = 1_500

// removeSilent removes a voter that is frozen or down, as a leader does that takes it for
// lost. Such a voter comes back with its disk and asks to be added again. It reports whether
// it did.
func (w *world) removeSilent(leader *replica, next Membership) bool {
	if w.least == 0 || next.Voters() <= w.least {
		return false
	}
	for i, m := range next.Members {
		r := w.byDisk(m.Disk)
		if r == nil || r == leader || r.core != nil && r.frozen <= w.now {
			continue
		}
		w.note("%s removes silent %s", leader.disk, m.Disk)
		next.Members = append(next.Members[:i], next.Members[i+1:]...)
		w.step(leader, ChangeMembers{Members: next})
		return true
	}
	return false
}

// changeMembers lets leaders change the members often.
func (w *world) changeMembers() {
	if w.least == 0 || w.rng.IntN(10) > 0 {
		return
	}
	for _, r := range w.replicas {
		if r.core != nil && r.core.role == Leader && r.frozen <= w.now {
			w.repair(r)
		}
	}
}

func (w *world) byDisk(d ident.DiskID) *replica {
	for _, r := range w.replicas {
		if r.disk == d {
			return r
		}
	}
	return nil
}

// TestSchedulesOfMembers drives schedules in which three of five replicas found the quorum
// and the others join, silent voters are removed and come back with the same disk, and
// disks are lost in between.
func TestSchedulesOfMembers(t *testing.T) {
	randtest.Each(t, memberSchedules, func(seed uint64) error {
		w := foundWorld(seed, 5, 3)
		w.least = 3
		w.calm = int(seed%4) * 3
		w.slow = 1 + int(seed/4%3)*20
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

// TestChangedMembershipIsAnother changes memberships that others read: a status is given to
// all who ask, and what one of them made of it may not change it for the rest.
func TestChangedMembershipIsAnother(t *testing.T) {
	a, b, c := Member{ID: "a", Disk: "1", Voter: true}, Member{ID: "b", Disk: "2"}, Member{ID: "c", Disk: "3"}
	voter := b
	voter.Voter = true
	for name, test := range map[string]struct {
		change func(Membership) Membership
		want   []Member
	}{
		"added":          {func(m Membership) Membership { return m.With(c) }, []Member{a, b, c}},
		"made a voter":   {func(m Membership) Membership { return m.With(voter) }, []Member{a, voter}},
		"removed":        {func(m Membership) Membership { return m.Without("1") }, []Member{b}},
		"is not there":   {func(m Membership) Membership { return m.Without("9") }, []Member{a, b}},
		"removed, added": {func(m Membership) Membership { return m.Without("1").With(c) }, []Member{b, c}},
	} {
		t.Run(name, func(t *testing.T) {
			shared := Membership{Members: append(make([]Member, 0, 8), a, b)} // with room behind it
			if got := test.change(shared).Members; !slices.Equal(got, test.want) {
				t.Errorf("%v, want %v", got, test.want)
			}
			if !slices.Equal(shared.Members, []Member{a, b}) || shared.Members[:3][2] != (Member{}) {
				t.Errorf("the membership that was changed is now %v", shared.Members[:3])
			}
		})
	}
}
