package quorum

import (
	"fmt"
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/seeds"
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
		w.step(leader, Change{Members: next})
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
	seeds.Each(t, memberSchedules, func(seed uint64) error {
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
