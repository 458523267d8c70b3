package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
)

// Where seeds replace listed peers, the set of voters changes automatically. The voters among the
// seeds form the first quorum if the settings mark the system as new. Every other voter requests to
// be added by the leader, also after its disk was replaced by an empty one or after it was removed
// as lost. The leader decides which of the members vote; see voting.go.

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// learnerInterval is the interval at which a learner asks for a vote. The leader gives it one unasked; a leader of an
	// earlier version does so only when it is asked.
	learnerInterval = 5 * time.Second
)

// founders returns the voters among the seeds, sorted by ID. ok is false until every seed has
// replied as a voter.
func (v *voter) founders(ctx context.Context) (founders []seed.Instance, ok bool) {
	for _, info := range v.in.querySeeds(ctx, seed.NewClient(), v.in.seeds()) {
		if info.Voter && !slices.Contains(founders, info.Instance) {
			founders = append(founders, info.Instance)
		}
	}
	slices.SortFunc(founders, func(a, b seed.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return founders, len(founders) == len(v.in.seeds())
}

// join is the background task that requests the leader to add this disk as long as it has no vote.
func (v *voter) join(ctx context.Context) error {
	var asked clock.Time
	return task.Every(ctx, joinInterval, func(ctx context.Context) {
		interval, needed := v.needsJoin()
		if !needed || clock.Now().Sub(asked) < interval {
			return
		}
		asked = clock.Now()
		err := v.requestJoin(ctx)
		v.in.log.WithFields(logrus.Fields{"event": "join_asked", "disk": v.disk().Disk(), "cause": err}).Info("requested to be added as a voter; repeated until this disk has a vote and a leader")
	})
}

// requestJoin requests to be added as a learner, or as a voter where the leader is of an earlier version.
func (v *voter) requestJoin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	m := peer.Member{Instance: v.in.settings.Instance, Change: peer.MemberJoin, Address: v.in.settings.Peer}
	err := v.in.leader.Member(ctx, m)
	if !fault.Is(err, fault.BadRequest) {
		return err
	}
	m.Change = peer.MemberAdd
	return v.in.leader.Member(ctx, m)
}

// needsJoin reports whether this disk has no vote in its recorded membership or has no contact with
// a leader: it may have been removed without receiving that change. interval is how often it asks then.
func (v *voter) needsJoin() (interval time.Duration, needed bool) {
	node := v.node.Load()
	if node == nil || v.in.stages.isLeaving() {
		return 0, false
	}
	st := node.Status()
	m, known := st.Members.Find(v.disk().Disk())
	switch {
	case !known || st.Leader.ID == "":
		return 0, true
	case !m.Voter:
		return learnerInterval, true
	default:
		return 0, false
	}
}
