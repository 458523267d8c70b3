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

// StateMachine is the replicated state to which committed commands are applied. NewNode
// calls Restore; after Start, the node calls the methods from one goroutine. Apply must
// be deterministic: its result may depend only on its arguments and the earlier
// commands.
type StateMachine interface {
	// Apply executes the command of entry i and returns its result.
	Apply(i Index, command []byte) any
	// Snapshot returns the state as bytes for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the state. Nil data means the empty state.
	Restore(data []byte) error
}

// Sender passes a message to the transport. It must not block; it drops a message
// that it cannot send.
type Sender func(m Message)

// Bounds of the node's queues and batches.
const (
	inputQueueSize  = 8192
	diskQueueSize   = 8192
	applyQueueSize  = 8192
	maxProposeBatch = 512
	maxDiskBatch    = 1024
	tickInterval    = 10 * time.Millisecond

	// DefaultSnapshotEvery is the number of applied entries between snapshots.
	DefaultSnapshotEvery = 8192
)

// NodeConfig configures a Node.
type NodeConfig struct {
	Timing         Timing
	SnapshotEvery  Index  // 0 means DefaultSnapshotEvery
	Seed           uint64 // seed of the random election timeouts
	SyncEachRecord bool   // sync after each record instead of each batch; for benchmarks only
	// ReportDelay receives a Delay of minReportedDelay or longer, once it is over. It must not block, and it may be nil. It is
	// called by two goroutines.
	ReportDelay func(Delay)
}

// minReportedDelay is the shortest delay that is reported. One that is not much longer can end a leader's lease.
const minReportedDelay = 300 * time.Millisecond

// Delay is what kept this member from its work: a SlowWrite or a Pause.
type Delay interface{ length() time.Duration }

// SlowWrite is a write to the disk, with its sync, that took long. The disk was slow, or the member was paused meanwhile.
type SlowWrite struct{ Took time.Duration }

// Pause is a time in which the member did not run, though it was due every tickInterval.
type Pause struct{ Took time.Duration }

func (d SlowWrite) length() time.Duration { return d.Took }
func (d Pause) length() time.Duration     { return d.Took }

// input is an event for the core.
type input struct {
	event Event
	reply chan reply // set for proposals, reads and membership changes
}

// reply is the outcome of a proposal, read or membership change.
type reply struct {
	index  Index
	result any
	err    error
}

// waiter is a proposal that was appended to the log and waits until its entry is
// applied.
type waiter struct {
	term  Term
	reply chan reply
}

// Node runs a Core with a Store in three goroutines: one steps the core, one writes
// and syncs the store, and one applies committed commands. Its methods are safe for
// concurrent use.
type Node struct {
	cfg     NodeConfig
	store   *Store
	machine StateMachine
	send    Sender
	core    *Core

	inputs     *queue.Queue[input]
	diskQueue  chan any // Persist or compactRequest, in order
	applyQueue chan any // Apply, Restore or ReadReady, in order

	startMeta SnapshotMeta // snapshot from which the node started
	nextID    uint64
	pending   map[uint64]chan reply // owned by the core goroutine

	mu           sync.Mutex
	waiters      map[Index]waiter
	pendingReads map[uint64]chan reply

	status         atomic.Pointer[Status]
	states         atomic.Pointer[[]MemberState]
	snapshot       atomic.Pointer[InstallSnapshot]
	usableLeaseEnd atomic.Int64 // a clock.Time; 0 if this member may not act as leader
	diskRejected   atomic.Bool
	syncedSeq      atomic.Uint64 // sequence number of the newest synced Persist
	syncSignal     chan struct{}
}

// NewNode returns a node that resumes from the store. Start runs it.
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
		startMeta:    stored.Meta,
		inputs:       queue.New[input]("quorum input", inputQueueSize),
		diskQueue:    make(chan any, diskQueueSize),
		applyQueue:   make(chan any, applyQueueSize),
		pending:      map[uint64]chan reply{},
		waiters:      map[Index]waiter{},
		pendingReads: map[uint64]chan reply{},
		syncSignal:   make(chan struct{}, 1),
	}
	if err := machine.Restore(store.SnapshotData()); err != nil {
		return nil, err
	}
	n.snapshot.Store(&InstallSnapshot{Meta: stored.Meta, Data: store.SnapshotData()})
	n.publish(clock.Now())
	return n, nil
}

// Start runs the node's goroutines in g.
func (n *Node) Start(g *task.Group) {
	g.Go("quorum core", n.runCore)
	g.Go("quorum disk", n.runDisk)
	g.Go("quorum apply", n.runApply)
}

// Status returns the core's status as of its latest step.
func (n *Node) Status() Status { return *n.status.Load() }

// MemberStates returns the leader's view of the members. It is empty on a member
// that is not the leader.
func (n *Node) MemberStates() []MemberState { return *n.states.Load() }

// Disk returns the disk identity of the node's data directory.
func (n *Node) Disk() ident.DiskID { return n.store.Disk() }

// DiskRejected reports whether the leader has rejected this member's disk because
// it lost synced data.
func (n *Node) DiskRejected() bool { return n.diskRejected.Load() }

