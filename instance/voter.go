package instance

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
)

// reopenInterval is the interval between attempts to reopen a failed disk.
const reopenInterval = 2 * time.Second

// voter runs this instance's replica of the log and the coordinator, which is active while the
// replica leads.
//
// A replica whose disk fails stops, and the instance continues as an entry. The disk is reopened
// until it accepts writes. After a failed sync, which a full disk may cause too, it is unknown what the files
// hold, so they are written anew from what is in memory.
type voter struct {
	in      *Instance
	machine *state.Machine

	mu          sync.Mutex
	store       *quorum.Store
	stopCause   error // the disk's error while the replica is stopped
	node        atomic.Pointer[quorum.Node]
	coordinator atomic.Pointer[leader.Coordinator]
	founding    chan quorum.Membership // founding membership received from the founder
	diskOwners  sync.Map               // instance of each disk seen, ident.DiskID to ident.InstanceID
	changeLock  sync.Mutex             // held during a membership change
}

func openVoter(in *Instance) (*voter, error) {
	store, err := quorum.OpenStore(in.settings.Data)
	if err != nil {
		return nil, err
	}
	return &voter{in: in, store: store, machine: state.NewMachine(), founding: make(chan quorum.Membership, 1)}, nil
}

// disk returns the currently open data directory.
func (v *voter) disk() *quorum.Store {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store
}

// run runs the replica until ctx ends and restarts it after disk failures.
func (v *voter) run(ctx context.Context) error {
	for {
		err := v.replicate(ctx)
		if ctx.Err() != nil {
			return err
		}
		v.markStopped(err)
		if err := v.reopen(ctx, err); err != nil {
			return err
		}
	}
}

// markStopped clears the node and the coordinator of a replica that stopped, and records the cause.
func (v *voter) markStopped(cause error) {
	v.coordinator.Store(nil)
	v.node.Store(nil)
	v.mu.Lock()
	v.stopCause = cause
	v.mu.Unlock()
	v.in.log.WithFields(logrus.Fields{"event": "voter_stopped", "cause": cause}).Error("the replica stopped; the instance continues without it")
}

// reopen tries to make the data directory usable again until it succeeds or ctx ends.
func (v *voter) reopen(ctx context.Context, cause error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenInterval):
		}
		store, err := v.reopenStore(cause)
		if err != nil {
			v.in.log.WithFields(logrus.Fields{"event": "voter_not_reopened", "cause": err}).Error("data directory cannot be opened; retrying")
			continue
		}
		v.mu.Lock()
		v.store, v.stopCause = store, nil
		v.mu.Unlock()
		v.in.log.WithField("event", "voter_reopened").Info("data directory reopened; the replica restarts")
		return nil
	}
}

// reopenStore opens the data directory after a failed write, and writes it anew after a failed sync.
func (v *voter) reopenStore(cause error) (*quorum.Store, error) {
	if !errors.Is(cause, quorum.ErrSync) {
		return quorum.OpenStore(v.in.settings.Data)
	}
	store := v.disk()
	return store, store.Rewrite()
}

// stateName returns the state of a replica without a node, for operators.
func (v *voter) stateName() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopCause != nil {
		return "stopped"
	}
	return "forming"
}

// replicate finds or founds the quorum, then runs the replica until ctx ends or its disk fails.
func (v *voter) replicate(ctx context.Context) error {
	defer func() { _ = v.disk().Close() }() // every write is synced already
	if err := v.findQuorum(ctx); err != nil {
		return err
	}
	g := task.New(ctx)
	if err := v.start(g); err != nil {
		return err
	}
	return g.Wait()
}

func (v *voter) start(g *task.Group) error {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.in.settings.Instance)) // Write of a hash never fails
	timing := quorum.DefaultTiming()
	cfg := quorum.NodeConfig{Timing: timing, Seed: h.Sum64(), ReportDelay: v.logDelay}
	node, err := quorum.NewNode(cfg, v.disk(), v.machine, v.sendQuorum)
	if err != nil {
		return err
	}
	coordinator := leader.NewCoordinator(leader.Config{
		Node: node, Machine: v.machine, Engines: v.in.orderClient(), Timing: timing,
		Stages: v.in.settings.Routing.Stages, Permits: v.in.settings.Routing.Permits, Pause: v.in.settings.Timing.OrderInterval.AsDuration(),
		Duties: v.in.dutyConfig(), Targets: v.in.targetPool.Records, Log: v.in.log,
	})
	node.Start(g)
	coordinator.Start(g)
	if len(v.in.seeds()) > 0 {
		g.Go("voter follow", v.followMembership)
		g.Go("voter join", v.join)
		g.Go("voter assign votes", v.assignVotes)
	}
	v.node.Store(node)
	v.coordinator.Store(coordinator)
	return nil
}

// logDelay logs what kept the replica from its work.
func (v *voter) logDelay(d quorum.Delay) {
	switch d := d.(type) {
	case quorum.SlowWrite:
		v.in.log.WithFields(logrus.Fields{"event": "disk_slow", "ms": d.Took.Milliseconds()}).Warn("a write to the data directory took long")
	case quorum.Pause:
		v.in.log.WithFields(logrus.Fields{"event": "paused", "ms": d.Took.Milliseconds()}).Warn("this replica did not run for a time")
	}
}

// sendQuorum sends a message of the quorum protocol to the instance that owns the disk. It drops
// the message if the owner is unknown.
func (v *voter) sendQuorum(m quorum.Message) {
	if id, ok := v.instanceOf(m.To); ok {
		v.in.network.Send(id, &peer.Quorum{Message: m})
	}
}

