// Package quorum implements a replicated log with the Raft consensus protocol.
//
// Members replicate a log of entries from a leader, which a majority of voters
// elects for a term. An entry is committed once a majority of voters has synced
// it to disk; committed entries are never lost or reordered. The package differs
// from the basic protocol in four ways:
//
//   - A member is identified by its disk. Messages carry disk identities, not
//     instance names, so that an instance whose disk is replaced by an empty one
//     cannot vote in place of the lost disk. The leader rejects a disk that lacks
//     entries it had acknowledged, such as one restored from an old copy; its
//     member then stops voting.
//   - Voters reject elections while they receive messages from a leader. The
//     leader therefore holds a lease, which starts when it sends a broadcast and
//     takes effect once a majority has acknowledged that broadcast. The leader
//     acts only within its lease.
//   - A membership change affects one voter at a time, and is accepted only after
//     the leader has committed an entry of its own term.
//   - A member doesn't take its own delays for failures of others. It acknowledges
//     a broadcast before the entries in it are synced, which it acknowledges later,
//     so a slow disk delays commits and not the lease. It waits for others in
//     running time, which excludes the time for which it was paused itself.
//
// Core is the protocol as a deterministic state machine without clocks,
// goroutines, disks or sockets: Step takes the time and an event and returns
// actions. Node runs a Core with a Store and a transport.
package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	maxBatchEntries  = 512     // entries in one Append
	maxBatchBytes    = 1 << 20 // command bytes in one Append of several entries
	maxInflight      = 4096    // entries sent to a member and not yet acknowledged
	maxUncommitted   = 8192    // entries that a leader appends beyond the committed ones
	promotionBacklog = 64      // entries by which a learner may lag when it is promoted
	// maxPatienceDoublings bounds how often fruitless candidacies double the election timeout.
	maxPatienceDoublings = 2
	// maxStepGap is the longest time between two steps that counts as such. A member that was paused for longer can't
	// conclude from it that the others are silent.
	maxStepGap = 100 * time.Millisecond
)

// Config configures a Core.
type Config struct {
	Self   ident.DiskID
	Boot   Boot
	Timing Timing
	Seed   uint64 // seed of the random election timeouts
}

// StoredState is the persistent state that a member loads from its disk at startup.
type StoredState struct {
	Hard    HardState
	Meta    SnapshotMeta // newest snapshot; its membership applies at the start of the log
	Entries []Entry
}

// progress is the leader's replication state for one member.
type progress struct {
	matchIndex     Index
	matchBoot      Boot // process run of the member that acknowledged matchIndex
	nextIndex      Index
	ackedRound     Round // newest round that the member acknowledged
	snapshotSentAt clock.Time
	lastContact    clock.Time // receipt of its latest reply, or the start of this leadership, as running time
	askedSince     clock.Time // when this leader began to send to it, as running time
	rejected       bool       // the member's disk lost acknowledged entries
}

// pendingRead is a linearizable read that waits for a quorum to confirm a round.
type pendingRead struct {
	id    uint64
	round Round
	index Index // 0 until a quorum has acknowledged the round
}

// pendingSync is a vote or a log position of this member that counts towards a
// majority once the Persist action with the same sequence number is synced.
type pendingSync struct {
	seq   uint64
	term  Term
	vote  bool
	index Index
}

// sentRound is a broadcast that a quorum has not yet acknowledged.
type sentRound struct {
	round  Round
	sentAt clock.Time
	ranAt  clock.Time // sentAt as running time
}

// Core is the protocol state of one member. Use New to create one. A Core is not
// safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand

	hard    HardState
	meta    SnapshotMeta // newest snapshot; the log starts after meta.Index
	entries []Entry      // entries[i].Index == meta.Index+1+i
	commit  Index
	applied Index // last index returned in an Apply action

	members      Membership
	membersIndex Index

	role             Role
	leader           ident.DiskID
	votes            map[ident.DiskID]bool
	electionDeadline clock.Time // end of the current election timeout, as running time
	leaderContact    clock.Time // receipt of the last message from a leader
	followedRound    Round      // newest round of the leader that was acknowledged before its entries were synced
	candidacies      int        // own candidacies since the last contact with a leader
	startedAt        clock.Time
	steppedAt        clock.Time    // time of the latest step
	paused           time.Duration // sum of the pauses between steps, by which running time lags
	initialized      bool
	diskRejected     bool

	progress        map[ident.DiskID]*progress
	round           Round
	sentRounds      []sentRound
	nextHeartbeat   clock.Time
	leaseExpiry     clock.Time
	quorumSentAt    clock.Time // sending time of the newest round that a quorum acknowledged, as running time
	reads           []pendingRead
	termStartIndex  Index // index of the first entry of this leader's term
	transferStarted clock.Time

	persistSeq   uint64
	syncedSeq    uint64     // of the newest Persist action that is synced
	hardSeq      uint64     // of the newest Persist action with a HardState
	hardAt       clock.Time // of that action
	pendingSyncs []pendingSync
	actions      []Action
	syncedIndex  Index // highest index synced by this member
}

