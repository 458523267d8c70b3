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
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const (
	// seekMin and seekMax are the intervals at which a seed is asked while no voter is
	// connected. They double, so that hundreds of instances that start at once do not keep a few
	// seeds busy with questions.
	seekMin = 200 * time.Millisecond
	seekMax = 2 * time.Second
	// lookEvery is the interval at which the own replica's membership is looked at.
	lookEvery = 250 * time.Millisecond
)

// roster is the voters that this instance knows: those that its settings list, or
// those that seeds and the quorum have told. It is safe for concurrent use.
type roster struct {
	self    ident.InstanceID
	network *peer.Network

	mu      sync.Mutex
	voters  []ident.InstanceID
	changed quorum.Index // of the membership that the voters are from; 0 if they are not from one
}

// Voters returns the known voters in order.
func (r *roster) Voters() []ident.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.voters
}

// Changed returns the index of the known membership.
func (r *roster) Changed() quorum.Index {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Add adds instances that a seed told of.
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

// Replace takes a membership of the quorum, unless a newer one is known. It reports
// whether it did.
func (r *roster) Replace(to peer.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.Changed <= r.changed || len(to.Members) == 0 {
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
	r.changed = to.Changed
	return true
}

// connected reports whether another voter can be asked.
func (r *roster) connected() bool {
	return slices.ContainsFunc(r.Voters(), func(id ident.InstanceID) bool { return id != r.self && r.network.Connected(id) })
}

// seek is the duty that asks seeds while no other voter is connected, or the quorum's
// membership is not known: the only voter that is known may be cut off from the others.
func (in *Instance) seek(ctx context.Context) error {
	client := seed.NewClient()
	wait := seekMin
	next := rand.Int()
	for {
		if in.roster.connected() && in.roster.Changed() > 0 {
			wait = seekMin
		} else {
			seeds := in.seeds()
			in.askSeeds(ctx, client, seeds[next%len(seeds):next%len(seeds)+1])
			next++
			wait = min(2*wait, seekMax)
		}
		// Spread over a quarter, so that instances that started together do not stay together.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait + rand.N(wait/4)):
		}
	}
}

// askSeeds asks seeds and adds the voters that they tell of.
func (in *Instance) askSeeds(ctx context.Context, client *seed.Client, seeds []string) []seed.Info {
	replies := make(chan seed.Info, len(seeds))
	var wg sync.WaitGroup
	for _, addr := range seeds {
		wg.Go(func() {
			info, err := client.Query(ctx, addr)
			if err != nil {
				in.log.WithFields(logrus.Fields{"event": "seed_silent", "seed": addr, "cause": err}).Debug("seed does not answer")
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
	}
	return infos
}

// tellSeed answers an instance that knows only this one's control address.
func (in *Instance) tellSeed() seed.Info {
	info := seed.Info{Instance: seed.Instance{ID: in.settings.Instance, Address: in.settings.Peer}, Voter: in.voter != nil}
	if in.voter != nil {
		if node := in.voter.node.Load(); node != nil {
			info.Members = peer.RosterOf(node.Status()).Members
		}
	}
	return info
}

// follow is the duty of a voter that makes its roster follow its replica's
// membership.
func (v *voter) follow(ctx context.Context) error {
	return task.Every(ctx, lookEvery, func(context.Context) {
		node := v.node.Load()
		if node == nil {
			return
		}
		st := node.Status()
		if v.in.roster.Replace(peer.RosterOf(st)) {
			v.in.log.WithFields(logrus.Fields{"event": "members", "changed": st.MembersIndex, "voters": st.Members.Voters()}).Info("members of the quorum changed")
		}
	})
}
