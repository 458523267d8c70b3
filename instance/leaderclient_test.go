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