// New returns a Core that resumes from the stored state.
func New(cfg Config, stored StoredState) *Core {
	c := &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		hard:    stored.Hard,
		meta:    stored.Meta,
		entries: append([]Entry(nil), stored.Entries...),
		commit:  stored.Meta.Index,
		applied: stored.Meta.Index,
	}
	c.syncedIndex = c.lastIndex()
	c.loadMembership()
	return c
}

// Status returns a summary of the current state.
func (c *Core) Status() Status {
	leader, _ := c.members.Find(c.leader)
	return Status{
		Role: c.role, Term: c.hard.Term, Leader: leader, LastIndex: c.lastIndex(),
		CommitIndex: c.commit, LeaseEnd: c.leaseEnd(), FirstLeadership: c.FirstLeadership(), Members: c.members.clone(), MembersIndex: c.membersIndex,
	}
}

// Ready reports whether this member may act as leader: it is the leader, its
// lease is valid at now, and it has committed an entry of its own term.
func (c *Core) Ready(now clock.Time) bool {
	return c.role == Leader && c.commit >= c.termStartIndex && now.Before(c.leaseEnd())
}

// FirstLeadership reports whether this member is the leader and no earlier leader
// can have committed anything, because its term starts with the first entry after
// the bootstrap snapshot.
func (c *Core) FirstLeadership() bool {
	return c.role == Leader && c.termStartIndex == bootstrapIndex+1
}

// MemberState is the leader's view of a member, for status reports and promotion.
type MemberState struct {
	Member     Member
	MatchIndex Index
	CaughtUp   bool
	Rejected   bool
	// LastContact is the receipt of its latest reply, or the start of this leadership, moved on by the time for which this
	// member was paused since.
	LastContact clock.Time
	// AskedSince is when this leader began to send to it, moved on in the same way.
	AskedSince clock.Time
}

// MemberStates returns the leader's view of every member. It returns nil if this
// member is not the leader.
func (c *Core) MemberStates() []MemberState {
	if c.role != Leader {
		return nil
	}
	var states []MemberState
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if p == nil {
			continue
		}
		match := p.matchIndex
		if m.Disk == c.cfg.Self {
			match = c.syncedIndex
		}
		states = append(states, MemberState{
			Member:      m,
			MatchIndex:  match,
			CaughtUp:    match+promotionBacklog >= c.lastIndex() && match >= c.termStartIndex,
			Rejected:    p.rejected,
			LastContact: p.lastContact.Add(c.paused),
			AskedSince:  p.askedSince.Add(c.paused),
		})
	}
	return states
}

// Step processes one event at time now and returns the actions to perform, in
// order. The time must not decrease between calls.
func (c *Core) Step(now clock.Time, ev Event) []Action {
	c.actions = nil
	if !c.initialized {
		c.initialize(now)
	}
	c.recordStep(now)
	c.expireTransfer(now)
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Receive:
		c.receive(now, ev.Message)
	case Propose:
		c.propose(now, ev.Proposals)
	case Read:
		c.read(now, ev.ID)
	case ChangeMembers:
		c.changeMembers(now, ev)
	case Persisted:
		c.persisted(now, ev.Seq)
	case Compacted:
		c.compacted(ev.Meta)
	case TransferLeadership:
		c.startTransfer(now)
	default:
		panic("quorum: unknown event type")
	}
	return c.actions
}

func (c *Core) initialize(now clock.Time) {
	c.initialized = true
	c.startedAt = now
	c.steppedAt = now
	c.resetDeadline(now)
}

// recordStep records the time of a step, and what this member was paused for before it. The time that the member waits for
// others is running time, which excludes pauses: messages of a pause may still be on the way, and where the member was paused
// the others may have been as well. Leases and their protection go by true time.
func (c *Core) recordStep(now clock.Time) {
	pause := max(0, now.Sub(c.steppedAt)-maxStepGap)
	c.steppedAt = now
	c.paused += pause
}

// ran returns now as running time.
func (c *Core) ran(now clock.Time) clock.Time { return now.Add(-c.paused) }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) lastIndex() Index { return c.meta.Index + Index(len(c.entries)) }

// termAt returns the term of the entry at i. The result ok is false if the log
// does not contain i.
func (c *Core) termAt(i Index) (t Term, ok bool) {
	switch {
	case i == c.meta.Index:
		return c.meta.Term, true
	case i < c.meta.Index || i > c.lastIndex():
		return 0, false
	}
	return c.entries[i-c.meta.Index-1].Term, true
}

func (c *Core) lastTerm() Term {
	t, _ := c.termAt(c.lastIndex())
	return t
}

