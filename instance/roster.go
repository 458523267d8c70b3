package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/internal/host/startup"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const (
	// seedRetryMin and seedRetryMax bound the interval between requests to seeds while no voter is
	// connected. The interval doubles, so that hundreds of instances that start at once do not
	// overload a few seeds.
	seedRetryMin = 200 * time.Millisecond
	seedRetryMax = 2 * time.Second
	// seedRetryStarting bounds the interval for startingTime after the start of the process: the seeds may have
	// started at the same moment.
	seedRetryStarting = 300 * time.Millisecond
	startingTime      = 5 * time.Second
	// seedTimeoutMin and seedTimeoutMax bound the wait for a seed's reply. A seed whose machine is down does not reply
	// at all, and the next one is asked only then; the shortest wait is many round trips between regions. It doubles
	// after each seed that did not reply, as seeds may be busy with hundreds of instances.
	seedTimeoutMin = 300 * time.Millisecond
	seedTimeoutMax = 1 * time.Second
	// membershipPollInterval is the interval at which a voter reads its replica's membership.
	membershipPollInterval = 250 * time.Millisecond
)

// roster holds the voters that this instance has found: those that its settings list, or those that
// seeds and the quorum have reported. It is safe for concurrent use.
type roster struct {
	self    ident.InstanceID
	network *peer.Network

	mu              sync.Mutex
	voters          []ident.InstanceID
	membershipIndex quorum.Index // log index of the membership in voters; 0 if from settings or seeds
}

// Voters returns the voters, sorted by ID. The caller must not modify the slice.
func (r *roster) Voters() []ident.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.voters
}

// MembershipIndex returns the log index of the recorded membership, 0 if there is none.
func (r *roster) MembershipIndex() quorum.Index {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membershipIndex
}

// Add adds voters that a seed or another voter reported.
func (r *roster) Add(found []seed.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	voters := slices.Clone(r.voters)
	for _, v := range found {
		r.network.SetPeer(v.ID, v.Address)
		if !slices.Contains(voters, v.ID) {
			voters = append(voters, v.ID)
		}
	}
	slices.Sort(voters)
	r.voters = voters
}

// Replace replaces the voters by a membership of the quorum and drops connections to voters that
// have left. It does nothing and returns false if the membership is empty or not newer than the
// recorded one.
func (r *roster) Replace(to peer.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.Index <= r.membershipIndex || len(to.Members) == 0 {
		return false
	}
	var voters []ident.InstanceID
	for _, v := range to.Members {
		r.network.SetPeer(v.ID, v.Address)
		if !slices.Contains(voters, v.ID) {
			voters = append(voters, v.ID)
		}
	}
	slices.Sort(voters)
	for _, id := range r.voters {
		if !slices.Contains(voters, id) {
			r.network.RemovePeer(id)
		}
	}
	r.voters = voters
	r.membershipIndex = to.Index
	return true
}

// connected reports whether a connection to another voter is up.
func (r *roster) connected() bool {
	return slices.ContainsFunc(r.Voters(), func(id ident.InstanceID) bool { return id != r.self && r.network.Connected(id) })
}

// findVoters is the background task that queries seeds, one at a time, while no other voter is
// connected or no membership of the quorum has been received. In the latter case, the only voter
// found so far may be partitioned from the others.
func (in *Instance) findVoters(ctx context.Context) error {
	client := seed.NewClient()
	wait := seedRetryMin
	next := rand.Int()
	starting := time.NewTimer(startingTime)
	defer starting.Stop()
	longest := seedRetryStarting
	timeout := seedTimeoutMin
	for {
		if in.roster.connected() && in.roster.MembershipIndex() > 0 {
			wait = seedRetryMin
		} else {
			seeds := in.seeds()
			timeout = nextSeedTimeout(timeout, in.querySeed(ctx, client, seeds[next%len(seeds)], timeout))
			next++
			wait = min(2*wait, longest)
		}
		// Up to a quarter of jitter keeps instances that started together from staying in step.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-starting.C:
			longest = seedRetryMax
		case <-time.After(wait + rand.N(wait/4)):
		}
	}
}

// querySeed queries one seed for at most timeout and reports whether it replied.
func (in *Instance) querySeed(ctx context.Context, client *seed.Client, addr string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return len(in.querySeeds(ctx, client, []string{addr})) > 0
}

// nextSeedTimeout returns the wait for the next seed after one that was given timeout.
func nextSeedTimeout(timeout time.Duration, replied bool) time.Duration {
	if replied {
		return seedTimeoutMin
	}
	return min(2*timeout, seedTimeoutMax)
}

// querySeeds queries seeds in parallel, adds the voters that they report to the roster and returns
// the replies.
func (in *Instance) querySeeds(ctx context.Context, client *seed.Client, seeds []string) []seed.Info {
	replies := make(chan seed.Info, len(seeds))
	var wg sync.WaitGroup
	for _, addr := range seeds {
		wg.Go(func() {
			info, err := client.Query(ctx, addr)
			if err != nil {
				in.log.WithFields(logrus.Fields{"event": "seed_silent", "seed": addr, "cause": err}).Debug("seed does not reply")
				return
			}
			replies <- info
		})
	}
	wg.Wait()
	close(replies)
	var infos []seed.Info
	for info := range replies {
		infos = append(infos, info)
		found := info.Members
		if info.Voter && len(found) == 0 {
			found = []seed.Instance{info.Instance}
		}
		in.roster.Add(found)
		if len(found) > 0 {
			in.reach(startup.Voter)
		}
	}
	return infos
}

// seedInfo returns the reply to an instance that uses this one as a seed.
func (in *Instance) seedInfo() seed.Info {
	info := seed.Info{Instance: seed.Instance{ID: in.settings.Instance, Address: in.settings.Peer}, Voter: in.voter != nil}
	if in.voter != nil {
		if node := in.voter.node.Load(); node != nil {
			info.Members = peer.RosterOf(node.Status()).Members
		}
	}
	return info
}

// followMembership is the background task that updates the roster of a voter from its replica's
// membership.
func (v *voter) followMembership(ctx context.Context) error {
	return task.Every(ctx, membershipPollInterval, func(context.Context) {
		node := v.node.Load()
		if node == nil {
			return
		}
		st := node.Status()
		if v.in.roster.Replace(peer.RosterOf(st)) {
			v.in.log.WithFields(logrus.Fields{"event": "members", "changed": st.MembersIndex, "voters": st.Members.Voters()}).Info("quorum membership changed")
		}
	})
}