func (v *voter) instanceOf(d ident.DiskID) (ident.InstanceID, bool) {
	if node := v.node.Load(); node != nil {
		if m, ok := node.Status().Members.Find(d); ok {
			return m.ID, true
		}
	}
	id, ok := v.diskOwners.Load(d)
	if !ok {
		return "", false
	}
	return id.(ident.InstanceID), true
}

// receive passes a message of the quorum protocol to the node and records the owner of its disk.
func (v *voter) receive(from ident.InstanceID, m quorum.Message) {
	node := v.node.Load()
	if node == nil {
		return
	}
	v.diskOwners.Store(m.From, from)
	node.Receive(m)
}

// activeLeader returns the node and the coordinator if this instance may act as leader right now,
// and a fault.NotLeader error with the current leader otherwise.
func (v *voter) activeLeader() (*quorum.Node, *leader.Coordinator, error) {
	node, coordinator := v.node.Load(), v.coordinator.Load()
	if coordinator == nil || !coordinator.Active() {
		return nil, nil, v.notLeaderError()
	}
	return node, coordinator, nil
}

func (v *voter) notLeaderError() error {
	f := peer.Failure{Kind: fault.NotLeader, Detail: "this instance is not the leader"}
	if node := v.node.Load(); node != nil {
		leader := node.Status().Leader
		f.Leader, f.Address = leader.ID, leader.Address
	}
	return fault.Wrap(fault.NotLeader, &peer.RemoteError{Failure: f})
}

// handle processes a request that only the leader can serve.
func (v *voter) handle(ctx context.Context, b peer.Body) (peer.Body, error) {
	node, coordinator, err := v.activeLeader()
	if err != nil {
		return nil, err
	}
	switch b := b.(type) {
	case *peer.Lease:
		return coordinator.Grant(ctx, b)
	case *peer.Share:
		return coordinator.ExchangeLoads(b), nil
	case *peer.Works:
		coordinator.RecordWork(b)
		return &peer.Done{}, nil
	case *peer.Acquire:
		return coordinator.Acquire(b)
	case *peer.Usage:
		return coordinator.RecordUsage(b)
	case *peer.Failing:
		return coordinator.ExchangeFailures(b), nil
	case *peer.Propose:
		result, err := node.Propose(ctx, b.Command)
		if err != nil {
			return nil, err
		}
		return &peer.Proposed{Result: result.(state.Result)}, nil
	case *peer.Lookup:
		return v.lookup(ctx, node, b.ID)
	case *peer.Force:
		ok, waiting := coordinator.InForce(b.Version)
		return &peer.Forced{InForce: ok, Waiting: waiting}, nil
	case *peer.ViewAsk:
		if err := node.Barrier(ctx); err != nil {
			return nil, err
		}
		return &peer.ViewGive{View: v.machine.View()}, nil
	case *peer.Member:
		return &peer.Done{}, v.changeMember(ctx, node, *b)
	case *peer.Status:
		return v.report(node, coordinator)
	default:
		return nil, fault.New(fault.FrameInvalid, "unexpected message of type %T to the leader", b)
	}
}

func (v *voter) lookup(ctx context.Context, node *quorum.Node, id state.ReceiptID) (peer.Body, error) {
	if err := node.Barrier(ctx); err != nil {
		return nil, err
	}
	r, ok := v.machine.Receipt(id)
	return &peer.Found{Exists: ok, Receipt: r}, nil
}

// Report is the leader's status report for operators.
type Report struct {
	Leader    ident.InstanceID         `json:"leader"`
	Term      quorum.Term              `json:"term"`
	Index     quorum.Index             `json:"index"`
	Number    ident.DocumentNumber     `json:"number"`
	Members   []MemberReport           `json:"members"`
	Instances []leader.Instance        `json:"instances"`
	Open      []state.Order            `json:"open"`
	Settled   []state.Order            `json:"settled"`
	Waiting   map[ident.OrderID]string `json:"waiting"`
	Receipts  state.Counts             `json:"receipts"`
	Limits    []permit.Status          `json:"limits"`
	// Duties are the duties of one instance at a time; nil if there are none.
	Duties *leader.DutyReport `json:"duties,omitempty"`
}

// MemberReport describes one replica in a Report.
type MemberReport struct {
	Instance ident.InstanceID `json:"instance"`
	Disk     ident.DiskID     `json:"disk"`
	Voter    bool             `json:"voter"`
	Match    quorum.Index     `json:"match"`
	Rejected bool             `json:"rejected,omitempty"`
}

func (v *voter) report(node *quorum.Node, coordinator *leader.Coordinator) (peer.Body, error) {
	st := node.Status()
	r := Report{
		Leader: v.in.settings.Instance, Term: st.Term, Index: st.CommitIndex, Number: v.machine.View().Number,
		Instances: coordinator.Instances(), Waiting: coordinator.WaitReasons(), Receipts: v.machine.Counts(), Limits: coordinator.Limits(), Duties: coordinator.Duties(),
	}
	r.Open, r.Settled = v.machine.Orders()
	for _, m := range node.MemberStates() {
		r.Members = append(r.Members, MemberReport{
			Instance: m.Member.ID, Disk: m.Member.Disk, Voter: m.Member.Voter, Match: m.MatchIndex, Rejected: m.Rejected,
		})
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	return &peer.Report{JSON: data}, nil
}

// isLeader reports whether this instance's replica is the leader, with or without a valid lease.
func (v *voter) isLeader() bool {
	node := v.node.Load()
	return node != nil && node.Status().Role == quorum.Leader
}

// transferLeadership starts to transfer the leadership to another voter. It returns false if this
// replica does not lead or is the only voter.
func (v *voter) transferLeadership() bool {
	node := v.node.Load()
	if node == nil || node.Status().Role != quorum.Leader || node.Status().Members.Voters() < 2 {
		return false
	}
	node.TransferLeadership()
	return true
}