// LeaseEnd returns the end of the leader lease, or 0 if this member may not act as
// leader. A caller must compare it with clock.Now immediately before it acts.
func (n *Node) LeaseEnd() clock.Time { return clock.Time(n.usableLeaseEnd.Load()) }

// Leads reports whether this member currently holds a usable leader lease.
func (n *Node) Leads() bool { return clock.Now().Before(n.LeaseEnd()) }

// Receive queues a message from another member. It drops the message if the input
// queue is full.
func (n *Node) Receive(m Message) {
	_ = n.inputs.Push(input{event: Receive{Message: m}}) // the protocol resends dropped messages
}

// TransferLeadership transfers leadership to another voter if this member is the
// leader. It does not wait for the outcome.
func (n *Node) TransferLeadership() {
	_ = n.inputs.Push(input{event: TransferLeadership{}}) // no transfer if the queue is full
}

// Propose appends a command and returns the result of applying it. The error is of
// kind fault.NotLeader or fault.Overloaded if nothing was appended, and of kind
// fault.NoQuorum if the outcome is unknown because ctx ended or leadership was lost.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	r, err := n.submit(ctx, Propose{Proposals: []Proposal{{Data: command}}})
	return r.result, err
}

// Barrier waits until the state machine reflects every command that was committed
// before the call. It returns a fault.NotLeader error on any member but the leader,
// and a fault.NoQuorum error if ctx ends first.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.submit(ctx, Read{})
	return err
}

// ChangeMembers replaces the membership; see the type ChangeMembers for the
// changes that are allowed.
func (n *Node) ChangeMembers(ctx context.Context, m Membership) error {
	_, err := n.submit(ctx, ChangeMembers{Members: m})
	return err
}

func (n *Node) submit(ctx context.Context, ev Event) (reply, error) {
	c := make(chan reply, 1)
	if err := n.inputs.Push(input{event: ev, reply: c}); err != nil {
		return reply{}, err
	}
	select {
	case r := <-c:
		return r, r.err
	case <-ctx.Done():
		return reply{}, fault.New(fault.NoQuorum, "no result before the context ended: %v", ctx.Err())
	}
}

// runCore is the goroutine that steps the core.
func (n *Node) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	steppedAt := clock.Now()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			err = n.step(ctx, Tick{})
		case <-n.syncSignal:
			err = n.step(ctx, Persisted{Seq: n.syncedSeq.Load()})
		case in := <-n.inputs.C():
			err = n.processInput(ctx, in)
		}
		if err != nil {
			return err
		}
		now := clock.Now()
		n.reportDelay(Pause{Took: now.Sub(steppedAt)})
		steppedAt = now
	}
}

// reportDelay reports a delay if it took long enough.
func (n *Node) reportDelay(d Delay) {
	if d.length() >= minReportedDelay && n.cfg.ReportDelay != nil {
		n.cfg.ReportDelay(d)
	}
}

// processInput steps one input and those queued behind it, up to maxProposeBatch.
// Consecutive proposals are stepped as one batch.
func (n *Node) processInput(ctx context.Context, in input) error {
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
				err = n.step(ctx, n.assignID(in))
			}
			return
		}
		batch = append(batch, Proposal{ID: n.addPending(in.reply), Data: p.Proposals[0].Data})
	}
	handle(in)
	n.inputs.Drain(maxProposeBatch, handle)
	flush()
	return err
}

func (n *Node) addPending(c chan reply) uint64 {
	n.nextID++
	n.pending[n.nextID] = c
	return n.nextID
}

// assignID returns the event of an input, with an ID if the input expects a reply.
func (n *Node) assignID(in input) Event {
	switch ev := in.event.(type) {
	case Read:
		ev.ID = n.addPending(in.reply)
		return ev
	case ChangeMembers:
		ev.ID = n.addPending(in.reply)
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
	n.usableLeaseEnd.Store(int64(lease))
}

func (n *Node) perform(ctx context.Context, a Action) error {
	switch a := a.(type) {
	case Send:
		n.send(a.Message)
	case Persist:
		return enqueue(ctx, n.diskQueue, any(a))
	case Apply, Restore:
		return enqueue(ctx, n.applyQueue, any(a))
	case ReadReady:
		n.mu.Lock()
		n.pendingReads[a.ID] = n.takePending(a.ID)
		n.mu.Unlock()
		return enqueue(ctx, n.applyQueue, any(a))
	case Appended:
		n.mu.Lock()
		n.waiters[a.Index] = waiter{term: a.Term, reply: n.takePending(a.ID)}
		n.mu.Unlock()
	case Refused:
		n.takePending(a.ID) <- reply{err: a.Reason}
	case SendSnapshot:
		n.sendSnapshot(a)
	case DiskRejected:
		n.diskRejected.Store(true)
	}
	return nil
}

func (n *Node) takePending(id uint64) chan reply {
	c := n.pending[id]
	delete(n.pending, id)
	return c
}

// enqueue sends v to c and blocks while c is full, so that a member whose disk or
// state machine lags does not process further events.
func enqueue(ctx context.Context, c chan any, v any) error {
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
