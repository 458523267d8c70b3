package quorum

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// StateMachine is the replicated state that committed commands act on. Its methods
// are called by one duty; Apply must depend on its arguments only.
type StateMachine interface {
	// Apply executes the command of entry i and returns its result.
	Apply(i Index, command []byte) any
	// Snapshot returns the state as bytes for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the state. Nil data means the empty state.
	Restore(data []byte) error
}

// Sender hands a message to the transport. It must not block; a message that
// cannot be sent is dropped.
type Sender func(m Message)

// Bounds of the node's rings and batches.
const (
	inputRing       = 8192
	diskRing        = 8192
	applyRing       = 8192
	maxProposeBatch = 512
	maxDiskBatch    = 1024
	tickEvery       = 10 * time.Millisecond

	// DefaultSnapshotEvery is the number of applied entries between snapshots.
	DefaultSnapshotEvery = 8192
)

// NodeConfig is what a Node is started with.
type NodeConfig struct {
	Timing         Timing
	SnapshotEvery  Index // 0 means DefaultSnapshotEvery
	Seed           uint64
	SyncEachRecord bool // one sync for each record, for comparison only
}

type input struct {
	event Event
	reply chan reply // for proposals, reads and changes
}

type reply struct {
	index  Index
	result any
	err    error
}

// waiter is a proposal that was appended and awaits its entry's application.
type waiter struct {
	term  Term
	reply chan reply
}

// Node runs a Core on a Store: one duty steps the core, one syncs the disk, one
// applies committed commands. Its methods are safe for concurrent use.
type Node struct {
	cfg     NodeConfig
	store   *Store
	machine StateMachine
	send    Sender
	core    *Core

	inputs *queue.Queue[input]
	disk   chan any // Persist or saveSnapshot, in order
	apply  chan any // Apply, Restore or ReadReady, in order

	start   SnapshotMeta // of the snapshot that the node started from
	nextID  uint64
	pending map[uint64]chan reply // owned by the core duty

	mu      sync.Mutex
	waiters map[Index]waiter
	reads   map[uint64]chan reply

	status   atomic.Pointer[Status]
	states   atomic.Pointer[[]MemberState]
	snapshot atomic.Pointer[InstallSnapshot]
	ready    atomic.Int64 // end of the usable lease as clock.Time; 0 if none
	rejected atomic.Bool
	synced   atomic.Uint64 // newest synced Persist
	syncedC  chan struct{}
}

// NewNode returns a node that continues from the store. Start runs it.
func NewNode(cfg NodeConfig, store *Store, machine StateMachine, send Sender) (*Node, error) {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	stored := store.Stored()
	n := &Node{
		cfg: cfg, store: store, machine: machine, send: send,
		core: New(Config{
			Self: store.Disk(), Boot: Boot(time.Now().UnixNano()), Timing: cfg.Timing, Seed: cfg.Seed,
		}, stored),
		start:   stored.Meta,
		inputs:  queue.New[input]("quorum input", inputRing),
		disk:    make(chan any, diskRing),
		apply:   make(chan any, applyRing),
		pending: map[uint64]chan reply{},
		waiters: map[Index]waiter{},
		reads:   map[uint64]chan reply{},
		syncedC: make(chan struct{}, 1),
	}
	if err := machine.Restore(store.SnapshotData()); err != nil {
		return nil, err
	}
	n.snapshot.Store(&InstallSnapshot{Meta: stored.Meta, Data: store.SnapshotData()})
	n.publish(clock.Now())
	return n, nil
}

// Start adds the node's duties to g.
func (n *Node) Start(g *task.Group) {
	g.Go("quorum core", n.runCore)
	g.Go("quorum disk", n.runDisk)
	g.Go("quorum apply", n.runApply)
}

// Status returns the core's status after its latest step.
func (n *Node) Status() Status { return *n.status.Load() }

// MemberStates returns the leader's view of the members; it is empty elsewhere.
func (n *Node) MemberStates() []MemberState { return *n.states.Load() }

// Disk returns the identity of the node's data folder.
func (n *Node) Disk() ident.DiskID { return n.store.Disk() }

// DiskRejected reports whether the leader found that the disk lost synced data.
func (n *Node) DiskRejected() bool { return n.rejected.Load() }

// LeaseEnd returns the end of the leader lease, or 0 if this member may not act as
// leader. A caller compares it with clock.Now directly before it acts.
func (n *Node) LeaseEnd() clock.Time { return clock.Time(n.ready.Load()) }

// Leads reports whether this member may act as leader right now.
func (n *Node) Leads() bool { return clock.Now().Before(n.LeaseEnd()) }

// Receive takes a message of another member. A full ring drops it.
func (n *Node) Receive(m Message) {
	_ = n.inputs.Push(input{event: Receive{Message: m}}) // the protocol sends again
}

