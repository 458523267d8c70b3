package instance

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/settings"
)

// TestUnknownLeader checks what a client does when its voters name a leader without a connection:
// it uses the address in the reply, or tries other voters if the reply has none.
func TestUnknownLeader(t *testing.T) {
	for name, test := range map[string]struct {
		address string
		answers ident.InstanceID // the instance that leads in the end
	}{
		"with its address":    {"10.0.0.9:1", "new"},
		"without its address": {"", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := map[ident.InstanceID]bool{"v1": true, "v2": true}
				began := time.Now()
				c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"v1", "v2"} }}
				c.addVoter = func(i seed.Instance) { known[i.ID] = true }
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

// TestFrozenLeader checks that a client does not return to an unresponsive leader while other
// voters still name it.
func TestFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elected := time.Now().Add(700 * time.Millisecond)
		c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"old", "v1", "v2"} }, leaderHint: "old"}
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
		if took := time.Since(began); took > attemptTimeout+200*time.Millisecond {
			t.Errorf("found the new leader after %v", took)
		}
	})
}

// TestLongPollEndsBeforeTimeouts checks the longest long poll, as with hundreds of instances, over
// links between regions: the reply arrives before the request times out, and a lost request can be
// repeated before the lease expires.
func TestLongPollEndsBeforeTimeouts(t *testing.T) {
	const roundTrip = 100 * time.Millisecond // round trip, with the queueing at a busy leader
	if leader.LongPollMax+roundTrip > attemptTimeout {
		t.Errorf("a reply delayed by %v arrives after the request timeout of %v", leader.LongPollMax, attemptTimeout)
	}
	if lost := attemptTimeout + leader.LongPollMax + 2*roundTrip; lost > leader.LeaseDuration {
		t.Errorf("a lost request and its repetition take %v, the lease lasts %v", lost, leader.LeaseDuration)
	}
}

// TestNamedLeaderIsAskedAtOnce checks that a client asks the leader that a voter names without a pause, and that two voters which
// name each other are not asked without end.
func TestNamedLeaderIsAskedAtOnce(t *testing.T) {
	names := func(id ident.InstanceID) error {
		return fault.Wrap(fault.NotLeader, &peer.RemoteError{Failure: peer.Failure{Kind: fault.NotLeader, Leader: id, Address: "10.0.0.1:1"}})
	}
	t.Run("a leader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"v1", "v2"} }, leaderHint: "v1"}
			c.call = func(_ context.Context, to ident.InstanceID, _ peer.Body) (peer.Body, error) {
				if to == "v2" {
					return &peer.Done{}, nil
				}
				return nil, names("v2")
			}
			if err := c.Member(t.Context(), peer.Member{}); err != nil || time.Since(began) > 0 {
				t.Errorf("error %v after %v", err, time.Since(began))
			}
		})
	})
	t.Run("each other", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			c := &leaderClient{voters: func() []ident.InstanceID { return []ident.InstanceID{"v1", "v2"} }, leaderHint: "v1"}
			c.call = func(_ context.Context, to ident.InstanceID, _ peer.Body) (peer.Body, error) {
				calls++
				if to == "v1" {
					return nil, names("v2")
				}
				return nil, names("v1")
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := c.Member(ctx, peer.Member{}); err == nil || calls > 20 {
				t.Errorf("error %v after %d calls", err, calls)
			}
		})
	})
}

// TestWithoutVoters checks that a client finds a voter soon after it is known, however long there was none.
func TestWithoutVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		const known = 2 * time.Second
		c := &leaderClient{voters: func() []ident.InstanceID {
			if time.Since(began) < known {
				return nil
			}
			return []ident.InstanceID{"v1"}
		}}
		c.call = func(context.Context, ident.InstanceID, peer.Body) (peer.Body, error) { return &peer.Done{}, nil }
		if err := c.Member(t.Context(), peer.Member{}); err != nil || time.Since(began) > known+2*minRetryPause {
			t.Errorf("error %v after %v, want it at most %v after a voter is known", err, time.Since(began), 2*minRetryPause)
		}
	})
}

// TestJoinAtEarlierLeader guards against a voter that can't join while the leader is of an earlier version, which does not know
// how to add a learner.
func TestJoinAtEarlierLeader(t *testing.T) {
	var asked []peer.MemberChange
	c := &leaderClient{self: "v1", voters: func() []ident.InstanceID { return []ident.InstanceID{"v1"} }}
	c.local = func(_ context.Context, _ ident.InstanceID, b peer.Body) (peer.Body, error) {
		m := b.(*peer.Member)
		asked = append(asked, m.Change)
		if m.Change == peer.MemberJoin {
			return nil, fault.New(fault.BadRequest, "member change: want add or remove, not %q", m.Change)
		}
		return &peer.Done{}, nil
	}
	v := &voter{in: &Instance{settings: &settings.Settings{Instance: "v1"}, leader: c}}
	if err := v.requestJoin(t.Context()); err != nil || !slices.Equal(asked, []peer.MemberChange{peer.MemberJoin, peer.MemberAdd}) {
		t.Errorf("asked for %v, error %v", asked, err)
	}
}
