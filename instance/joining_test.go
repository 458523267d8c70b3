package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// TestLostMember checks which silent members are removed and that minVoters voters remain.
func TestLostMember(t *testing.T) {
	now := clock.Time(time.Hour)
	heard, silent := now.Add(-time.Second), now.Add(-memberLostAfter)
	type member struct {
		voter bool
		heard clock.Time
	}
	for name, test := range map[string]struct {
		members []member // the first is the leader itself
		want    ident.DiskID
	}{
		"all in contact":             {[]member{{true, 0}, {true, heard}, {true, heard}, {true, heard}}, ""},
		"one of five silent":         {[]member{{true, 0}, {true, heard}, {true, silent}, {true, heard}, {true, heard}}, "d2"},
		"one of three silent":        {[]member{{true, 0}, {true, silent}, {true, heard}}, ""},
		"a learner beside three":     {[]member{{true, 0}, {true, heard}, {true, heard}, {false, silent}}, "d3"},
		"four of which two are gone": {[]member{{true, 0}, {true, silent}, {true, silent}, {true, heard}}, "d1"},
		"no contact time of itself":  {[]member{{true, 0}, {true, heard}, {true, heard}, {true, heard}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var states []quorum.MemberState
			for i, m := range test.members {
				states = append(states, quorum.MemberState{
					Member: quorum.Member{Disk: ident.DiskID(fmt.Sprint("d", i)), Voter: m.voter}, LastContact: m.heard,
				})
			}
			lost, ok := lostMember(now, states, "d0")
			if ok != (test.want != "") || lost.Disk != test.want {
				t.Errorf("%v %+v, want %q", ok, lost, test.want)
			}
		})
	}
}