// TransferLeadership asks this member to hand over leadership if it leads.
func (n *Node) TransferLeadership() {
	_ = n.inputs.Push(input{event: TransferLeadership{}}) // a full ring means no orderly transfer
}

// Propose appends a command and returns the result of its application. Errors:
// fault.NotLeader and fault.Overloaded if nothing was appended, fault.NoQuorum if
// the outcome is not known when ctx ends or leadership is lost.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	r, err := n.ask(ctx, Propose{Proposals: []Proposal{{Data: command}}})
	return r.result, err
}

// Barrier waits until the machine reflects every command that was committed
// before the call. Only the leader can tell.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.ask(ctx, Read{})
	return err
}

// ChangeMembers replaces the membership; see Change for what is allowed.
func (n *Node) ChangeMembers(ctx context.Context, m Membership) error {
	_, err := n.ask(ctx, ChangeMembers{Members: m})
	return err
}

func (n *Node) ask(ctx context.Context, ev Event) (reply, error) {
	c := make(chan reply, 1)
	if err := n.inputs.Push(input{event: ev, reply: c}); err != nil {
		return reply{}, err
	}
	select {
	case r := <-c:
		return r, r.err
	case <-ctx.Done():
		return reply{}, fault.New(fault.NoQuorum, "no commit: %v", ctx.Err())
	}
}

// runCore is the duty that steps the core.
func (n *Node) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			err = n.step(ctx, Tick{})
		case <-n.syncedC:
			err = n.step(ctx, Persisted{Seq: n.synced.Load()})
		case in := <-n.inputs.C():
			err = n.take(ctx, in)
		}
		if err != nil {
			return err
		}
	}
}

// take steps one input; proposals that wait behind it go into one batch.
func (n *Node) take(ctx context.Context, in input) error {
	var batch []Proposal
	var err error
	flush := func() {
		if len(batch) > 0 && err == nil {
			err = n.step(ctx, Propose{Proposals: batch})
		}
		batch = nil
	}
	handle := func(in input) {
		p, ok := in.event.(Propose)
		if !ok {
			flush()
			if err == nil {
				err = n.step(ctx, n.register(in))
			}
			return
		}
		batch = append(batch, Proposal{ID: n.remember(in.reply), Data: p.Proposals[0].Data})
	}
	handle(in)
	n.inputs.Drain(maxProposeBatch, handle)
	flush()
	return err
}

func (n *Node) remember(c chan reply) uint64 {
	n.nextID++
	n.pending[n.nextID] = c
	return n.nextID
}

// register gives an input that wants a reply its id.
func (n *Node) register(in input) Event {
	switch ev := in.event.(type) {
	case Read:
		ev.ID = n.remember(in.reply)
		return ev
	case ChangeMembers:
		ev.ID = n.remember(in.reply)
		return ev
	default:
		return in.event
	}
}

func (n *Node) step(ctx context.Context, ev Event) error {
	now := clock.Now()
	for _, a := range n.core.Step(now, ev) {
		if err := n.perform(ctx, a); err != nil {
			return err
		}
	}
	n.publish(now)
	return nil
}

func (n *Node) publish(now clock.Time) {
	st := n.core.Status()
	n.status.Store(&st)
	states := n.core.MemberStates()
	n.states.Store(&states)
	var lease clock.Time
	if n.core.Ready(now) {
		lease = st.LeaseEnd
	}
	n.ready.Store(int64(lease))
}

func (n *Node) perform(ctx context.Context, a Action) error {
	switch a := a.(type) {
	case Send:
		n.send(a.Message)
	case Persist:
		return put(ctx, n.disk, any(a))
	case Apply, Restore:
		return put(ctx, n.apply, any(a))
	case ReadReady:
		n.mu.Lock()
		n.reads[a.ID] = n.forget(a.ID)
		n.mu.Unlock()
		return put(ctx, n.apply, any(a))
	case Appended:
		n.mu.Lock()
		n.waiters[a.Index] = waiter{term: a.Term, reply: n.forget(a.ID)}
		n.mu.Unlock()
	case Refused:
		n.forget(a.ID) <- reply{err: a.Reason}
	case SendSnapshot:
		n.sendSnapshot(a)
	case DiskRejected:
		n.rejected.Store(true)
	}
	return nil
}

func (n *Node) forget(id uint64) chan reply {
	c := n.pending[id]
	delete(n.pending, id)
	return c
}

// put waits for room: a member whose disk or state cannot follow must not go on.
func put(ctx context.Context, c chan any, v any) error {
	select {
	case c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) sendSnapshot(a SendSnapshot) {
	in := *n.snapshot.Load()
	in.Round = a.Round
	n.send(Message{
		From: n.store.Disk(), To: a.To, Term: a.Term, Boot: n.core.cfg.Boot, Install: &in,
	})
}
