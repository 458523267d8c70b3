package votes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/randtest"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// now is the time of the tests.
const now = clock.Time(time.Hour)

// member is a member as the leader sees it. The zero value is a voter that has just replied.
type member struct {
	id      ident.InstanceID // its instance; its own if empty
	learner bool
	lags    bool // it has not caught up
	silent  time.Duration
	asked   time.Duration // for which the leader has asked it; for long if 0
}

// statesOf returns the leader's view of members whose disks are d0, the leader's own, d1 and so on.
func statesOf(members []member) []quorum.MemberState {
	var states []quorum.MemberState
	for i, m := range members {
		if m.id == "" {
			m.id = ident.InstanceID(fmt.Sprint("i", i))
		}
		if m.asked == 0 {
			m.asked = time.Minute
		}
		states = append(states, quorum.MemberState{
			Member:      quorum.Member{ID: m.id, Disk: ident.DiskID(fmt.Sprint("d", i)), Voter: !m.learner},
			CaughtUp:    !m.lags,
			LastContact: now.Add(-m.silent),
			AskedSince:  now.Add(-m.asked),
		})
	}
	return states
}

// TestNext checks which change is due.
func TestNext(t *testing.T) {
	const brief, long = takeoverSilence - time.Millisecond, lostSilence
	for name, test := range map[string]struct {
		members []member // the first is the leader
		want    string   // disk and reason; empty if no change is due
	}{
		"all reply": {[]member{{}, {}, {}}, ""},

		"learner takes over":                {[]member{{}, {}, {silent: takeoverSilence}, {learner: true}}, "d2 taken over"},
		"then it votes":                     {[]member{{}, {}, {learner: true, silent: takeoverSilence}, {learner: true}}, "d3 added"},
		"learner lags":                      {[]member{{}, {}, {silent: takeoverSilence}, {learner: true, lags: true}}, ""},
		"learner is silent":                 {[]member{{}, {}, {silent: takeoverSilence}, {learner: true, silent: readySilence}}, ""},
		"voter is silent for a moment":      {[]member{{}, {}, {silent: brief}, {learner: true}}, ""},
		"the leader has just begun":         {[]member{{}, {}, {silent: time.Minute, asked: minAsked - 1}, {learner: true}}, ""},
		"of two silent ones the longer":     {[]member{{}, {}, {}, {silent: 3 * time.Second}, {silent: 4 * time.Second}, {learner: true}}, "d4 taken over"},
		"the same after the first of two":   {[]member{{}, {}, {}, {silent: 3 * time.Second}, {learner: true, silent: 4 * time.Second}, {learner: true}}, "d5 added"},
		"paused, back beside its successor": {[]member{{}, {}, {learner: true}, {}}, ""},

		"one learner beside three":   {[]member{{}, {}, {}, {learner: true}}, ""},
		"two learners beside three":  {[]member{{}, {}, {}, {learner: true}, {learner: true}}, "d3 added"},
		"then the second":            {[]member{{}, {}, {}, {}, {learner: true}}, "d4 added"},
		"two, of which one lags":     {[]member{{}, {}, {}, {learner: true}, {learner: true, lags: true}}, ""},
		"below the least number":     {[]member{{}, {learner: true}}, "d1 added"},
		"a lost learner":             {[]member{{}, {}, {}, {learner: true, silent: long}}, "d3 lost"},
		"a learner silent for 2 s":   {[]member{{}, {}, {}, {learner: true, silent: takeoverSilence}}, ""},
		"the only voter and learner": {[]member{{}}, ""},

		"a lost disk, its successor lags":   {[]member{{}, {}, {silent: brief}, {id: "i2", learner: true, lags: true}}, ""},
		"a lost disk, its successor is up":  {[]member{{}, {}, {silent: brief}, {id: "i2", learner: true}}, "d2 superseded"},
		"then the successor votes":          {[]member{{}, {}, {learner: true, silent: brief}, {id: "i2", learner: true}}, "d3 added"},
		"then the lost disk is no member":   {[]member{{}, {}, {learner: true, silent: brief}, {id: "i2"}}, "d2 superseded"},
		"a lost disk before a silent voter": {[]member{{}, {}, {}, {silent: time.Minute}, {silent: brief}, {id: "i4", learner: true}}, "d4 superseded"},

		// The cases of who is lost while no learner is ready.
		"one of three silent":             {[]member{{}, {silent: time.Hour}, {}}, ""},
		"one of five silent":              {[]member{{}, {}, {silent: time.Hour}, {}, {}}, ""},
		"one of four silent":              {[]member{{}, {}, {silent: long}, {}}, "d2 lost"},
		"one of four, not long enough":    {[]member{{}, {}, {silent: long - 1}, {}}, ""},
		"two of four silent":              {[]member{{}, {silent: long}, {silent: long}, {}}, "d1 lost"},
		"two of five paused or cut off":   {[]member{{}, {}, {}, {silent: 15 * time.Second}, {silent: 15 * time.Second}}, ""},
		"two of five absent":              {[]member{{}, {}, {}, {silent: absentSilence}, {silent: absentSilence}}, "d3 lost"},
		"the second of the two":           {[]member{{}, {}, {}, {silent: absentSilence}}, "d3 lost"},
		"two of three absent":             {[]member{{}, {silent: time.Hour}, {silent: time.Hour}}, ""},
		"one of five absent, one in part": {[]member{{}, {}, {}, {silent: absentSilence}, {silent: long}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			change, ok := Next(now, statesOf(test.members), "d0")
			got := ""
			if ok {
				got = fmt.Sprint(change.Member.Disk, " ", change.Reason)
			}
			if got != test.want {
				t.Errorf("%q %+v, want %q", got, change.Members, test.want)
			}
		})
	}
}

