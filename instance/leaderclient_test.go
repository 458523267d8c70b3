package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
)

// TestUnknownLeader checks that a client whose voters name a leader that it does not know
// takes the address that comes along, and goes on to other voters when it has none.
func TestUnknownLeader(t *testing.T) {
	for name, test := range map[string]struct {
		address string
		answers ident.InstanceID // the one that leads in the end
	}{
		"with its address":    {"10.0.0.9:1", "new"},
		"without its address": {"", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := map[ident.InstanceID]bool{"v1": true, "v2": true}
				began := time.Now()
				c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"v1", "v2"} }}
				c.found = func(i seed.Instance) { known[i.ID] = true }
				c.call = func(_ context.Context, to ident.InstanceID, _ peer.Body) (peer.Body, error) {
					switch {
					case !known[to]:
						return nil, fault.WithRan(fault.New(fault.Overloaded, "no instance is named %q", to), fault.RanNo)
					case to == test.answers && time.Since(began) > time.Second:
						return &peer.Done{}, nil
					default:
						return nil, fault.Wrap(fault.NotLeader, &peer.RemoteError{Failure: peer.Failure{
							Kind: fault.NotLeader, Leader: "new", Address: test.address,
						}})
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				if err := c.Member(ctx, peer.Member{}); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestFrozenLeader checks that a client does not go back to a leader that gives no answer
// because other voters still name it.
func TestFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elected := time.Now().Add(700 * time.Millisecond)
		c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"old", "v1", "v2"} }, hint: "old"}
		c.call = func(ctx context.Context, to ident.InstanceID, _ peer.Body) (peer.Body, error) {
			leader := ident.InstanceID("old")
			if time.Now().After(elected) {
				leader = "v2"
			}
			switch {
			case to == "old":
				<-ctx.Done()
				return nil, fault.New(fault.NoQuorum, "no reply")
			case to == leader:
				return &peer.Done{}, nil
			default:
				return nil, fault.Wrap(fault.NotLeader, &peer.RemoteError{Failure: peer.Failure{Kind: fault.NotLeader, Leader: leader}})
			}
		}
		began := time.Now()
		if err := c.Member(t.Context(), peer.Member{}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > tryTime+200*time.Millisecond {
			t.Errorf("found the new leader after %v", took)
		}
	})
}

// TestHeldAnswersComeInTime replays hundreds of instances whose questions the leader holds back for as long as it may, over
// links between regions: no question is given up before its answer can be there, and one that is lost can be put again
// before the lease ends.
func TestHeldAnswersComeInTime(t *testing.T) {
	const way = 100 * time.Millisecond // there and back, with the wait for a busy leader
	if leader.LongPollMax+way > tryTime {
		t.Errorf("an answer held for %v comes after %v, when its question was given up", leader.LongPollMax, tryTime)
	}
	if lost := tryTime + leader.LongPollMax + 2*way; lost > leader.LeaseDuration {
		t.Errorf("a lost question and the next one take %v, the lease lasts %v", lost, leader.LeaseDuration)
	}
}
