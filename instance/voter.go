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
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
)

// reopenEvery is the interval at which a failed disk is opened again.
const reopenEvery = 2 * time.Second

// voter keeps this instance's replica of the log and, while it leads, the coordinator.
//
// A replica whose disk fails ends, and the instance goes on as an entry. The disk is
// opened again until it takes writes, unless a sync failed: nobody knows what such
// a disk holds, and only its replacement helps.
type voter struct {
	in      *Instance
	machine *state.Machine

	mu          sync.Mutex
	store       *quorum.Store
	failed      error // of the disk, while the replica is stopped
	node        atomic.Pointer[quorum.Node]
	coordinator atomic.Pointer[leader.Coordinator]
	found       chan quorum.Membership
	disks       sync.Map // ident.DiskID to ident.InstanceID
	changes     sync.Mutex
}

func openVoter(in *Instance) (*voter, error) {
	store, err := quorum.OpenStore(in.settings.Data)
	if err != nil {
		return nil, err
	}
	return &voter{in: in, store: store, machine: state.NewMachine(), found: make(chan quorum.Membership, 1)}, nil
}

// disk returns the data folder as it is open now.
func (v *voter) disk() *quorum.Store {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store
}

// run keeps the replica until ctx ends.
func (v *voter) run(ctx context.Context) error {
	for {
		err := v.replicate(ctx)
		if ctx.Err() != nil {
			return err
		}
		v.stop(err)
		if err := v.reopen(ctx, err); err != nil {
			return err
		}
	}
}

// stop takes a replica that ended out of use.
func (v *voter) stop(cause error) {
	v.coordinator.Store(nil)
	v.node.Store(nil)
	v.mu.Lock()
	v.failed = cause
	v.mu.Unlock()
	v.in.log.WithFields(logrus.Fields{"event": "voter_stopped", "cause": cause}).Error("the replica stopped; the entry goes on")
}

// reopen opens the data folder again, as often as it takes.
func (v *voter) reopen(ctx context.Context, cause error) error {
	for {
		wait := time.After(reopenEvery)
		if errors.Is(cause, quorum.ErrSync) {
			wait = nil // for good
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		}
		store, err := quorum.OpenStore(v.in.settings.Data)
		if err != nil {
			v.in.log.WithFields(logrus.Fields{"event": "voter_not_reopened", "cause": err}).Error("data folder not opened")
			continue
		}
		v.mu.Lock()
		v.store, v.failed = store, nil
		v.mu.Unlock()
		v.in.log.WithField("event", "voter_reopened").Info("the replica starts again")
		return nil
	}
}

// state names what the replica does, for operators.
func (v *voter) state() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.failed != nil {
		return "stopped"
	}
	return "forming"
}

// replicate forms or joins the quorum, then runs the replica until ctx ends or its
// disk fails.
func (v *voter) replicate(ctx context.Context) error {
	defer func() { _ = v.disk().Close() }() // every write was synced
	if err := v.form(ctx); err != nil {
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
	_, _ = h.Write([]byte(v.in.settings.Instance)) // a hash never fails
	timing := quorum.DefaultTiming()
	node, err := quorum.NewNode(quorum.NodeConfig{Timing: timing, Seed: h.Sum64()}, v.disk(), v.machine, v.send)
	if err != nil {
		return err
	}
	coordinator := leader.NewCoordinator(leader.Config{
		Node: node, Machine: v.machine, Engines: v.in.orders(), Timing: timing,
		Stages: v.in.settings.Routing.Stages, Pause: v.in.settings.Timing.OrderInterval.AsDuration(),
		Targets: v.in.fleet.Records, Log: v.in.log,
	})
	node.Start(g)
	coordinator.Start(g)
	if len(v.in.seeds()) > 0 {
		g.Go("voter follow", v.follow)
		g.Go("voter join", v.join)
		g.Go("voter reap", v.reap)
	}
	v.node.Store(node)
	v.coordinator.Store(coordinator)
	return nil
}

// send carries a message of the quorum to the instance that holds the disk.
func (v *voter) send(m quorum.Message) {
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
	id, ok := v.disks.Load(d)
	if !ok {
		return "", false
	}
	return id.(ident.InstanceID), true
}

// receive takes a message of the quorum.
func (v *voter) receive(from ident.InstanceID, m quorum.Message) {
	node := v.node.Load()
	if node == nil {
		return
	}
	v.disks.Store(m.From, from)
	node.Receive(m)
}

// lead returns node and coordinator if this instance may act as leader right now.
func (v *voter) lead() (*quorum.Node, *leader.Coordinator, error) {
	node, coordinator := v.node.Load(), v.coordinator.Load()
	if coordinator == nil || !coordinator.Active() {
		return nil, nil, v.notLeader()
	}
	return node, coordinator, nil
}

func (v *voter) notLeader() error {
	f := peer.Failure{Kind: fault.NotLeader, Detail: "this instance does not lead"}
	if node := v.node.Load(); node != nil {
		leader := node.Status().Leader
		f.Leader, f.Address = leader.ID, leader.Address
	}
	return fault.Wrap(fault.NotLeader, &peer.RemoteError{Failure: f})
}

// handle answers a question that only the leader can answer.
func (v *voter) handle(ctx context.Context, b peer.Body) (peer.Body, error) {
	node, coordinator, err := v.lead()
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
		return nil, fault.New(fault.FrameInvalid, "unexpected message %T", b)
	}
}

func (v *voter) lookup(ctx context.Context, node *quorum.Node, id state.ReceiptID) (peer.Body, error) {
	if err := node.Barrier(ctx); err != nil {
		return nil, err
	}
	r, ok := v.machine.Receipt(id)
	return &peer.Found{Exists: ok, Receipt: r}, nil
}

// Report is the leader's report to operators.
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
}

// MemberReport is one replica in a Report.
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
		Instances: coordinator.Instances(), Waiting: coordinator.Waiting(), Receipts: v.machine.Counts(),
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

// leads reports whether this instance's replica is the leader, lease or not.
func (v *voter) leads() bool {
	node := v.node.Load()
	return node != nil && node.Status().Role == quorum.Leader
}

// handOver asks another voter to lead. It reports false if there is nothing to
// hand over, or nobody to hand it to.
func (v *voter) handOver() bool {
	node := v.node.Load()
	if node == nil || node.Status().Role != quorum.Leader || node.Status().Members.Voters() < 2 {
		return false
	}
	node.TransferLeadership()
	return true
}