// TestLeave checks which changes are made when an instance stops.
func TestLeave(t *testing.T) {
	for name, test := range map[string]struct {
		members []member // the first is the leader, the second leaves
		want    string   // disks and reasons, in order
	}{
		"one of three":                    {[]member{{}, {}, {}}, ""},
		"one of three, a learner waits":   {[]member{{}, {}, {}, {learner: true}}, "d3 added, d1 leaves, "},
		"one of three, a learner lags":    {[]member{{}, {}, {}, {learner: true, lags: true}}, ""},
		"one of four":                     {[]member{{}, {}, {}, {}}, "d1 leaves, "},
		"one of five":                     {[]member{{}, {}, {}, {}, {}}, ""},
		"one of five, a learner waits":    {[]member{{}, {}, {}, {}, {}, {learner: true}}, "d5 added, d1 leaves, "},
		"one of five, another has ended":  {[]member{{}, {}, {}, {}, {silent: takeoverSilence}}, "d1 leaves, "},
		"one of five, two others have":    {[]member{{}, {}, {}, {silent: takeoverSilence}, {silent: takeoverSilence}}, ""},
		"one of two":                      {[]member{{}, {}}, "d1 leaves, "},
		"a learner":                       {[]member{{}, {learner: true}, {}, {}}, ""},
		"one of three, another has ended": {[]member{{}, {}, {silent: time.Minute}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			states, got := statesOf(test.members), ""
			for {
				change, ok := Leave(now, states, "d0", "i1")
				if !ok {
					break
				}
				if !majorityReplies(after(states, change.Members)) {
					t.Errorf("after %s of %s no majority replies", change.Reason, change.Member.Disk)
				}
				got += fmt.Sprint(change.Member.Disk, " ", change.Reason, ", ")
				states = after(states, change.Members)
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
	t.Run("the only voter", func(t *testing.T) {
		if change, ok := Leave(now, statesOf([]member{{}, {learner: true}}), "d0", "i0"); ok {
			t.Errorf("%+v, want no change", change)
		}
	})
}

// TestSilenceOutlivesLeader guards against a member that is gone and never counts as lost, because each new leader counts its
// silence anew.
func TestSilenceOutlivesLeader(t *testing.T) {
	began := now.Add(-minAsked) // of this leadership
	for name, test := range map[string]struct {
		replied bool          // to this leader
		down    time.Duration // for which there is no connection; 0 if there is one
		want    bool          // whether a learner takes over the vote
	}{
		"gone before the leadership began": {false, takeoverSilence, true},
		"gone a moment before":             {false, minAsked + time.Millisecond, false},
		"connected, has not replied":       {false, 0, false},
		"has replied since":                {true, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			states := statesOf([]member{{}, {}, {asked: minAsked, silent: minAsked}, {learner: true}})
			if test.replied {
				states[2].LastContact = began.Add(time.Millisecond)
			}
			states = WithLinks(states, func(id ident.InstanceID) (clock.Time, bool) {
				return now.Add(-test.down), test.down > 0 && id == states[2].Member.ID
			})
			if change, ok := Next(now, states, "d0"); ok != test.want {
				t.Errorf("%v %+v, want %v", ok, change, test.want)
			}
		})
	}
}

// TestMajorityIsBorne draws memberships of which a majority replies, and makes the changes that are due until there are none.
// Each changes one vote at most, and after each a majority of the votes still replies. In the end, no vote is silent that a
// learner could have taken over.
func TestMajorityIsBorne(t *testing.T) {
	silences := []time.Duration{0, 0, 0, 0, takeoverSilence, lostSilence, absentSilence}
	randtest.Each(t, 20_000, func(seed uint64) error {
		rng := rand.New(rand.NewPCG(seed, 1))
		members := []member{{}}
		for range rng.IntN(9) {
			m := member{silent: silences[rng.IntN(len(silences))], learner: rng.IntN(3) == 0, lags: rng.IntN(4) == 0}
			m.lags = m.lags && m.learner
			if rng.IntN(5) == 0 {
				m.id = ident.InstanceID(fmt.Sprint("i", rng.IntN(len(members))))
			}
			members = append(members, m)
		}
		states := statesOf(members)
		if !majorityReplies(states) {
			return nil
		}
		for range 3 * len(members) {
			change, ok := Next(now, states, "d0")
			if !ok {
				return checkSettled(states)
			}
			before := states
			states = after(states, change.Members)
			if n := changedVotes(before, states); n > 1 {
				return fmt.Errorf("%s of %s changes %d votes", change.Reason, change.Member.Disk, n)
			}
			if !majorityReplies(states) {
				return fmt.Errorf("after %s of %s no majority replies: %+v", change.Reason, change.Member.Disk, states)
			}
		}
		return fmt.Errorf("changes without end: %+v", states)
	})
}

// checkSettled checks memberships to which no change is due.
func checkSettled(states []quorum.MemberState) error {
	v := view{now: now, states: states, self: "d0"}
	if ready := len(v.readyLearners()); len(v.silentVoters(takeoverSilence)) > 0 && ready > 0 || ready > 1 {
		return fmt.Errorf("a learner could vote: %+v", states)
	}
	return nil
}

func majorityReplies(states []quorum.MemberState) bool {
	n, replying := 0, 0
	for _, s := range states {
		if s.Member.Voter {
			n++
			if now.Sub(s.LastContact) < readySilence {
				replying++
			}
		}
	}
	return replying > n/2
}

// after returns the states with a new membership.
func after(states []quorum.MemberState, members quorum.Membership) []quorum.MemberState {
	var next []quorum.MemberState
	for _, s := range states {
		if m, ok := members.Find(s.Member.Disk); ok {
			s.Member = m
			next = append(next, s)
		}
	}
	return next
}

// changedVotes counts the disks that vote either before or after a change.
func changedVotes(before, after []quorum.MemberState) int {
	votes := map[ident.DiskID]int{}
	for _, s := range before {
		if s.Member.Voter {
			votes[s.Member.Disk]++
		}
	}
	for _, s := range after {
		if s.Member.Voter {
			votes[s.Member.Disk]--
		}
	}
	n := 0
	for _, d := range votes {
		n += max(d, -d)
	}
	return n
}