// entriesFrom returns the entries starting at index from, up to maxBatchEntries
// and maxBatchBytes.
func (c *Core) entriesFrom(from Index) []Entry {
	if from > c.lastIndex() {
		return nil
	}
	rest := c.entries[from-c.meta.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i == maxBatchEntries || (i > 0 && size > maxBatchBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// loadMembership sets the membership to the newest one in the log, whether or not
// it is committed.
func (c *Core) loadMembership() {
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].Kind == EntryMembers {
			c.members = c.entries[i].Members
			c.membersIndex = c.entries[i].Index
			return
		}
	}
	c.members = c.meta.Members
	c.membersIndex = c.meta.Index
}

func (c *Core) isVoter(d ident.DiskID) bool {
	m, ok := c.members.Find(d)
	return ok && m.Voter
}

// resetDeadline begins the election timeout anew. It is longer after fruitless candidacies: the syncs or links that an election
// depends on may take longer than the timeout, and each candidacy ends those before it.
func (c *Core) resetDeadline(now clock.Time) {
	spread := c.cfg.Timing.ElectionMax - c.cfg.Timing.ElectionMin
	d := c.cfg.Timing.ElectionMin
	if spread > 0 {
		d += time.Duration(c.rng.Int64N(int64(spread)))
	}
	doublings := min(max(c.candidacies-1, 0), maxPatienceDoublings)
	c.electionDeadline = c.ran(now).Add(d << doublings)
}

func (c *Core) newMessage(to ident.DiskID) Message {
	return Message{From: c.cfg.Self, To: to, Term: c.hard.Term, Boot: c.cfg.Boot}
}

func (c *Core) persist(p Persist) uint64 {
	c.persistSeq++
	p.Seq = c.persistSeq
	if p.Hard != nil {
		c.hardSeq = p.Seq
		c.hardAt = c.steppedAt
	}
	c.emit(p)
	return c.persistSeq
}

func (c *Core) tick(now clock.Time) {
	if c.role == Leader {
		c.leaderTick(now)
		return
	}
	if c.ran(now).Before(c.electionDeadline) || c.votePending() || c.diskRejected || !c.isVoter(c.cfg.Self) {
		return
	}
	c.campaign(now, true, false)
}

// votePending reports whether this member's term or vote is not yet synced. Another election could not end any sooner.
func (c *Core) votePending() bool { return c.syncedSeq < c.hardSeq }

// becomeFollower enters term t as a follower and discards the state of any
// earlier candidacy or leadership.
func (c *Core) becomeFollower(now clock.Time, t Term, leader ident.DiskID) {
	if t > c.hard.Term {
		c.hard = HardState{Term: t}
		hard := c.hard
		c.persist(Persist{Hard: &hard})
	}
	if c.role == Leader {
		c.failReads()
		c.leaseExpiry = 0
	}
	c.role = Follower
	c.leader = leader
	c.followedRound = 0
	c.votes = nil
	c.resetDeadline(now)
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.emit(Refused{ID: r.id, Reason: fault.New(fault.NotLeader, "lost leadership in term %d", c.hard.Term)})
	}
	c.reads = nil
}

func (c *Core) receive(now clock.Time, m Message) {
	if m.To != c.cfg.Self || c.diskRejected {
		return
	}
	switch {
	case m.VoteRequest != nil:
		c.handleVoteRequest(now, m)
	case m.VoteResponse != nil:
		c.handleVoteResponse(now, m)
	case m.Append != nil:
		c.handleAppend(now, m)
	case m.Ack != nil:
		c.handleAck(now, m)
	case m.Install != nil:
		c.handleInstallSnapshot(now, m)
	case m.Elect != nil:
		c.handleElectNow(now, m)
	case m.Reject != nil:
		c.diskRejected = true
		c.becomeFollower(now, c.hard.Term, "")
		c.emit(DiskRejected{})
	}
}

func (c *Core) persisted(now clock.Time, seq uint64) {
	wasPending := c.votePending()
	c.syncedSeq = max(c.syncedSeq, seq)
	if wasPending && !c.votePending() {
		// The requests or the vote were sent only now. The others' disks may take as long as this one.
		c.resetDeadline(now)
		c.electionDeadline = c.electionDeadline.Add(now.Sub(c.hardAt))
	}
	for len(c.pendingSyncs) > 0 && c.pendingSyncs[0].seq <= seq {
		s := c.pendingSyncs[0]
		c.pendingSyncs = c.pendingSyncs[1:]
		if s.vote {
			c.countSelfVote(now, s.term)
			continue
		}
		if t, ok := c.termAt(s.index); !ok || t != s.term {
			continue // a later leader replaced the entry
		}
		c.syncedIndex = max(c.syncedIndex, s.index)
		if c.role == Leader && s.term == c.hard.Term {
			c.advanceCommit(now)
		}
	}
}

// compacted drops the log entries that a synced snapshot covers.
func (c *Core) compacted(meta SnapshotMeta) {
	if meta.Index <= c.meta.Index || meta.Index > c.applied {
		return
	}
	keep := c.entries[meta.Index-c.meta.Index:]
	c.entries = append([]Entry(nil), keep...)
	c.meta = meta
}

// applyCommitted emits an Apply action for the committed entries that are in the
// log and not yet applied.
func (c *Core) applyCommitted() {
	upto := min(c.commit, c.lastIndex())
	if upto <= c.applied {
		return
	}
	from := c.applied - c.meta.Index
	to := upto - c.meta.Index
	batch := c.entries[from:to:to]
	c.applied = upto
	c.emit(Apply{Entries: batch})
}

// majorityValue returns the largest value that a majority of the voters' values
// has reached. It sorts values.
func majorityValue[T ~uint64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
